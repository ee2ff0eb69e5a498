import { afterEach, beforeEach, describe, expect, jest, test } from '@jest/globals'
import { createRecordingLog } from '../__fixtures__/recordingLog.js'
import { steadyNow } from '../clock.js'
import type { ReadOutcome, RowStore, StoredRow } from '../ports.js'
import { followTable, type ResponseContext, type TableFollower } from '../tasks/tableFollower.js'

function createRow (version: number): StoredRow {
  return { table: 'configuration', part: '', key: 'newest', value: String(version), version, deleted: false }
}

function createReadOutcome (...versions: readonly number[]): ReadOutcome {
  return { kind: 'rows', rows: versions.map(createRow), version: versions.at(-1) ?? 0, storeTime: 0 }
}

interface ScriptedStore {
  readonly store: RowStore
  readonly calls: readonly string[]
}

/** Creates a store that returns the given outcomes in order and then never responds. */
function createScriptedStore (outcomes: readonly ReadOutcome[]): ScriptedStore {
  const calls: string[] = []
  const remaining = [...outcomes]
  const next = async (call: string): Promise<ReadOutcome> => {
    calls.push(call)
    return remaining.shift() ?? await new Promise<ReadOutcome>(() => {})
  }
  return {
    calls,
    store: { read: async () => await next('read'), readChanges: async (table, after) => await next(`follow ${after}`), transact: async () => ({ kind: 'refused', reason: 'not used here' }), close: () => {} }
  }
}

/** Creates a store whose responses take some time, and notes when its calls were sent. */
function createSlowStore (outcomes: readonly ReadOutcome[], milliseconds: number): { readonly store: RowStore, readonly sentAt: readonly number[] } {
  const { store } = createScriptedStore(outcomes)
  const sentAt: number[] = []
  const delay = async (call: () => Promise<ReadOutcome>): Promise<ReadOutcome> => {
    sentAt.push(steadyNow())
    await new Promise((resolve) => setTimeout(resolve, milliseconds))
    return await call()
  }
  return { sentAt, store: { ...store, read: async (...call) => await delay(async () => await store.read(...call)), readChanges: async (...call) => await delay(async () => await store.readChanges(...call)) } }
}

let follower: TableFollower | undefined
let seen: string[]

function startFollower (store: RowStore, prefersFullRead = true, pauseMilliseconds = 0): void {
  seen = []
  const collect = (rows: readonly StoredRow[]): void => { seen.push(...rows.map((row) => row.value)) }
  follower = followTable({ store, log: createRecordingLog(), table: 'configuration', waitMilliseconds: 1500, pauseMilliseconds, prefersFullRead, onSnapshot: collect, onChanges: collect })
}

beforeEach(() => { jest.useFakeTimers() })
afterEach(() => {
  follower?.stop()
  jest.useRealTimers()
})

