import { afterEach, beforeEach, describe, expect, jest, test } from '@jest/globals'
import { createMemoryRowStore, type MemoryRowStore } from '../__fixtures__/memoryRowStore.js'
import { createRecordingLog } from '../__fixtures__/recordingLog.js'
import { steadyNow } from '../clock.js'
import { createSharedClock } from '../decisions/sharedClock.js'
import { createCrashGuard, type CrashGuard, type GuardedRequest } from '../tasks/crashGuard.js'
import { startFleetTask, type FleetTask } from '../tasks/fleetTask.js'
import { watchStoreEra } from '../tasks/storeEra.js'

let requests = 0

/** A request of its own with the popular part. */
function createPopularRequest (): GuardedRequest {
  const fingerprint = `request-${requests++}`
  return { fingerprint: () => fingerprint, sharedParts: ['popular'] }
}

interface TestInstance {
  readonly guard: CrashGuard
  readonly fleet: FleetTask
}

let running: TestInstance[] = []

/** Starts an instance whose calls to the store fail while `isCutOff`. */
function startInstance (memory: MemoryRowStore, instanceId: string, isCutOff: () => boolean = () => false): TestInstance {
  const log = createRecordingLog()
  const clock = createSharedClock()
  clock.observe(steadyNow(), steadyNow())
  const rowStore = {
    ...memory.store,
    transact: async (...call: Parameters<typeof memory.store.transact>) => isCutOff() ? { kind: 'refused' as const, reason: 'cut off' } : await memory.store.transact(...call)
  }
  const { store, era } = watchStoreEra(rowStore, log)
  const guard = createCrashGuard({
    log,
    clock,
    instances: () => 2,
    releasePosition: 0,
    reportCrash: (fingerprint, unanswered) => fleet.reportCrash(fingerprint, unanswered),
    reportAnswer: (part) => fleet.reportAnswer(part)
  })
  const fleet = startFleetTask({
    store,
    era,
    log,
    instanceId,
    incarnationId: `${instanceId}.${running.length}`,
    configurationVersion: () => 1,
    peerAddress: `${instanceId}:80`,
    failureDomain: 'a',
    onCrash: guard.learnCrash,
    onAnswer: guard.learnAnswer,
    onLimit: () => {},
    onBrittleness: () => {},
    onMixedVersions: () => {},
    onInstancesChanged: () => {},
    answerToReport: guard.answerToReport,
    latestAnswer: guard.latestAnswer,
    tellPeer: () => {}
  })
  const instance = { guard, fleet }
  running.push(instance)
  return instance
}

/** A crash of another backend server that leaves a request with the popular part unanswered. */
function crash ({ guard }: TestInstance, backendId: string): void {
  guard.recordBroken(createPopularRequest(), { backendProcess: `${backendId}/1`, sentAt: steadyNow() - 5, brokenAt: steadyNow(), isAnswerSound: false })
}

beforeEach(() => { jest.useFakeTimers({ now: 1_000_000 }) })
afterEach(() => {
  for (const { fleet } of running) fleet.follower.stop()
  running = []
  jest.useRealTimers()
})

describe('a prompt part that is answered again and again while backend servers break connections', () => {
  // Guards against a popular part that is refused for minutes after a restart, as an old answer has replaced a newer one in the store.
  test('is not held back by a process that starts after an instance that was cut off has written its answer late', async () => {
    const memory = createMemoryRowStore()
    let isCutOff = false
    const steady = startInstance(memory, 'steady')
    const cutOff = startInstance(memory, 'cutOff', () => isCutOff)
    await jest.advanceTimersByTimeAsync(3000)
    crash(steady, 'server1')
    await jest.advanceTimersByTimeAsync(100)
    crash(steady, 'server2')
    await jest.advanceTimersByTimeAsync(3000)
    isCutOff = true
    cutOff.guard.recordAnswer(createPopularRequest(), steadyNow())
    await jest.advanceTimersByTimeAsync(2000)
    for (const server of ['server3', 'server4', 'server5', 'server6', 'server7']) {
      crash(steady, server)
      await jest.advanceTimersByTimeAsync(100)
    }
    steady.guard.recordAnswer(createPopularRequest(), steadyNow())
    await jest.advanceTimersByTimeAsync(2000)
    isCutOff = false
    await jest.advanceTimersByTimeAsync(5000)
    const restarted = startInstance(memory, 'restarted')
    await jest.advanceTimersByTimeAsync(3000)
    expect(restarted.guard.findQuarantine(createPopularRequest())).toBeUndefined()
  })

  // Guards against a part that is sent on although it has crashed each backend server since the last answer.
  test('is held back by a process that starts when crashes have followed the latest answer', async () => {
    const memory = createMemoryRowStore()
    const steady = startInstance(memory, 'steady')
    await jest.advanceTimersByTimeAsync(3000)
    steady.guard.recordAnswer(createPopularRequest(), steadyNow())
    for (const server of ['server1', 'server2', 'server3', 'server4', 'server5']) {
      await jest.advanceTimersByTimeAsync(100)
      crash(steady, server)
    }
    await jest.advanceTimersByTimeAsync(3000)
    const restarted = startInstance(memory, 'restarted')
    await jest.advanceTimersByTimeAsync(3000)
    expect(restarted.guard.findQuarantine(createPopularRequest())).toBeDefined()
  })
})
