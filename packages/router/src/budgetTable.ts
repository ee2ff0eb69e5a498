import type { TaskContext } from './taskContracts.js'
import { runTableDecision, type TableDecision } from '@quinceshunt/table-store'

/** Purposes by which table transactions are counted. */
export type TablePurpose = 'draw' | 'return' | 'settle' | 'close' | 'topUp' | 'summarise'

/** Runs a decision in the background, repeating each command until it is answered or the signal is aborted. */
export type RunTableDecision = <Result>(purpose: TablePurpose, decision: TableDecision<Result>, signal: AbortSignal) => Promise<Result>

const INITIAL_RETRY_DELAY_MILLISECONDS = 5
/** Lost replies are repeated at this pace: with longer pauses, the first use of a budget took over 1 s while half of the replies were lost. */
const MAX_SHORT_RETRY_DELAY_MILLISECONDS = 50
/** More failures in a row mean an outage. */
const MAX_SHORT_RETRIES = 12
/** Pace during an outage; short enough that waiting requests notice its end before most deadlines. */
const MAX_RETRY_DELAY_MILLISECONDS = 500

function retryDelayMilliseconds (failures: number): number {
  if (failures <= MAX_SHORT_RETRIES) return Math.min(MAX_SHORT_RETRY_DELAY_MILLISECONDS, INITIAL_RETRY_DELAY_MILLISECONDS * 2 ** (failures - 1))
  return Math.min(MAX_RETRY_DELAY_MILLISECONDS, MAX_SHORT_RETRY_DELAY_MILLISECONDS * 2 ** Math.min(failures - MAX_SHORT_RETRIES, 10))
}

/** Creates the runner; `onAnswer` is told of each answer and failure. */
export function createTableDecisionRunner (context: TaskContext, onAnswer: (answered: boolean) => void): RunTableDecision {
  return (purpose, decision, signal) => runTableDecision(decision, context.platform.table, {
    attempts: Infinity,
    signal,
    pause: async (failures) => {
      await context.clock.waitUntil(context.clock.now() + retryDelayMilliseconds(failures), signal)
    },
    onTransaction: () => context.metrics.count('budget_table_transactions', { purpose }),
    onAnswer
  })
}