describe('following a table of the store', () => {
  test('the table is read in full once, then only its changes', async () => {
    const { store, calls } = createScriptedStore([createReadOutcome(3), createReadOutcome(5), createReadOutcome(6)])
    startFollower(store)
    await jest.advanceTimersByTimeAsync(1000)
    expect(calls).toEqual(['read', 'follow 3', 'follow 5', 'follow 6'])
    expect(seen).toEqual(['3', '5', '6'])
  })

  test('after an outage a small table is reread instead of all missed changes', async () => {
    const { store, calls } = createScriptedStore([createReadOutcome(3), { kind: 'unavailable', reason: 'no response in time' }, createReadOutcome(9)])
    startFollower(store)
    await jest.advanceTimersByTimeAsync(1000)
    expect(calls).toEqual(['read', 'follow 3', 'read', 'follow 9'])
  })

  test('a large table is not reread after an outage', async () => {
    const { store, calls } = createScriptedStore([createReadOutcome(3), { kind: 'unavailable', reason: 'no response in time' }, createReadOutcome(9)])
    startFollower(store, false)
    await jest.advanceTimersByTimeAsync(1000)
    expect(calls).toEqual(['read', 'follow 3', 'follow 3', 'follow 9'])
  })

  test('a follower that lags behind rapid changes rereads the table', async () => {
    const { store, calls } = createScriptedStore([createReadOutcome(3), createReadOutcome(4, 5, 6), createReadOutcome(8)])
    startFollower(store)
    await jest.advanceTimersByTimeAsync(1000)
    expect(calls).toEqual(['read', 'follow 3', 'read', 'follow 8'])
    expect(seen).toEqual(['3', '4', '5', '6', '8'])
  })

  test('the table is reread when the store has dropped the history', async () => {
    const { store, calls } = createScriptedStore([createReadOutcome(3), { kind: 'historyGone' }, createReadOutcome(4)])
    startFollower(store)
    await jest.advanceTimersByTimeAsync(1000)
    expect(calls).toEqual(['read', 'follow 3', 'read', 'follow 4'])
  })

  // Guards against a follower that asks for the same changes for good, as they are too many for one response.
  test('a large table is reread when its changes are too many for one response', async () => {
    const { store, calls } = createScriptedStore([createReadOutcome(3), { kind: 'unavailable', reason: 'the response is too large', mustReread: true }, { kind: 'unavailable', reason: 'no response in time' }, createReadOutcome(9)])
    startFollower(store, false)
    await jest.advanceTimersByTimeAsync(1000)
    expect(calls).toEqual(['read', 'follow 3', 'read', 'read', 'follow 9'])
    expect(seen).toEqual(['3', '9'])
    expect(follower?.isStoreUnreachable).toBe(false)
  })

  // Guards against a renewed entry that is taken for later than it may have been written, which proves connections to a successor.
  test('what changed was written after the call before was sent, not after its response or a call that failed', async () => {
    const { store, sentAt } = createSlowStore([createReadOutcome(3), createReadOutcome(5), { kind: 'unavailable', reason: 'no response in time' }, createReadOutcome(6)], 40)
    const changedSince: number[] = []
    const collect = (_: unknown, responseContext: ResponseContext): void => { changedSince.push(responseContext.changedSince) }
    follower = followTable({ store, log: createRecordingLog(), table: 'configuration', waitMilliseconds: 1500, pauseMilliseconds: 0, prefersFullRead: false, onSnapshot: collect, onChanges: collect })
    await jest.advanceTimersByTimeAsync(1000)
    expect(changedSince).toEqual([-Infinity, sentAt[0], sentAt[1]])
    expect(new Set(sentAt).size).toBe(sentAt.length)
  })
})

describe('a read that is asked for', () => {
  const RESPONSE_MS = 100

  // Guards against rows that were written before the question and come only with the next call.
  test('is over with the response to a call that was sent after the question', async () => {
    const { store, sentAt } = createSlowStore([createReadOutcome(3), createReadOutcome(5), createReadOutcome(6)], RESPONSE_MS)
    startFollower(store, true, 10_000)
    await jest.advanceTimersByTimeAsync(RESPONSE_MS / 2)
    const read = follower?.readSince(steadyNow())
    const askedAt = steadyNow()
    await jest.advanceTimersByTimeAsync(1000)
    expect(await read).toBe(true)
    expect(seen).toEqual(['3', '5'])
    expect(sentAt).toHaveLength(2)
    expect(sentAt[1]).toBeGreaterThanOrEqual(askedAt)
  })

  // Guards against a call for each question, and against questions that wait for the end of the pause.
  test('ends the pause, and questions at one moment share a call', async () => {
    const { store, calls } = createScriptedStore([createReadOutcome(3), createReadOutcome(5), createReadOutcome(6)])
    startFollower(store, true, 10_000)
    await jest.advanceTimersByTimeAsync(1000)
    expect(calls).toEqual(['read'])
    const reads = Promise.all(Array.from({ length: 20 }, async () => await follower?.readSince(steadyNow())))
    await jest.advanceTimersByTimeAsync(10)
    expect(await reads).toEqual(Array.from({ length: 20 }, () => true))
    expect(calls).toEqual(['read', 'follow 3'])
  })

  // Guards against callers that wait for a store that is away, and against old rows that are taken for recent ones.
  test('fails with the first call that fails, and at once from then on', async () => {
    const { store } = createScriptedStore([createReadOutcome(3), { kind: 'unavailable', reason: 'no response in time' }])
    startFollower(store, true, 10_000)
    await jest.advanceTimersByTimeAsync(1000)
    const read = follower?.readSince(steadyNow())
    await jest.advanceTimersByTimeAsync(10)
    expect(await read).toBe(false)
    expect(await follower?.readSince(steadyNow())).toBe(false)
  })
})
