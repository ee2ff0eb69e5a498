import { afterEach, beforeEach, describe, expect, jest, test } from '@jest/globals'
import { createMemoryRowStore, type MemoryRowStore } from '../__fixtures__/memoryRowStore.js'
import { createRecordingLog } from '../__fixtures__/recordingLog.js'
import { startFleetTask, type FleetTask } from '../tasks/fleetTask.js'

interface TestInstance {
  readonly fleet: FleetTask
  readonly shortages: string[]
}

let running: TestInstance[] = []

function startInstance (memory: MemoryRowStore, instanceId: string): TestInstance {
  const shortages: string[] = []
  const fleet = startFleetTask({
    store: memory.store,
    log: createRecordingLog(),
    instanceId,
    incarnationId: `${instanceId}.1`,
    peerAddress: `${instanceId}:80`,
    failureDomain: 'a',
    onShortage: (account) => { shortages.push(account) },
    onCrash: () => {}
  })
  const instance = { fleet, shortages }
  running.push(instance)
  return instance
}

beforeEach(() => { jest.useFakeTimers() })
afterEach(() => {
  for (const { fleet } of running) fleet.follower.stop()
  running = []
  jest.useRealTimers()
})

describe('an exhausted account in a large fleet', () => {
  test('a shortage reaches all instances without each of them announcing it repeatedly', async () => {
    const memory = createMemoryRowStore()
    const instances = Array.from({ length: 30 }, (_, index) => startInstance(memory, `instance${index}`))
    await jest.advanceTimersByTimeAsync(2000)
    const before = memory.transactions
    for (let round = 0; round < 10; round++) {
      for (const { fleet } of instances) {
        fleet.announceShortage('school')
        await jest.advanceTimersByTimeAsync(10)
      }
    }
    expect(instances.every(({ shortages }) => shortages.includes('school'))).toBe(true)
    // Within three seconds only instances that have not received an announcement yet announce it.
    expect(memory.transactions - before).toBeLessThanOrEqual(instances.length)
  })
})
