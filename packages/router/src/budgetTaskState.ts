import type { AllowancePolicy, TransferLog } from '@quinceshunt/budget'
import type { AdoptLeasesRequest } from '@quinceshunt/schemas'
import type { BudgetEntry } from './budgetEntry.js'
import type { BudgetMessage, TransferAttempt } from './budgetMessages.js'
import type { RunTableDecision } from './budgetTable.js'
import type { Reservation, ConfigurationService } from './services.js'
import type { PeerDirectory, TaskContext } from './taskContracts.js'

/** State and dependencies of the budget task; the state changes only while the task handles a message. */
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
  /** Reservations that are neither settled nor released. */
  readonly activeReservations: Set<Reservation>
  /** Pending replies to `settle` by request ID, until the bill is written. */
  readonly billReplies: Map<string, Array<(outcome: 'written') => void>>
  /** By request ID. */
  readonly unansweredTransferRequests: Map<string, TransferAttempt>
  /** Adopted leases that are not closed yet, by the giver's incarnation. */
  readonly adoptedLeases: Map<string, AdoptLeasesRequest>
  tableReachable: boolean
  stopping: boolean
  settling: boolean
  flushScheduled: boolean
  lastFlushAt: number
  batchNumber: bigint
}

/** Posts a message at the given time (Unix milliseconds) unless the task has stopped by then. */
export function postAt (state: BudgetTaskState, at: number, message: BudgetMessage): void {
  state.context.clock.waitUntil(at, state.signal).then(() => {
    if (!state.signal.aborted) state.post(message)
  }, () => {})
}

/** Logs errors of background work; after the task has stopped, they are expected and ignored. */
export function runInBackground (state: BudgetTaskState, step: string, work: Promise<unknown>): void {
  work.catch((error: unknown) => {
    if (!state.signal.aborted) state.context.logger.error({ step, err: error }, 'background budget operation failed')
  })
}

/** Returns the timestamps of a lease row written now. */
export function leaseTimestamps (state: BudgetTaskState): { readonly now: bigint, readonly expiresAt: bigint } {
  const now = state.context.clock.now()
  return { now: BigInt(now), expiresAt: BigInt(now + state.policy.leaseMilliseconds) }
}
