import { assertNever, perform, runDecision, type Command, type Decision } from '@quinceshunt/effects'
import type { Row, RowCheck, RowWrite, TableStore, TransactOutcome } from './ports.js'

/** Reads rows in the order of the keys. */
export interface ReadCommand extends Command<'read', readonly Row[]> { readonly keys: readonly string[] }
/** Lists one page of rows by prefix. */
export interface ScanCommand extends Command<'scan', Awaited<ReturnType<TableStore['scan']>>> { readonly prefix: string, readonly startAfter: string }
/**
 * Applies a transaction. The runner repeats an unanswered transaction unchanged, so a conflict may be caused by its own
 * earlier attempt; the decision tells them apart by a row that only this transaction writes.
 */
export interface TransactCommand extends Command<'transact', TransactOutcome> {
  readonly checks: readonly RowCheck[]
  readonly writes: readonly RowWrite[]
}
/** What decisions ask of the table service. */
export type TableCommand = ReadCommand | ScanCommand | TransactCommand

/** A decision over the table service. */
export type TableDecision<Result> = Decision<TableCommand, Result>

const SCAN_PAGE_ROWS = 500

/** Reads rows. */
export function * readRows (keys: readonly string[]): TableDecision<readonly Row[]> {
  return yield * perform<ReadCommand>({ kind: 'read', keys })
}

/** Reads all rows of a prefix, page by page; pages are not read at one point in time. */
export function * scanRows (prefix: string): TableDecision<readonly Row[]> {
  const rows: Row[] = []
  for (;;) {
    const page = yield * perform<ScanCommand>({ kind: 'scan', prefix, startAfter: rows.at(-1)?.key ?? '' })
    rows.push(...page.rows)
    if (!page.more) return rows
  }
}

/** Applies a transaction. */
export function * transact (checks: readonly RowCheck[], writes: readonly RowWrite[]): TableDecision<TransactOutcome> {
  return yield * perform<TransactCommand>({ kind: 'transact', checks, writes })
}

/** How a decision's commands are run. */
export interface RunTableOptions {
  /** Attempts of one command before its error is thrown into the decision; at least 1. */
  readonly attempts: number
  /** Waits between attempts; a rejection ends the attempts. */
  readonly pause: (failures: number) => Promise<void>
  /** Once aborted, nothing more is sent; the outcome of a transaction under way stays unknown. */
  readonly signal?: AbortSignal
  /** Told of each transaction sent, for metrics. */
  readonly onTransaction?: () => void
  /** Told of each answer and failure of the table service. */
  readonly onAnswer?: (answered: boolean) => void
}

const DEFAULT_OPTIONS: RunTableOptions = { attempts: 3, pause: async () => {} }

/** Runs a decision against a table, repeating unanswered commands unchanged. */
export function runTableDecision<Result> (decision: TableDecision<Result>, table: TableStore, options: Partial<RunTableOptions> = {}): Promise<Result> {
  const { attempts, pause, signal, onTransaction, onAnswer } = { ...DEFAULT_OPTIONS, ...options }

  async function attempt (command: TableCommand): Promise<unknown> {
    for (let failures = 0; ; failures++) {
      signal?.throwIfAborted()
      try {
        if (command.kind === 'transact') onTransaction?.()
        const answer = await send(command, table)
        onAnswer?.(true)
        return answer
      } catch (error) {
        onAnswer?.(false)
        if (failures + 1 >= attempts) throw error
        await pause(failures + 1)
      }
    }
  }

  return runDecision(decision, attempt)
}

function send (command: TableCommand, table: TableStore): Promise<unknown> {
  switch (command.kind) {
    case 'read': return table.read(command.keys)
    case 'scan': return table.scan(command.prefix, command.startAfter, SCAN_PAGE_ROWS)
    case 'transact': return table.transact(command.checks, command.writes)
    default: return assertNever(command)
  }
}
