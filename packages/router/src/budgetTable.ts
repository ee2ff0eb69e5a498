import { runTableDecision, type TableDecision } from '@quinceshunt/budget'
import type { TaskContext } from './taskContracts.js'

/** Purposes by which table transactions are counted. */
export type TablePurpose = 'draw' | 'return' | 'settle' | 'close' | 'topUp' | 'summarise'

/** Runs a decision in the background, repeating each command until it is answered or the signal is aborted. */
export type RunOnTable = <Result>(purpose: TablePurpose, decision: TableDecision<Result>, signal: AbortSignal) => Promise<Result>

const FIRST_PAUSE_MILLISECONDS = 25
/** Short enough that waiting requests notice the end of an outage before most deadlines. */
const LONGEST_PAUSE_MILLISECONDS = 500

/** Creates the runner; `onAnswer` is told of each answer and failure. */
export function createRunOnTable (context: TaskContext, onAnswer: (answered: boolean) => void): RunOnTable {
  return (purpose, decision, signal) => runTableDecision(decision, context.platform.table, {
    attempts: Infinity,
    signal,
    pause: async (failures) => {
      const milliseconds = Math.min(LONGEST_PAUSE_MILLISECONDS, FIRST_PAUSE_MILLISECONDS * 2 ** Math.min(failures - 1, 10))
      await context.clock.waitUntil(context.clock.now() + milliseconds, signal)
    },
    onTransaction: () => context.metrics.count('budget_table_transactions', { purpose }),
    onAnswer
  })
}
