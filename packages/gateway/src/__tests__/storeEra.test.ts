import { afterEach, beforeEach, describe, expect, jest, test } from '@jest/globals'
import { createMemoryRowStore, type MemoryRowStore, type StoreFault } from '../__fixtures__/memoryRowStore.js'
import { createRecordingLog } from '../__fixtures__/recordingLog.js'
import type { RowStore, RowTransaction } from '../ports.js'
import { watchStoreEra, type WatchedStore } from '../tasks/storeEra.js'
import { followTable, type TableFollower } from '../tasks/tableFollower.js'

const ROW = { table: 'op', part: '', key: 'newest' }
const WRITE: RowTransaction = { expected: [], writes: [{ ...ROW, value: 'written' }], removals: [] }

/** A promise that the test resolves. */
function createHold (): { readonly released: Promise<void>, readonly release: () => void } {
  let release: () => void = () => {}
  const released = new Promise<void>((resolve) => { release = resolve })
  return { released, release: () => release() }
}

function watch (store: RowStore): WatchedStore {
  return watchStoreEra(store, createRecordingLog())
}

describe('a follower of a restored store', () => {
  let follower: TableFollower | undefined
  let seen: string[]

  function follow (memory: MemoryRowStore): void {
    seen = []
    follower = followTable({
      store: watch(memory.store).store,
      log: createRecordingLog(),
      table: ROW.table,
      waitMilliseconds: 0,
      pauseMilliseconds: 100,
      prefersFullRead: false,
      onSnapshot: (rows) => { seen.push(...rows.map((row) => `all:${row.value}`)) },
      onChanges: (rows) => { seen.push(...rows.map((row) => row.value)) }
    })
  }

  beforeEach(() => { jest.useFakeTimers() })
  afterEach(() => {
    follower?.stop()
    jest.useRealTimers()
  })

  // Guards against changes that are never seen because their versions were also given to lost writes: the store answers a
  // read from such a version like any other.
  test('changes with reissued versions are seen', async () => {
    const memory = createMemoryRowStore()
    memory.putRow(ROW, 'first')
    follow(memory)
    await jest.advanceTimersByTimeAsync(300)
    const copy = memory.takeCopy()
    memory.putRow(ROW, 'lost')
    memory.putRow({ ...ROW, key: 'other' }, 'lost too')
    await jest.advanceTimersByTimeAsync(300)
    memory.restore(copy)
    memory.putRow(ROW, 'written again')
    memory.putRow({ ...ROW, table: 'servers' }, 'takes the version up to that of the follower')
    await jest.advanceTimersByTimeAsync(500)
    expect(seen).toEqual(['all:first', 'lost', 'lost too', 'all:written again'])
  })
})

describe('calls that a restore overtakes', () => {
  // Guards against a transaction that is taken for applied or rejected although the restored store may or may not hold it.
  test.each<StoreFault>([{ kind: 'none' }, { kind: 'loseReply' }])('a transaction under way ($kind) is superseded', async (fault) => {
    const memory = createMemoryRowStore(() => fault)
    const response = createHold()
    const { store, era } = watch({
      ...memory.store,
      transact: async (transaction, deadline) => {
        const outcome = await memory.store.transact(transaction, deadline)
        await response.released
        return outcome
      }
    })
    await store.read('op', '', 0)
    const overtaken = store.transact(WRITE, 0)
    memory.restore(memory.takeCopy())
    await store.read('op', '', 0)
    response.release()
    expect((await overtaken).kind).toBe('superseded')
    expect(era.current).toBe(2)
    expect((await store.transact(WRITE, 0)).kind).toBe(fault.kind === 'none' ? 'applied' : 'unknown')
  })

  // Guards against rows from before the restore that replace newer ones.
  test('a response that was sent before the restore and arrives after it is not used', async () => {
    const memory = createMemoryRowStore()
    const response = createHold()
    const { store } = watch({
      ...memory.store,
      read: async (table, part, deadline, range) => {
        const outcome = await memory.store.read(table, part, deadline, range)
        if (table === 'slow') await response.released
        return outcome
      }
    })
    await store.read('op', '', 0)
    const outdated = store.read('slow', '', 0)
    memory.restore(memory.takeCopy())
    await store.read('op', '', 0)
    response.release()
    expect((await outdated).kind).toBe('unavailable')
  })

  test('listeners are told once of each restore, and not of the first response', async () => {
    const memory = createMemoryRowStore()
    const { store, era } = watch(memory.store)
    let told = 0
    era.onRestored(() => { told++ })
    await store.read('op', '', 0)
    expect(told).toBe(0)
    memory.restore(memory.takeCopy())
    await Promise.all([store.read('op', '', 0), store.read('op', '', 0)])
    expect(told).toBe(1)
    expect(era.restoredAt).toBeDefined()
  })
})
