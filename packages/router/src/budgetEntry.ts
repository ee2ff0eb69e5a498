import { LeaseLedger, UsageRate, type AllowancePolicy, type BudgetTotals } from '@quinceshunt/budget'
import type { Reservation, ReservationOutcome } from './services.js'

/** A reservation that waits for tokens. */
export interface WaitingReservation {
  readonly reservation: Reservation
  readonly tokens: bigint
  /** Time at which the reservation is refused, Unix milliseconds. */
  readonly refuseAt: number
  readonly reply: (outcome: ReservationOutcome) => void
}

/** Outcome of the last draw; `none` before the first one, `nothing` if no tokens could be drawn. */
export type DrawOutcomeKind = 'none' | 'moved' | 'nothing' | 'noBudget' | 'unavailable'

/** State of one budget in the budget task. */
export class BudgetEntry {
  readonly ledger: LeaseLedger
  readonly usageRate = new UsageRate()
  waiting: WaitingReservation[] = []
  /** Purpose of the transaction in progress on the lease; at most one at a time. */
  transactionInProgress: 'draw' | 'return' | 'settle' | undefined
  lastDrawOutcome: DrawOutcomeKind = 'none'
  /** Budget row as last read or written. */
  budget: BudgetTotals | undefined
  /** Earliest time of the next draw, Unix milliseconds. */
  nextDrawAt = 0
  /** Earliest time of the next draw without waiting requests, Unix milliseconds. */
  nextPrefetchAt = 0
  requestingTransfers = false
  nextTransferRequestAt = 0
  nextSummaryAt = 0
  lastUsedAt = 0
  /** Time since which the lease has had excess tokens, Unix milliseconds; 0 if it has none. */
  excessSince = 0
  renewalDue = false
  /** True if the last bills exceeded the lease, which happens only after an operator resolved tokens in use. */
  hasUncoveredBills = false
  pollScheduled = false
  /** IDs of sheet top-ups that are known to be recorded, with the same or a different amount. */
  readonly knownTopUps = new Set<string>()

  constructor (budgetId: string, incarnation: string) {
    this.ledger = new LeaseLedger(budgetId, incarnation)
  }

  get budgetId (): string { return this.ledger.budgetId }

  /** Tokens that waiting reservations and uncovered bills need beyond those available. */
  get neededTokens (): bigint {
    const missingTokens = this.waiting.reduce((sum, { tokens }) => sum + tokens, 0n) - this.ledger.availableTokens
    return missingTokens > 0n ? missingTokens : 0n
  }

  /** Whether new reservations may use the lease. */
  mayReserve (now: number, policy: AllowancePolicy): boolean {
    return policy.reservesOnExpiredLease || now < Number(this.ledger.snapshot.record.expiresAt)
  }

  /** Whether the budget as last seen has too few unspent tokens for this amount, no matter which instance holds them. */
  exceedsBudget (tokens: bigint): boolean {
    if (this.lastDrawOutcome === 'noBudget') return true
    if (this.budget === undefined) return false
    const spent = this.budget.settledByClosedLeasesTokens + this.ledger.snapshot.record.settledTokens
    return tokens > this.budget.prepaidTokens - spent
  }
}
