import type { ReadOutcome, RowKey, RowStore, RowTransaction, StoredRow, TransactionOutcome } from '../ports.js'
import { steadyNow } from '../clock.js'

/** One-way network delay, used only when the store's processing time is simulated. */
const NETWORK_DELAY_MS = 2

/** Fault injected into a transaction. */
export type StoreFault =
  | { readonly kind: 'none' }
  /** It is not applied, and the store reports that. */
  | { readonly kind: 'refuse' }
  /** It is applied, but the reply is lost. */
  | { readonly kind: 'loseReply' }
  /** It is applied later, if the expected versions still match, and the reply is lost. */
  | { readonly kind: 'late', readonly milliseconds: number }
  /** It is neither applied nor answered. */
  | { readonly kind: 'drop' }

/** Copy of a store's rows and its newest version. */
export interface RowStoreCopy {
  readonly rows: ReadonlyMap<string, StoredRow>
  readonly version: number
}

/** An in-memory row store with fault injection. */
export interface MemoryRowStore {
  readonly store: RowStore
  readonly getRow: (rowKey: RowKey) => string | undefined
  readonly putRow: (rowKey: RowKey, value: string) => void
  /** Marks a row as deleted, so that followers of its table learn of the removal. */
  readonly removeRow: (rowKey: RowKey) => void
  readonly takeCopy: () => RowStoreCopy
  /** Brings the store back from a copy: later writes are lost, their versions are issued again, and the era rises. */
  readonly restore: (copy: RowStoreCopy) => void
  readonly transactions: number
}

/**
 * Creates an empty store; `chooseFault` is called for each transaction. With `workMilliseconds` above 0 each transaction
 * takes that long, each partition processes its transactions one after the other, and no faults are injected.
 */
export function createMemoryRowStore (chooseFault: () => StoreFault = () => ({ kind: 'none' }), processingMilliseconds = 0): MemoryRowStore {
  const rows = new Map<string, StoredRow>()
  let version = 0
  let era = 1
  let transactions = 0
  const partBusyUntil = new Map<string, number>()

  const pause = (milliseconds: number): Promise<void> => new Promise((resolve) => setTimeout(resolve, milliseconds))
  const keyOf = (rowKey: RowKey): string => `${rowKey.table}\n${rowKey.part}\n${rowKey.key}`
  const versionOf = (rowKey: RowKey): number => rows.get(keyOf(rowKey))?.version ?? 0

  function apply (transaction: RowTransaction): TransactionOutcome {
    if (transaction.expected.some((row) => versionOf(row) !== row.version)) {
      const current = transaction.expected.flatMap((row) => rows.get(keyOf(row)) ?? [])
      return { kind: 'conflict', rows: current, storeTime: steadyNow(), era }
    }
    version++
    for (const write of transaction.writes) rows.set(keyOf(write), { ...write, version, deleted: false })
    for (const removal of transaction.removals) rows.delete(keyOf(removal))
    return { kind: 'applied', version, storeTime: steadyNow(), era }
  }

  async function transact (transaction: RowTransaction): Promise<TransactionOutcome> {
    transactions++
    const fault = chooseFault()
    if (processingMilliseconds > 0) {
      await pause(NETWORK_DELAY_MS)
      const parts = new Set(transaction.writes.map((row) => row.part))
      const doneAt = Math.max(steadyNow(), ...[...parts].map((part) => partBusyUntil.get(part) ?? 0)) + processingMilliseconds
      for (const part of parts) partBusyUntil.set(part, doneAt)
      await pause(doneAt - steadyNow())
      const outcome = apply(transaction)
      await pause(NETWORK_DELAY_MS)
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

  function select (predicate: (row: StoredRow) => boolean): ReadOutcome {
    return { kind: 'rows', rows: [...rows.values()].filter(predicate), version, storeTime: steadyNow(), era }
  }

  return {
    store: {
      transact,
      read: async (table, part, deadline, range) => select((row) => row.table === table && row.part === part && (range === undefined || (row.key >= range.from && row.key < range.to))),
      readChanges: async (table, after) => after > version ? { kind: 'historyGone', era } : select((row) => row.table === table && row.version > after),
      close: () => {}
    },
    getRow: (rowKey) => rows.get(keyOf(rowKey))?.value,
    putRow: (rowKey, value) => { rows.set(keyOf(rowKey), { ...rowKey, value, version: ++version, deleted: false }) },
    removeRow: (rowKey) => { rows.set(keyOf(rowKey), { ...rowKey, value: '', version: ++version, deleted: true }) },
    takeCopy: () => ({ rows: new Map(rows), version }),
    restore: (copy) => {
      rows.clear()
      for (const [key, row] of copy.rows) rows.set(key, row)
      version = copy.version
      era++
    },
    get transactions () { return transactions }
  }
}
