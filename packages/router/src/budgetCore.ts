import type { AllowancePolicy, TransferBook } from '@quinceshunt/budget'
import type { AdoptLeasesRequest } from '@quinceshunt/schemas'
import type { BudgetEntry } from './budgetEntry.js'
import type { BudgetMessage, TransferAttempt } from './budgetMessages.js'
import type { RunOnTable } from './budgetTable.js'
import type { Reservation, ConfigurationService } from './services.js'
import type { PeerDirectory, TaskContext } from './taskContracts.js'

/** State of the budget task, used only while it handles a message, and what its parts share. */
export interface BudgetCore {
  readonly context: TaskContext
  readonly policy: AllowancePolicy
  readonly peers: PeerDirectory
  readonly configuration: ConfigurationService
  readonly runOnTable: RunOnTable
  /** Aborted when the task stops. */
  readonly signal: AbortSignal
  readonly post: (message: BudgetMessage) => void
  readonly entries: Map<string, BudgetEntry>
  readonly book: TransferBook
  /** Reservations that have neither settled nor been released. */
  readonly running: Set<Reservation>
  /** Callers of `settle` by request ID, until the bill is written. */
  readonly billReplies: Map<string, Array<(outcome: 'written') => void>>
  /** Transfer requests without an answer, by request ID. */
  readonly unanswered: Map<string, TransferAttempt>
  /** Adopted leases that are not closed, by the giver's incarnation. */
  readonly adopted: Map<string, AdoptLeasesRequest>
  tableReachable: boolean
  stopping: boolean
  settling: boolean
  flushScheduled: boolean
  lastFlushAt: number
  batchNumber: bigint
}

/** Posts a message at a point in time (Unix milliseconds) unless the task has stopped by then. */
export function postAt (core: BudgetCore, at: number, message: BudgetMessage): void {
  core.context.clock.waitUntil(at, core.signal).then(() => {
    if (!core.signal.aborted) core.post(message)
  }, () => {})
}

/** Runs background work whose errors are bugs or the end of the task. */
export function inBackground (core: BudgetCore, step: string, work: Promise<unknown>): void {
  work.catch((error: unknown) => {
    if (!core.signal.aborted) core.context.logger.error({ step, err: error }, 'budget work failed')
  })
}

/** Times of a lease that is written now. */
export function leaseTimes (core: BudgetCore): { readonly now: bigint, readonly expiresAt: bigint } {
  const now = core.context.clock.now()
  return { now: BigInt(now), expiresAt: BigInt(now + core.policy.leaseMilliseconds) }
}
