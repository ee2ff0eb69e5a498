import { afterEach, beforeEach, describe, expect, test } from '@jest/globals'
import { QuarantineFleet } from '../__fixtures__/quarantineFleet.js'
import { exemptedFingerprints, type SeenCrash } from '../quarantineExemptions.js'

const SERVERS = ['server-1', 'server-2', 'server-3']
const inMilliseconds = (milliseconds: number): number => Date.now() + milliseconds
const soon = (): number => inMilliseconds(4000)

describe('createQuarantineTask', () => {
  let fleet: QuarantineFleet
  beforeEach(() => { fleet = new QuarantineFleet() })
  afterEach(() => fleet.stop())

  // Guards against a poison request that other instances go on sending, and against one that stays a suspect.
  test('a crash makes a suspect everywhere, a crash in its trial quarantines it everywhere', async () => {
    const [one, two] = [fleet.start('one'), fleet.start('two')]
    await one.recordCrash('server-1', ['poison', 'unrelated'])
    expect([one, two].map((task) => task.admit('poison').kind)).toEqual(['suspect', 'suspect'])
    expect(two.admit('other').kind).toBe('admitted')
    const server = await two.startTrial('poison', SERVERS, soon())
    const waiting = one.startTrial('poison', SERVERS, soon())
    expect(await one.startTrial('unrelated', [server!], inMilliseconds(300))).toBeUndefined()
    await two.recordCrash(server!, ['poison', 'bystander'])
    expect(await waiting).toBeUndefined()
    expect([one, two].map((task) => task.admit('poison').kind)).toEqual(['quarantined', 'quarantined'])
    expect(one.admit('bystander').kind).toBe('suspect')
    expect(await one.startTrial('unrelated', [server!], soon())).toBe(server)
  })

  // Guards against unrelated requests that stay refused, and against a trial without a result that clears.
  test('a passed trial clears everywhere, an abandoned one does not', async () => {
    const [one, two] = [fleet.start('one'), fleet.start('two')]
    await one.recordCrash('server-1', ['unrelated'])
    one.abandonTrial('unrelated', (await one.startTrial('unrelated', SERVERS, soon()))!)
    await new Promise((resolve) => setTimeout(resolve, 200))
    expect([one, two].map((task) => task.admit('unrelated').kind)).toEqual(['suspect', 'suspect'])
    const server = await two.startTrial('unrelated', SERVERS, inMilliseconds(6000))
    two.endTrial('unrelated', server!)
    expect(await one.startTrial('unrelated', SERVERS, soon())).toBe('server-1')
    expect([one, two].map((task) => task.admit('unrelated').kind)).toEqual(['admitted', 'admitted'])
  })

  // Guards against unrecorded trials, and against suspects that a later outage of the store lets through.
  test('while the store is down suspects are known but not tried', async () => {
    const [one, two] = [fleet.start('one'), fleet.start('two')]
    fleet.storeIsUp = false
    await one.recordCrash('server-1', ['poison'])
    expect(two.admit('poison').kind).toBe('suspect')
    expect(await two.startTrial('poison', SERVERS, inMilliseconds(2000))).toBeUndefined()
    fleet.storeIsUp = true
    expect(await two.startTrial('poison', SERVERS, soon())).toBe('server-1')
  })

  // Guards against a backend server and a suspect that a dead holder blocks for ever.
  test('a trial whose holder was replaced ends', async () => {
    const [one, two] = [fleet.start('one'), fleet.start('two')]
    await one.recordCrash('server-4', ['first', 'second'])
    expect(await two.startTrial('first', ['server-1'], soon())).toBe('server-1')
    expect(await one.startTrial('second', ['server-1'], inMilliseconds(500))).toBeUndefined()
    await two.stop()
    fleet.start('two', 2)
    expect(await one.startTrial('second', ['server-1'], soon())).toBe('server-1')
    expect(await one.startTrial('first', ['server-2'], soon())).toBe('server-2')
  })

  // Guards against a trial for each request of a failed rack, and against a poison that hides behind one.
  test('requests of a correlated failure are exempted unless several of the backend servers ran them', async () => {
    const one = fleet.start('one')
    await new Promise((resolve) => setTimeout(resolve, 50))
    await Promise.all(SERVERS.map((server, index) => one.recordCrash(server, [`own-${index}`, ...(index < 2 ? ['common'] : [])])))
    expect(one.admit('own-0').kind).toBe('suspect')
    await new Promise((resolve) => setTimeout(resolve, 1300))
    expect(['own-0', 'own-1', 'own-2', 'common'].map((fingerprint) => one.admit(fingerprint).kind)).toEqual(['admitted', 'admitted', 'admitted', 'suspect'])
  })
})

describe('exemptedFingerprints', () => {
  const crash = (backendServer: string, at = 0, failureDomain = 'a'): SeenCrash => ({ backendServer, failureDomain, at, fingerprints: [`of ${backendServer}`] })

  // Guards against exempts for crashes that have nothing in common but their number.
  test.each([
    ['two backend servers', [crash('1'), crash('2')]],
    ['one backend server three times', [crash('1'), crash('1', 5), crash('1', 9)]],
    ['three failure domains', [crash('1'), crash('2', 0, 'b'), crash('3', 0, 'c')]],
    ['an unknown failure domain', [crash('1', 0, ''), crash('2', 0, ''), crash('3', 0, '')]],
    ['more than a second', [crash('1'), crash('2', 500), crash('3', 1200)]]
  ])('%s exempt nothing', (_name, crashes) => {
    expect(exemptedFingerprints(crashes[0]!, crashes)).toEqual([])
  })

  // Guards against a poison request that hides behind the crashes which its copies cause.
  test('what two of the backend servers ran is not exempted', () => {
    const crashes = [crash('1'), crash('2'), { ...crash('3'), fingerprints: ['of 1', 'of 3'] }]
    expect(crashes.map((each) => exemptedFingerprints(each, crashes))).toEqual([[], ['of 2'], ['of 3']])
  })

  test('three backend servers of one failure domain within a second do', () => {
    const crashes = [crash('1'), crash('2', 500), crash('3', 1000)]
    expect(exemptedFingerprints(crashes[0]!, crashes)).toEqual(['of 1'])
  })
})
