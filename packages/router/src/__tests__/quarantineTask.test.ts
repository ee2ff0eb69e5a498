import { afterEach, beforeEach, describe, expect, test } from '@jest/globals'
import { QuarantineFleet } from '../__fixtures__/quarantineFleet.js'
import { exemptedFingerprints, type ObservedCrash } from '../quarantineExemptions.js'

const SERVERS = ['server-1', 'server-2', 'server-3']
const inMilliseconds = (milliseconds: number): number => Date.now() + milliseconds
const soon = (): number => inMilliseconds(4000)

describe('createQuarantineTask', () => {
  let fleet: QuarantineFleet
  beforeEach(() => { fleet = new QuarantineFleet() })
  afterEach(() => fleet.stop())

  // Guards against a poison request that other instances keep sending, and against one that remains a suspect.
  test('a crash makes a request a suspect on all instances, and a crash in its trial quarantines it on all', async () => {
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

  // Guards against unrelated requests that stay refused, and against clearing a suspect by a trial without a result.
  test('a passed trial clears the suspect on all instances, an abandoned one does not', async () => {
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

  // Guards against trials that are not recorded, and against suspects that run normally during an outage of the store.
  test('while the store is down suspects are known but get no trial', async () => {
    const [one, two] = [fleet.start('one'), fleet.start('two')]
    fleet.storeIsUp = false
    await one.recordCrash('server-1', ['poison'])
    expect(two.admit('poison').kind).toBe('suspect')
    expect(await two.startTrial('poison', SERVERS, inMilliseconds(2000))).toBeUndefined()
    fleet.storeIsUp = true
    expect(await two.startTrial('poison', SERVERS, soon())).toBe('server-1')
  })

  // Guards against a trial that blocks its backend server and its suspect forever after its holder died.
  test('a trial ends when its holder was restarted', async () => {
    const [one, two] = [fleet.start('one'), fleet.start('two')]
    await one.recordCrash('server-4', ['first', 'second'])
    expect(await two.startTrial('first', ['server-1'], soon())).toBe('server-1')
    expect(await one.startTrial('second', ['server-1'], inMilliseconds(500))).toBeUndefined()
    await two.stop()
    fleet.start('two', 2)
    expect(await one.startTrial('second', ['server-1'], soon())).toBe('server-1')
    expect(await one.startTrial('first', ['server-2'], soon())).toBe('server-2')
  })

  // Guards against a trial for each request of a failed rack, and against exempting a poison request that ran there.
  test('requests of a correlated failure are exempted unless they were in flight on several of the backend servers', async () => {
    const one = fleet.start('one')
    await new Promise((resolve) => setTimeout(resolve, 50))
    await Promise.all(SERVERS.map((server, index) => one.recordCrash(server, [`own-${index}`, ...(index < 2 ? ['common'] : [])])))
    expect(one.admit('own-0').kind).toBe('suspect')
    await new Promise((resolve) => setTimeout(resolve, 1300))
    expect(['own-0', 'own-1', 'own-2', 'common'].map((fingerprint) => one.admit(fingerprint).kind)).toEqual(['admitted', 'admitted', 'admitted', 'suspect'])
  })
})

describe('exemptedFingerprints', () => {
  const crash = (backendServer: string, observedAt = 0, failureDomain = 'a'): ObservedCrash => ({ backendServer, failureDomain, observedAt, fingerprints: [`of ${backendServer}`] })

  // Guards against exemptions for crashes that are not correlated.
  test.each([
    ['crashes of two backend servers', [crash('1'), crash('2')]],
    ['three crashes of one backend server', [crash('1'), crash('1', 5), crash('1', 9)]],
    ['crashes in three failure domains', [crash('1'), crash('2', 0, 'b'), crash('3', 0, 'c')]],
    ['crashes in an unknown failure domain', [crash('1', 0, ''), crash('2', 0, ''), crash('3', 0, '')]],
    ['crashes over more than a second', [crash('1'), crash('2', 500), crash('3', 1200)]]
  ])('exempts nothing for %s', (_name, crashes) => {
    expect(exemptedFingerprints(crashes[0]!, crashes)).toEqual([])
  })

  // Guards against exempting a poison request because its copies crashed several backend servers.
  test('does not exempt a fingerprint in flight on two of the backend servers', () => {
    const crashes = [crash('1'), crash('2'), { ...crash('3'), fingerprints: ['of 1', 'of 3'] }]
    expect(crashes.map((each) => exemptedFingerprints(each, crashes))).toEqual([[], ['of 2'], ['of 3']])
  })

  test('exempts fingerprints when three backend servers of one failure domain crash within a second', () => {
    const crashes = [crash('1'), crash('2', 500), crash('3', 1000)]
    expect(exemptedFingerprints(crashes[0]!, crashes)).toEqual(['of 1'])
  })
})
