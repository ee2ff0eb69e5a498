import type { TaskContext } from './taskContracts.js'
import { runTableDecision, type TableDecision } from '@quinceshunt/table-store'

/** Metric label of table transactions. */
export type TablePurpose = 'draw' | 'return' | 'settle' | 'close' | 'topUp' | 'summarise'

/** Runs a decision, repeating each command until it is answered or the signal is aborted. */
export type RunTableDecision = <Result>(purpose: TablePurpose, decision: TableDecision<Result>, signal: AbortSignal) => Promise<Result>

const INITIAL_RETRY_DELAY_MS = 5
/** With longer delays, the first use of a budget took over 1 s while half of the replies were lost. */
const MAX_SHORT_RETRY_DELAY_MS = 50
/** More consecutive failures are treated as an outage. */
const MAX_SHORT_RETRIES = 12
/** Maximum delay during an outage; short enough that waiting requests notice its end before most deadlines. */
const MAX_RETRY_DELAY_MS = 500

function retryDelayMilliseconds (failures: number): number {
  if (failures <= MAX_SHORT_RETRIES) return Math.min(MAX_SHORT_RETRY_DELAY_MS, INITIAL_RETRY_DELAY_MS * 2 ** (failures - 1))
  return Math.min(MAX_RETRY_DELAY_MS, MAX_SHORT_RETRY_DELAY_MS * 2 ** Math.min(failures - MAX_SHORT_RETRIES, 10))
}

/** `onAnswer` is called with true for each answer and false for each failure. */
export function createTableDecisionRunner (context: TaskContext, onAnswer: (answered: boolean) => void): RunTableDecision {
  return (purpose, decision, signal) => runTableDecision(decision, context.platform.table, {
    maxAttempts: Infinity,
    signal,
    waitBeforeRetry: async (failures) => {
      await context.clock.waitUntil(context.clock.now() + retryDelayMilliseconds(failures), signal)
    },
    onTransaction: () => context.metrics.count('budget_table_transactions', { purpose }),
    onResponse: onAnswer
  })
}
