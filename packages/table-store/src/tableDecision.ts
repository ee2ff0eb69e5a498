import { assertNever, perform, runDecision, type Command, type Decision } from '@quinceshunt/effects'
import type { Row, RowCheck, RowWrite, TableStore, TransactOutcome } from './ports.js'

/** Reads rows by key; the rows are in the order of the keys. */
export interface ReadCommand extends Command<'read', readonly Row[]> { readonly keys: readonly string[] }
/** Lists one page of rows by prefix. */
export interface ScanCommand extends Command<'scan', Awaited<ReturnType<TableStore['scan']>>> { readonly prefix: string, readonly startAfter: string }
/**
 * Applies a transaction. The runner retries a transaction without a response unchanged, so a conflict may be caused by
 * its own earlier attempt; the decision detects that by a row that only this transaction writes.
 */
export interface TransactCommand extends Command<'transact', TransactOutcome> {
  readonly checks: readonly RowCheck[]
  readonly writes: readonly RowWrite[]
}
/** Commands of decisions to the table service. */
export type TableCommand = ReadCommand | ScanCommand | TransactCommand

/** A decision that reads and writes the table service. */
export type TableDecision<Result> = Decision<TableCommand, Result>

const SCAN_PAGE_ROWS = 500

/** Reads rows by key, in the order of the keys. */
export function * readRows (keys: readonly string[]): TableDecision<readonly Row[]> {
  return yield * perform<ReadCommand>({ kind: 'read', keys })
}

/** Reads all rows of a prefix, page by page; the pages are not one consistent snapshot. */
export function * scanRows (prefix: string): TableDecision<readonly Row[]> {
  const rows: Row[] = []
  for (;;) {
    const page = yield * perform<ScanCommand>({ kind: 'scan', prefix, startAfter: rows.at(-1)?.key ?? '' })
    rows.push(...page.rows)
    if (!page.more) return rows
  }
}

/** Applies all writes if all checks hold, otherwise none. */
export function * transact (checks: readonly RowCheck[], writes: readonly RowWrite[]): TableDecision<TransactOutcome> {
  return yield * perform<TransactCommand>({ kind: 'transact', checks, writes })
}

/** Options for running a decision's commands. */
export interface RunTableOptions {
  /** Attempts per command before its error is thrown into the decision; at least 1. */
  readonly maxAttempts: number
  /** Waits before the next attempt; when it rejects, there are no further attempts. */
  readonly waitBeforeRetry: (failures: number) => Promise<void>
  /** Once aborted, no further command is sent; the outcome of a transaction in progress stays unknown. */
  readonly signal?: AbortSignal
  /** Called for each transaction sent, for metrics. */
  readonly onTransaction?: () => void
  /** Called after each attempt; `answered` tells whether the table service responded. */
  readonly onResponse?: (answered: boolean) => void
}

const DEFAULT_OPTIONS: RunTableOptions = { maxAttempts: 3, waitBeforeRetry: async () => {} }

/** Runs a decision against a table; commands that fail are retried unchanged. */
export function runTableDecision<Result> (decision: TableDecision<Result>, table: TableStore, options: Partial<RunTableOptions> = {}): Promise<Result> {
  const { maxAttempts, waitBeforeRetry, signal, onTransaction, onResponse } = { ...DEFAULT_OPTIONS, ...options }

  async function runCommand (command: TableCommand): Promise<unknown> {
    for (let failures = 0; ; failures++) {
      signal?.throwIfAborted()
      try {
        if (command.kind === 'transact') onTransaction?.()
        const response = await sendCommand(command, table)
        onResponse?.(true)
        return response
      } catch (error) {
        onResponse?.(false)
        if (failures + 1 >= maxAttempts) throw error
        await waitBeforeRetry(failures + 1)
      }
    }
  }

  return runDecision(decision, runCommand)
}

function sendCommand (command: TableCommand, table: TableStore): Promise<unknown> {
  switch (command.kind) {
    case 'read': return table.read(command.keys)
    case 'scan': return table.scan(command.prefix, command.startAfter, SCAN_PAGE_ROWS)
    case 'transact': return table.transact(command.checks, command.writes)
    default: return assertNever(command)
  }
}
