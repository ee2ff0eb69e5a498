import { afterEach, beforeEach, describe, expect, jest, test } from '@jest/globals'
import { createMemoryRowStore, type MemoryRowStore } from '../__fixtures__/memoryRowStore.js'
import { createRecordingLog } from '../__fixtures__/recordingLog.js'
import { steadyNow } from '../clock.js'
import type { BackendServerEntry } from '../fleetConfiguration.js'
import type { GatewayPlatform } from '../ports.js'
import { startBackendTask, type BackendTask } from '../tasks/backendTask.js'
import { watchStoreEra } from '../tasks/storeEra.js'

const DRAIN_MS = 2000
const REWRITE_MS = 2000

function throwUnused (): never {
  throw new Error('only entries of backend servers are expected')
}

const unusedWire: GatewayPlatform['wire'] = { decodeRequestHeaders: throwUnused, buildRequestHeaders: throwUnused, buildRelayHeaders: throwUnused, decodeResponseHeaders: throwUnused, buildResponseHeaders: throwUnused, decodeConfiguration: throwUnused, decodeBackendServer: throwUnused, decodeEvacuation: throwUnused, processReport: { path: '', decodeStartTime: throwUnused } }

interface TestList {
  readonly memory: MemoryRowStore
  readonly task: BackendTask
  /** Writes an entry like the backend server itself. */
  write (entry: Partial<BackendServerEntry> & { readonly id: string }): void
  readonly usable: () => readonly string[]
}

function startTestList (): TestList {
  const memory = createMemoryRowStore()
  const log = createRecordingLog()
  const { store, era } = watchStoreEra(memory.store, log)
  const decodeBackendServer = (_id: string, value: string): BackendServerEntry => JSON.parse(value)
  const platform: GatewayPlatform = { store, wire: { ...unusedWire, decodeBackendServer }, tables: { configuration: { table: 'op', key: 'config' }, evacuations: { table: 'op', keyPrefix: 'evacuate/' }, backendServers: { table: 'servers' } } }
  const task = startBackendTask({ platform, log, era, drainMilliseconds: DRAIN_MS, onListed: () => {}, onRemoved: () => {}, onRenewed: () => {}, onRestarted: () => {} })
  return {
    memory,
    task,
    write: (entry) => memory.putRow({ table: 'servers', part: '', key: entry.id }, JSON.stringify({ service: 'ledger', address: `${entry.id}:80`, failureDomain: 'north', version: 'v1', slots: 4, state: 'ready', startedAt: 7, sequence: 1, coldUntil: 0, ...entry })),
    usable: () => task.candidates('ledger', steadyNow()).map(({ entry }) => entry.id).sort()
  }
}

let list: TestList

beforeEach(async () => {
  jest.useFakeTimers()
  list = startTestList()
  for (const id of ['a', 'b', 'c']) list.write({ id })
  await jest.advanceTimersByTimeAsync(DRAIN_MS)
})
afterEach(() => {
  list.task.stop()
  jest.useRealTimers()
})

describe('the list of backend servers in a restored store', () => {
  // Guards against requests to a backend server that drains, or has left, while the restored list still shows it as ready.
  test('a backend server that drains or has left since the copy is not used again', async () => {
    const copy = list.memory.takeCopy()
    list.write({ id: 'a', state: 'draining', sequence: 2 })
    list.memory.removeRow({ table: 'servers', part: '', key: 'b' })
    await jest.advanceTimersByTimeAsync(DRAIN_MS)
    expect(list.usable()).toEqual(['c'])
    list.memory.restore(copy)
    // The copy still lists it as ready; the operator or the backend servers write the newer entries again after two seconds.
    for (let passed = 0; passed < 5 * DRAIN_MS; passed += 100) {
      if (passed === REWRITE_MS) {
        list.write({ id: 'a', state: 'draining', sequence: 2 })
        list.memory.removeRow({ table: 'servers', part: '', key: 'b' })
      }
      await jest.advanceTimersByTimeAsync(100)
      expect(list.usable()).toEqual(['c'])
    }
  })

  // Guards against the loss of a sound backend server whose entry lapsed during the outage and came back with the number that it had.
  test('an entry that may be from before the copy counts when it is still listed five seconds after the restore', async () => {
    const copy = list.memory.takeCopy()
    list.memory.removeRow({ table: 'servers', part: '', key: 'b' })
    await jest.advanceTimersByTimeAsync(DRAIN_MS)
    list.memory.restore(copy)
    await jest.advanceTimersByTimeAsync(4000)
    expect(list.usable()).toEqual(['a', 'c'])
    await jest.advanceTimersByTimeAsync(2000)
    expect(list.usable()).toEqual(['a', 'b', 'c'])
  })

  test('an entry that was removed and comes back with the same number is used at once when the store was not restored', async () => {
    list.memory.removeRow({ table: 'servers', part: '', key: 'b' })
    await jest.advanceTimersByTimeAsync(DRAIN_MS)
    list.write({ id: 'b' })
    await jest.advanceTimersByTimeAsync(1000)
    expect(list.usable()).toEqual(['a', 'b', 'c'])
  })

  test('a backend server that comes back with a newer entry, or as a new process, is used', async () => {
    const copy = list.memory.takeCopy()
    for (const key of ['a', 'b']) list.memory.removeRow({ table: 'servers', part: '', key })
    await jest.advanceTimersByTimeAsync(DRAIN_MS)
    list.memory.restore(copy)
    list.write({ id: 'a', sequence: 2 })
    list.write({ id: 'b', startedAt: 8, sequence: 1 })
    await jest.advanceTimersByTimeAsync(DRAIN_MS)
    expect(list.usable()).toEqual(['a', 'b', 'c'])
  })

  // Guards against the loss of sound backend servers that registered after the copy: they write their entries again within two seconds.
  test('a backend server that registered after the copy stays in use until it has had time to write its entry again', async () => {
    const copy = list.memory.takeCopy()
    list.write({ id: 'd' })
    await jest.advanceTimersByTimeAsync(DRAIN_MS)
    list.memory.restore(copy)
    await jest.advanceTimersByTimeAsync(1500)
    expect(list.usable()).toEqual(['a', 'b', 'c', 'd'])
    list.write({ id: 'd', sequence: 2 })
    await jest.advanceTimersByTimeAsync(2 * DRAIN_MS)
    expect(list.usable()).toEqual(['a', 'b', 'c', 'd'])
  })

  // Guards against a service without backend servers from the end of the grace until the poll that finds the entries written again.
  test('a backend server that writes its entry again two seconds after the restore stays in use all the time', async () => {
    const copy = list.memory.takeCopy()
    list.write({ id: 'd' })
    await jest.advanceTimersByTimeAsync(DRAIN_MS)
    list.memory.restore(copy)
    const missingAt: number[] = []
    for (let passed = 0; passed < 2 * DRAIN_MS; passed += 20) {
      if (passed === REWRITE_MS) list.write({ id: 'd', sequence: 2 })
      await jest.advanceTimersByTimeAsync(20)
      if (!list.usable().includes('d')) missingAt.push(passed)
    }
    expect(missingAt).toEqual([])
  })
})
