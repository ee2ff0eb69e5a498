import type { TaskContext } from './taskContracts.js'
import { runTableDecision, type TableDecision } from '@quinceshunt/table-store'

/** Purposes by which table transactions are counted. */
export type TablePurpose = 'draw' | 'return' | 'settle' | 'close' | 'topUp' | 'summarise'

/** Runs a decision in the background, repeating each command until it is answered or the signal is aborted. */
export type RunOnTable = <Result>(purpose: TablePurpose, decision: TableDecision<Result>, signal: AbortSignal) => Promise<Result>

const FIRST_PAUSE_MILLISECONDS = 5
/** Lost replies are repeated at this pace: with longer pauses, the first use of a budget took over 1 s while half of the replies were lost. */
const QUICK_PAUSE_MILLISECONDS = 50
/** More failures in a row mean an outage. */
const QUICK_FAILURES = 12
/** Pace during an outage; short enough that waiting requests notice its end before most deadlines. */
const LONGEST_PAUSE_MILLISECONDS = 500

function pauseAfter (failures: number): number {
  if (failures <= QUICK_FAILURES) return Math.min(QUICK_PAUSE_MILLISECONDS, FIRST_PAUSE_MILLISECONDS * 2 ** (failures - 1))
  return Math.min(LONGEST_PAUSE_MILLISECONDS, QUICK_PAUSE_MILLISECONDS * 2 ** Math.min(failures - QUICK_FAILURES, 10))
}

/** Creates the runner; `onAnswer` is told of each answer and failure. */
export function createRunOnTable (context: TaskContext, onAnswer: (answered: boolean) => void): RunOnTable {
  return (purpose, decision, signal) => runTableDecision(decision, context.platform.table, {
    attempts: Infinity,
    signal,
    pause: async (failures) => {
      await context.clock.waitUntil(context.clock.now() + pauseAfter(failures), signal)
    },
    onTransaction: () => context.metrics.count('budget_table_transactions', { purpose }),
    onAnswer
  })
}
