import type { ReadOutcome, RowKey, RowStore, RowTransaction, StoredRow, TransactionOutcome } from '../ports.js'
import { steadyNow } from '../clock.js'

/** Time that a message takes when the store's work is modelled, milliseconds. */
const NETWORK_DELAY = 2

/** What becomes of the next transaction. */
export type StoreFault =
  | { readonly kind: 'none' }
  /** Nothing is done, and the caller is told so. */
  | { readonly kind: 'refuse' }
  /** It takes effect and the reply is lost. */
  | { readonly kind: 'loseReply' }
  /** It takes effect later, if its conditions still hold, and the reply is lost. */
  | { readonly kind: 'late', readonly milliseconds: number }
  /** It has no effect and no reply. */
  | { readonly kind: 'drop' }

/** A row store in memory with faults that a test chooses. */
export interface MemoryRowStore {
  readonly store: RowStore
  readonly row: (name: RowKey) => string | undefined
  readonly put: (name: RowKey, value: string) => void
  readonly transactions: number
}

/**
 * Creates an empty store; `chooseFault` is asked for each transaction. With `workMilliseconds` it takes that long for a
 * transaction, and a part of the store does one after the other.
 */
export function createMemoryRowStore (chooseFault: () => StoreFault = () => ({ kind: 'none' }), workMilliseconds = 0): MemoryRowStore {
  const rows = new Map<string, StoredRow>()
  let version = 0
  let transactions = 0
  const busyUntil = new Map<string, number>()

  const pause = (milliseconds: number): Promise<void> => new Promise((resolve) => setTimeout(resolve, milliseconds))
  const keyOf = (name: RowKey): string => `${name.table}\n${name.part}\n${name.key}`
  const versionOf = (name: RowKey): number => rows.get(keyOf(name))?.version ?? 0

  function apply (transaction: RowTransaction): TransactionOutcome {
    if (transaction.expected.some((row) => versionOf(row) !== row.version)) {
      const current = transaction.expected.flatMap((row) => rows.get(keyOf(row)) ?? [])
      return { kind: 'conflict', rows: current, storeTime: steadyNow() }
    }
    version++
    for (const write of transaction.writes) rows.set(keyOf(write), { ...write, version, deleted: false })
    for (const removal of transaction.removals) rows.delete(keyOf(removal))
    return { kind: 'applied', version, storeTime: steadyNow() }
  }

  async function transact (transaction: RowTransaction): Promise<TransactionOutcome> {
    transactions++
    const fault = chooseFault()
    if (workMilliseconds > 0) {
      await pause(NETWORK_DELAY)
      const parts = new Set(transaction.writes.map((row) => row.part))
      const doneAt = Math.max(steadyNow(), ...[...parts].map((part) => busyUntil.get(part) ?? 0)) + workMilliseconds
      for (const part of parts) busyUntil.set(part, doneAt)
      await pause(doneAt - steadyNow())
      const outcome = apply(transaction)
      await pause(NETWORK_DELAY)
      return outcome
    }
    switch (fault.kind) {
      case 'none': return apply(transaction)
      case 'refuse': return { kind: 'refused', reason: 'refused by the test' }
      case 'loseReply':
        apply(transaction)
        return { kind: 'unknown', reason: 'lost by the test' }
      case 'late':
        setTimeout(() => apply(transaction), fault.milliseconds)
        return { kind: 'unknown', reason: 'late by the test' }
      case 'drop': return { kind: 'unknown', reason: 'dropped by the test' }
    }
  }

  function select (test: (row: StoredRow) => boolean): ReadOutcome {
    return { kind: 'rows', rows: [...rows.values()].filter(test), version, storeTime: steadyNow() }
  }

  return {
    store: {
      transact,
      read: async (table, part, deadline, range) => select((row) => row.table === table && row.part === part && (range === undefined || (row.key >= range.from && row.key < range.to))),
      readChanges: async (table, after) => select((row) => row.table === table && row.version > after),
      close: () => {}
    },
    row: (name) => rows.get(keyOf(name))?.value,
    put: (name, value) => { rows.set(keyOf(name), { ...name, value, version: ++version, deleted: false }) },
    get transactions () { return transactions }
  }
}
