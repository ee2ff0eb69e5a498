import { afterEach, beforeEach, describe, expect, jest, test } from '@jest/globals'
import { createMemoryRowStore, type MemoryRowStore, type StoreFault } from '../__fixtures__/memoryRowStore.js'
import { createRecordingLog } from '../__fixtures__/recordingLog.js'
import { startFleetTask, type FleetTask, type FleetTaskOptions } from '../tasks/fleetTask.js'
import { watchStoreEra } from '../tasks/storeEra.js'

interface TestInstance {
  readonly instanceId: string
  readonly fleet: FleetTask
}

let running: TestInstance[] = []
let reachesPeers = false

function startInstance (memory: MemoryRowStore, instanceId: string, failureDomain = 'a', onCrash: FleetTaskOptions['onCrash'] = () => {}, rowStore = memory.store): TestInstance {
  const log = createRecordingLog()
  const { store, era } = watchStoreEra(rowStore, log)
  const fleet = startFleetTask({
    store,
    era,
    log,
    instanceId,
    incarnationId: `${instanceId}.1`,
    configurationVersion: () => 1,
    peerAddress: `${instanceId}:80`,
    failureDomain,
    onCrash,
    onAnswer: () => {},
    onLimit: () => {},
    onBrittleness: () => {},
    onMixedVersions: () => {},
    onInstancesChanged: () => {},
    answerToReport: () => undefined,
    latestAnswer: () => undefined,
    tellPeer: (peer, reports) => running.find((other) => other.instanceId === peer.instanceId && reachesPeers)?.fleet.receive(reports)
  })
  const instance = { instanceId, fleet }
  running.push(instance)
  return instance
}

beforeEach(() => {
  jest.useFakeTimers()
  reachesPeers = false
})
afterEach(() => {
  for (const { fleet } of running) fleet.follower.stop()
  running = []
  jest.useRealTimers()
})

describe('the homes of accounts in a large fleet', () => {
  // Guards against tokens that lie at instances which others don't ask, and against homes that are all lost with one failure domain.
  test('all instances agree on the homes of each account, which lie in different failure domains', async () => {
    const memory = createMemoryRowStore()
    const instances = Array.from({ length: 30 }, (_, index) => startInstance(memory, `instance${index}`, `domain${index % 3}`))
    await jest.advanceTimersByTimeAsync(2000)
    for (const account of ['school', 'museum', 'vendor']) {
      const homes = instances.map(({ fleet }) => fleet.homes(account).map((home) => home.instanceId).join())
      expect(new Set(homes).size).toBe(1)
      expect(new Set(instances[0]?.fleet.homes(account).map((home) => home.failureDomain)).size).toBe(3)
    }
  })

  // Guards against a fleet in which each shortage of an account wakes all instances through the store.
  test('no message about an account goes through the store, and a gone instance moves only the accounts that it was home to', async () => {
    const memory = createMemoryRowStore()
    const instances = Array.from({ length: 30 }, (_, index) => startInstance(memory, `instance${index}`, `domain${index % 3}`))
    await jest.advanceTimersByTimeAsync(2000)
    const accounts = Array.from({ length: 40 }, (_, index) => `account${index}`)
    const before = accounts.map((account) => instances[1]?.fleet.homes(account).map((home) => home.instanceId) ?? [])
    const transactions = memory.transactions
    const leaving = instances[0]
    await leaving?.fleet.deregister()
    memory.removeRow({ table: 'fleet', part: '', key: `instance/${leaving?.instanceId ?? ''}` })
    await jest.advanceTimersByTimeAsync(2000)
    expect(memory.transactions - transactions).toBe(1)
    accounts.forEach((account, index) => {
      const after = instances[1]?.fleet.homes(account).map((home) => home.instanceId)
      if (before[index]?.includes(leaving?.instanceId ?? '') === true) expect(after).not.toContain(leaving?.instanceId)
      else expect(after).toEqual(before[index])
    })
  })
})

