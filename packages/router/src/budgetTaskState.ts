import type { AllowancePolicy, TransferLog } from '@quinceshunt/budget'
import type { AdoptLeasesRequest } from '@quinceshunt/schemas'
import type { BudgetEntry } from './budgetEntry.js'
import type { BudgetMessage, TransferAttempt } from './budgetMessages.js'
import type { RunTableDecision } from './budgetTable.js'
import type { Reservation, ConfigurationService } from './services.js'
import type { PeerDirectory, TaskContext } from './taskContracts.js'

/** State of the budget task, used only while it handles a message, and what its parts share. */
export interface BudgetTaskState {
  readonly context: TaskContext
  readonly policy: AllowancePolicy
  readonly peers: PeerDirectory
  readonly configuration: ConfigurationService
  readonly runOnTable: RunTableDecision
  /** Aborted when the task stops. */
  readonly signal: AbortSignal
  readonly post: (message: BudgetMessage) => void
  readonly entries: Map<string, BudgetEntry>
  readonly transferLog: TransferLog
  /** Reservations that have neither settled nor been released. */
  readonly activeReservations: Set<Reservation>
  /** Callers of `settle` by request ID, until the bill is written. */
  readonly billReplies: Map<string, Array<(outcome: 'written') => void>>
  /** Transfer requests without an answer, by request ID. */
  readonly unansweredTransferRequests: Map<string, TransferAttempt>
  /** Adopted leases that are not closed, by the giver's incarnation. */
  readonly adoptedLeases: Map<string, AdoptLeasesRequest>
  tableReachable: boolean
  stopping: boolean
  settling: boolean
  flushScheduled: boolean
  lastFlushAt: number
  batchNumber: bigint
}

/** Posts a message at a point in time (Unix milliseconds) unless the task has stopped by then. */
export function postAt (state: BudgetTaskState, at: number, message: BudgetMessage): void {
  state.context.clock.waitUntil(at, state.signal).then(() => {
    if (!state.signal.aborted) state.post(message)
  }, () => {})
}

/** Runs background work whose errors are bugs or the end of the task. */
export function runInBackground (state: BudgetTaskState, step: string, work: Promise<unknown>): void {
  work.catch((error: unknown) => {
    if (!state.signal.aborted) state.context.logger.error({ step, err: error }, 'budget work failed')
  })
}

/** Times of a lease that is written now. */
export function leaseTimestamps (state: BudgetTaskState): { readonly now: bigint, readonly expiresAt: bigint } {
  const now = state.context.clock.now()
  return { now: BigInt(now), expiresAt: BigInt(now + state.policy.leaseMilliseconds) }
}
