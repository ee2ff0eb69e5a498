import { LeaseLedger, UsageRate, type AllowancePolicy, type BudgetTotals } from '@quinceshunt/budget'
import type { Reservation, ReservationOutcome } from './services.js'

/** A reservation that waits for tokens. */
export interface WaitingReservation {
  readonly reservation: Reservation
  readonly tokens: bigint
  /** Time of the refusal, Unix milliseconds. */
  readonly refuseAt: number
  readonly reply: (outcome: ReservationOutcome) => void
}

/** What the last draw showed. */
export type DrawOutcomeKind = 'none' | 'moved' | 'nothing' | 'noBudget' | 'unavailable'

/** The budget task's state of one budget. */
export class BudgetEntry {
  readonly ledger: LeaseLedger
  readonly usageRate = new UsageRate()
  waiting: WaitingReservation[] = []
  /** Purpose of the transaction under way on the lease; there is at most one. */
  transactionInProgress: 'draw' | 'return' | 'settle' | undefined
  lastDrawOutcome: DrawOutcomeKind = 'none'
  /** Budget row as last seen. */
  budget: BudgetTotals | undefined
  /** Earliest time of the next draw, Unix milliseconds. */
  nextDrawAt = 0
  /** Earliest time of the next draw without waiting requests, Unix milliseconds. */
  nextPrefetchAt = 0
  /** True while peers are being asked. */
  requestingTransfers = false
  nextTransferRequestAt = 0
  nextSummaryAt = 0
  lastUsedAt = 0
  /** Since when more than needed has been available, Unix milliseconds; 0 for not. */
  excessSince = 0
  renewalDue = false
  /** True when the last bills exceeded the lease, which happens only after an operator resolved tokens in use. */
  hasUncoveredBills = false
  pollScheduled = false
  /** Top-ups of the sheet that are known to be added or in conflict. */
  readonly knownTopUps = new Set<string>()

  constructor (budgetId: string, incarnation: string) {
    this.ledger = new LeaseLedger(budgetId, incarnation)
  }

  get budgetId (): string { return this.ledger.budgetId }

  /** Tokens that waiting reservations and uncovered bills lack. */
  get neededTokens (): bigint {
    const missingTokens = this.waiting.reduce((sum, { tokens }) => sum + tokens, 0n) - this.ledger.availableTokens
    return missingTokens > 0n ? missingTokens : 0n
  }

  /** Whether new reservations may use the lease. */
  mayReserve (now: number, policy: AllowancePolicy): boolean {
    return policy.reservesOnExpiredLease || now < Number(this.ledger.snapshot.record.expiresAt)
  }

  /** Whether no instance can ever have this many tokens left, by the budget row as last seen. */
  exceedsBudget (tokens: bigint): boolean {
    if (this.lastDrawOutcome === 'noBudget') return true
    if (this.budget === undefined) return false
    const spent = this.budget.settledByClosedLeasesTokens + this.ledger.snapshot.record.settledTokens
    return tokens > this.budget.prepaidTokens - spent
  }
}