describe('an instance whose predecessor is removed from the list late', () => {
  // Guards against a running instance that is off the list for its life: the others divide the fleet's limits without it.
  test('registers again, and counts itself meanwhile', async () => {
    const memory = createMemoryRowStore()
    const [late, other] = ['late', 'other'].map((instanceId) => startInstance(memory, instanceId))
    await jest.advanceTimersByTimeAsync(2000)
    memory.removeRow({ table: 'fleet', part: '', key: 'instance/late' })
    expect(late?.fleet.instances).toBe(2)
    await jest.advanceTimersByTimeAsync(2000)
    expect([late, other].map((instance) => instance?.fleet.instances)).toEqual([2, 2])
    expect(other?.fleet.incarnationOf('late')).toBe('late.1')
  })

  test('stays off the list when it has left', async () => {
    const memory = createMemoryRowStore()
    const [leaving, other] = ['leaving', 'other'].map((instanceId) => startInstance(memory, instanceId))
    await jest.advanceTimersByTimeAsync(2000)
    await leaving?.fleet.deregister()
    memory.removeRow({ table: 'fleet', part: '', key: 'instance/leaving' })
    await jest.advanceTimersByTimeAsync(5000)
    expect(other?.fleet.incarnationOf('leaving')).toBeUndefined()
  })
})

describe('crash reports', () => {
  // Guards against instances that never learn of crashes during a fault of the store, and let a request crash further backend servers after it.
  test.each<StoreFault['kind']>(['refuse', 'drop'])('reports whose write failed (%s) reach other instances once the store is back', async (kind) => {
    let fault: StoreFault = { kind: 'none' }
    const memory = createMemoryRowStore(() => fault)
    const learned: string[] = []
    const reporter = startInstance(memory, 'reporter')
    startInstance(memory, 'other', 'b', (fingerprint) => learned.push(fingerprint))
    await jest.advanceTimersByTimeAsync(2000)
    fault = kind === 'drop' ? { kind: 'drop' } : { kind: 'refuse' }
    const names = Array.from({ length: 70 }, (_, index) => `request${index}`)
    for (const name of names) reporter.fleet.reportCrash(name, { parts: ['part'], backendProcess: 'server/1', sentAt: 1, crashedAt: 2 })
    await jest.advanceTimersByTimeAsync(5000)
    expect(learned).toEqual([])
    fault = { kind: 'none' }
    await jest.advanceTimersByTimeAsync(3000)
    expect([...learned].sort()).toEqual([...names].sort())
  })

  // Guards against instances that each let a request crash several backend servers while the store is away.
  test('reports that the store does not take reach the peers at once, and count once when it takes them later', async () => {
    let fault: StoreFault = { kind: 'none' }
    const memory = createMemoryRowStore(() => fault)
    const learned: string[] = []
    const reporter = startInstance(memory, 'reporter')
    startInstance(memory, 'other', 'b', (_fingerprint, reportId) => learned.push(reportId))
    await jest.advanceTimersByTimeAsync(2000)
    fault = { kind: 'refuse' }
    reachesPeers = true
    reporter.fleet.reportCrash('poison', { parts: [], backendProcess: 'server/1', sentAt: 1, crashedAt: 2 })
    await jest.advanceTimersByTimeAsync(200)
    expect(learned).toHaveLength(1)
    await jest.advanceTimersByTimeAsync(3000)
    expect(learned).toHaveLength(1)
    fault = { kind: 'none' }
    await jest.advanceTimersByTimeAsync(3000)
    expect(new Set(learned).size).toBe(1)
  })
})

