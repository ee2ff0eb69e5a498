import { afterEach, beforeEach, describe, expect, jest, test } from '@jest/globals'
import { createKeptLog } from '../__fixtures__/silentLog.js'
import type { ReadOutcome, RowStore, StoredRow } from '../ports.js'
import { followTable, type TableFollower } from '../tasks/tableFollower.js'

function createRow (version: number): StoredRow {
  return { table: 'configuration', part: '', key: 'newest', value: String(version), version, deleted: false }
}

function createAnswer (...versions: readonly number[]): ReadOutcome {
  return { kind: 'rows', rows: versions.map(createRow), version: versions.at(-1) ?? 0, storeTime: 0 }
}

interface ScriptedStore {
  readonly store: RowStore
  readonly calls: readonly string[]
}

/** A store that gives the answers in turn, and then none. */
function createScriptedStore (answers: readonly ReadOutcome[]): ScriptedStore {
  const calls: string[] = []
  const left = [...answers]
  const next = async (call: string): Promise<ReadOutcome> => {
    calls.push(call)
    return left.shift() ?? await new Promise<ReadOutcome>(() => {})
  }
  return {
    calls,
    store: { read: async () => await next('read'), follow: async (table, after) => await next(`follow ${after}`), transact: async () => ({ kind: 'refused', reason: 'not used here' }), close: () => {} }
  }
}

let follower: TableFollower | undefined
let seen: string[]

function startFollower (store: RowStore, isSmall = true): void {
  seen = []
  const take = (rows: readonly StoredRow[]): void => { seen.push(...rows.map((row) => row.value)) }
  follower = followTable({ store, log: createKeptLog(), table: 'configuration', waitMilliseconds: 1500, pauseMilliseconds: 0, isSmall, onAll: take, onChanges: take })
}

beforeEach(() => { jest.useFakeTimers() })
afterEach(() => {
  follower?.stop()
  jest.useRealTimers()
})

describe('following a table of the store', () => {
  test('the table is read once, then its changes', async () => {
    const { store, calls } = createScriptedStore([createAnswer(3), createAnswer(5), createAnswer(6)])
    startFollower(store)
    await jest.advanceTimersByTimeAsync(1000)
    expect(calls).toEqual(['read', 'follow 3', 'follow 5', 'follow 6'])
    expect(seen).toEqual(['3', '5', '6'])
  })

  test('after an outage the newest rows are read, not all that was missed', async () => {
    const { store, calls } = createScriptedStore([createAnswer(3), { kind: 'unavailable', reason: 'no answer in time' }, createAnswer(9)])
    startFollower(store)
    await jest.advanceTimersByTimeAsync(1000)
    expect(calls).toEqual(['read', 'follow 3', 'read', 'follow 9'])
  })

  test('a large table is not read anew after an outage', async () => {
    const { store, calls } = createScriptedStore([createAnswer(3), { kind: 'unavailable', reason: 'no answer in time' }, createAnswer(9)])
    startFollower(store, false)
    await jest.advanceTimersByTimeAsync(1000)
    expect(calls).toEqual(['read', 'follow 3', 'follow 3', 'follow 9'])
  })

  test('a follower that lags behind rapid changes reads the newest rows next', async () => {
    const { store, calls } = createScriptedStore([createAnswer(3), createAnswer(4, 5, 6), createAnswer(8)])
    startFollower(store)
    await jest.advanceTimersByTimeAsync(1000)
    expect(calls).toEqual(['read', 'follow 3', 'read', 'follow 8'])
    expect(seen).toEqual(['3', '4', '5', '6', '8'])
  })

  test('a history that is gone is replaced by a read', async () => {
    const { store, calls } = createScriptedStore([createAnswer(3), { kind: 'historyGone' }, createAnswer(4)])
    startFollower(store)
    await jest.advanceTimersByTimeAsync(1000)
    expect(calls).toEqual(['read', 'follow 3', 'read', 'follow 4'])
  })
})