describe('the fleet table of a restored store', () => {
  // Guards against instances that nobody finds any more, and against ones that have stopped and are asked for tokens again.
  // Guards against registrations that name no era: processes that start later waited for these instances to register again.
  test('an instance that registers before it knows the era of the store registers again with it', async () => {
    const memory = createMemoryRowStore()
    const writer = startInstance(memory, 'instance0', 'a', () => {}, {
      ...memory.store,
      read: async () => ({ kind: 'unavailable', reason: 'slow in the test' })
    })
    writer.fleet.noteLease(false)
    await jest.advanceTimersByTimeAsync(3000)
    expect(memory.getRow({ table: 'fleet', part: '', key: 'instance/instance0' })?.split(' ').slice(3, 5)).toEqual(['1', 'recorded'])
  })

  // Guards against tokens that are withheld after a restore since an instance that had left long before records nothing.
  test('an instance that recorded its draws after one restore and left is not waited for after the next', async () => {
    const memory = createMemoryRowStore()
    const [stays, leaves] = [startInstance(memory, 'stays'), startInstance(memory, 'leaves')]
    await jest.advanceTimersByTimeAsync(2000)
    memory.restore(memory.takeCopy())
    await jest.advanceTimersByTimeAsync(1000)
    for (const { fleet } of [stays, leaves]) fleet.confirmRecovery(true)
    await jest.advanceTimersByTimeAsync(4000)
    leaves.fleet.follower.stop()
    memory.removeRow({ table: 'fleet', part: '', key: 'instance/leaves' })
    await jest.advanceTimersByTimeAsync(4000)
    expect(stays.fleet.lossesSince(1)).toBe(0)
    memory.restore(memory.takeCopy())
    await jest.advanceTimersByTimeAsync(1000)
    expect(stays.fleet.lossesSince(2)).toBe(1)
    stays.fleet.confirmRecovery(true)
    await jest.advanceTimersByTimeAsync(4000)
    expect(stays.fleet.lossesSince(2)).toBe(0)
  })

  test('an instance that registered after the copy registers again, and one that stopped after it is forgotten', async () => {
    const memory = createMemoryRowStore()
    const first = startInstance(memory, 'first')
    const stopped = startInstance(memory, 'stopped')
    await jest.advanceTimersByTimeAsync(2000)
    const copy = memory.takeCopy()
    startInstance(memory, 'late')
    await stopped.fleet.deregister()
    memory.removeRow({ table: 'fleet', part: '', key: 'instance/stopped' })
    await jest.advanceTimersByTimeAsync(4000)
    memory.restore(copy)
    await jest.advanceTimersByTimeAsync(16_000)
    expect(first.fleet.peers.map((peer) => peer.instanceId)).toEqual(['late'])
    const next = startInstance(memory, 'next')
    await jest.advanceTimersByTimeAsync(2000)
    expect(next.fleet.peers.map((peer) => peer.instanceId).sort()).toEqual(['first', 'late'])
  })

  // Guards against registrations that nobody removes, for which each process that starts later waits before it serves and draws.
  test('the registrations of many instances that were killed beside the restore are removed', async () => {
    const memory = createMemoryRowStore()
    const instances = Array.from({ length: 30 }, (_, index) => startInstance(memory, `instance${index}`, `domain${index % 3}`))
    await jest.advanceTimersByTimeAsync(4000)
    const copy = memory.takeCopy()
    const killed = instances.slice(0, 20)
    for (const { fleet } of killed) fleet.follower.stop()
    memory.restore(copy)
    await jest.advanceTimersByTimeAsync(20_000)
    expect(instances.at(-1)?.fleet.peers).toHaveLength(9)
    const left = killed.filter(({ instanceId }) => memory.getRow({ table: 'fleet', part: '', key: `instance/${instanceId}` }) !== undefined)
    expect(left.map(({ instanceId }) => instanceId)).toEqual([])
  })

  test('the registration of an instance that stays away after a restart of all others in a restored store is removed', async () => {
    const memory = createMemoryRowStore()
    const instances = ['first', 'second', 'third', 'away'].map((name) => startInstance(memory, name))
    await jest.advanceTimersByTimeAsync(4000)
    const copy = memory.takeCopy()
    for (const { fleet } of instances) fleet.follower.stop()
    memory.restore(copy)
    for (const name of ['first', 'second', 'third']) startInstance(memory, name).fleet.noteLease(false)
    await jest.advanceTimersByTimeAsync(30_000)
    expect(memory.getRow({ table: 'fleet', part: '', key: 'instance/away' })).toBeUndefined()
    const next = startInstance(memory, 'next')
    next.fleet.noteLease(false)
    await jest.advanceTimersByTimeAsync(2000)
    expect(next.fleet.mayBeOutdated(1)).toBe(false)
    expect(next.fleet.mayDraw).toBe(true)
  })

  // Guards against instances that start after the restore and let a request crash further backend servers.
  test('crash reports that were written after the copy are written again', async () => {
    const memory = createMemoryRowStore()
    const reporter = startInstance(memory, 'reporter')
    await jest.advanceTimersByTimeAsync(2000)
    const copy = memory.takeCopy()
    reporter.fleet.reportCrash('poison', { parts: [], backendProcess: 'server/1', sentAt: 1, crashedAt: 2 })
    await jest.advanceTimersByTimeAsync(2000)
    memory.restore(copy)
    await jest.advanceTimersByTimeAsync(4000)
    const learned: string[] = []
    startInstance(memory, 'next', 'b', (fingerprint) => learned.push(fingerprint))
    await jest.advanceTimersByTimeAsync(2000)
    expect(learned).toEqual(['poison'])
  })

  // Guards against an instance that starts after the restore and lets a request crash further backend servers, as the only writer of its reports has ended.
  test('crash reports of an instance that was killed are written again by those that know them', async () => {
    const memory = createMemoryRowStore()
    const reporter = startInstance(memory, 'reporter')
    const known: string[] = []
    startInstance(memory, 'other', 'b', (fingerprint) => known.push(fingerprint))
    await jest.advanceTimersByTimeAsync(2000)
    const copy = memory.takeCopy()
    for (let crash = 0; crash < 3; crash++) reporter.fleet.reportCrash('poison', { parts: [], backendProcess: `server/${crash}`, sentAt: 10 * crash, crashedAt: 10 * crash + 5 })
    await jest.advanceTimersByTimeAsync(2000)
    expect(known).toHaveLength(3)
    reporter.fleet.follower.stop()
    memory.restore(copy)
    await jest.advanceTimersByTimeAsync(6000)
    const learned: string[] = []
    startInstance(memory, 'reporter', 'a', (fingerprint) => learned.push(fingerprint))
    await jest.advanceTimersByTimeAsync(2000)
    expect(learned).toHaveLength(3)
  })

  // Guards against a transaction that the store may refuse for ever, as it names a row twice.
  test('reports that wait for the store when it is restored are written once', async () => {
    let fault: StoreFault = { kind: 'none' }
    const memory = createMemoryRowStore(() => fault)
    const keys: string[][] = []
    const reporter = startInstance(memory, 'reporter', 'a', () => {}, {
      ...memory.store,
      transact: async (transaction, deadline) => {
        keys.push(transaction.writes.map(({ key }) => key))
        return await memory.store.transact(transaction, deadline)
      }
    })
    await jest.advanceTimersByTimeAsync(2000)
    const copy = memory.takeCopy()
    fault = { kind: 'refuse' }
    reporter.fleet.reportCrash('poison', { parts: [], backendProcess: 'server/1', sentAt: 1, crashedAt: 2 })
    await jest.advanceTimersByTimeAsync(700)
    memory.restore(copy)
    await jest.advanceTimersByTimeAsync(3000)
    fault = { kind: 'none' }
    await jest.advanceTimersByTimeAsync(3000)
    expect(keys.filter((written) => new Set(written).size < written.length)).toEqual([])
  })
})
