import { settleLeases, type LeaseSettlement, type UnsentCharge } from '@quinceshunt/budget'
import { leaseTimestamps, postAt, runInBackground, type BudgetTaskState } from './budgetTaskState.js'
import type { BudgetEntry } from './budgetEntry.js'

/** Limits the transaction size after an outage. */
const MAX_BATCH_BILLS = 500
const MAX_BATCH_LEASES = 100

/** Schedules a settlement, at most one per settle interval. */
export function scheduleFlush (state: BudgetTaskState): void {
  if (state.flushScheduled || state.settling || state.stopping) return
  state.flushScheduled = true
  const flushAt = Math.max(state.context.clock.now(), state.lastFlushAt + state.policy.settleIntervalMilliseconds)
  postAt(state, flushAt, { kind: 'flush' })
}

/** Schedules a settlement after a draw or a return, as a flush passes over a lease on which a transaction is in progress. */
export function scheduleFlushOfChanges (state: BudgetTaskState, entry: BudgetEntry): void {
  if (entry.ledger.hasUnrecordedChanges) scheduleFlush(state)
}

/** Starts one settlement of the leases with unrecorded changes or a due renewal. */
export function flush (state: BudgetTaskState): void {
  state.flushScheduled = false
  if (state.settling || state.stopping) return
  const entries = [...state.entries.values()]
    .filter((entry) => entry.transactionInProgress === undefined && (entry.renewalDue || entry.ledger.hasUnrecordedChanges))
    .slice(0, MAX_BATCH_LEASES)
  if (entries.length === 0) return
  state.settling = true
  state.lastFlushAt = state.context.clock.now()
  let remainingBills = MAX_BATCH_BILLS
  const leases = entries.map((entry) => {
    const charges = entry.ledger.unsentCharges.slice(0, remainingBills)
    remainingBills -= charges.length
    return beginLeaseSettlement(entry, charges)
  })
  const input = { incarnation: state.context.identity.incarnation, batchNumber: ++state.batchNumber, leases, ...leaseTimestamps(state) }
  const budgetIds = leases.map(({ budgetId }) => budgetId)
  runInBackground(state, 'settle bills', state.runOnTable('settle', settleLeases(input), state.signal).then(
    (outcome) => state.post({ kind: 'settled', budgetIds, outcome }),
    (error: unknown) => {
      state.post({ kind: 'settled', budgetIds, outcome: undefined })
      throw error
    }
  ))
}

function beginLeaseSettlement (entry: BudgetEntry, charges: readonly UnsentCharge[]): Parameters<typeof settleLeases>[0]['leases'][number] {
  const { ledger } = entry
  entry.transactionInProgress = 'settle'
  ledger.markAttempted(charges.map(({ bill }) => bill.requestId), ledger.snapshot.record.sequence + 1n)
  return {
    budgetId: entry.budgetId,
    snapshot: ledger.snapshot,
    transferredOutTokens: ledger.transferredOutTokens,
    charges,
    transfers: ledger.unrecordedTransfers,
    mayTruncate: entry.hasUncoveredBills && (entry.lastDrawOutcome === 'nothing' || entry.lastDrawOutcome === 'noBudget')
  }
}

/** Applies the outcome of a settlement; without an outcome, bills keep the sequence of the attempt. */
export function finishSettlement (state: BudgetTaskState, budgetIds: readonly string[], outcome: readonly LeaseSettlement[] | undefined): void {
  state.settling = false
  for (const budgetId of budgetIds) state.entries.get(budgetId)!.transactionInProgress = undefined
  for (const settlement of outcome ?? []) applySettlement(state, state.entries.get(settlement.budgetId)!, settlement)
  if ([...state.entries.values()].some(({ ledger }) => ledger.hasUnrecordedChanges)) scheduleFlush(state)
}

function applySettlement (state: BudgetTaskState, entry: BudgetEntry, settlement: LeaseSettlement): void {
  const { ledger } = entry
  const attempted = ledger.unsentCharges.filter(({ attemptedSequence }) => attemptedSequence > 0n)
  ledger.apply(settlement)
  const unfinished = attempted.filter(({ bill }) => !settlement.finishedRequestIds.has(bill.requestId))
  ledger.markAttempted(unfinished.map(({ bill }) => bill.requestId), 0n)
  // The outcome of an earlier draw must not decide whether these bills are covered.
  if (unfinished.length > 0 && !entry.hasUncoveredBills) entry.lastDrawOutcome = 'none'
  entry.hasUncoveredBills = unfinished.length > 0
  entry.renewalDue = false
  if (settlement.duplicateBills > 0) state.context.metrics.count('budget_duplicate_bills', {}, settlement.duplicateBills)
  if (settlement.uncoveredTokens > 0n) state.context.metrics.count('budget_uncovered_tokens', {}, Number(settlement.uncoveredTokens))
  for (const requestId of settlement.finishedRequestIds) {
    for (const reply of state.billReplies.get(requestId) ?? []) reply('written')
    state.billReplies.delete(requestId)
  }
}

/** Marks leases for renewal in the second half of their duration; one settlement renews all due leases. */
export function renewLeases (state: BudgetTaskState): void {
  const dueAt = state.context.clock.now() + state.policy.leaseMilliseconds / 2
  for (const entry of state.entries.values()) {
    if (entry.ledger.snapshot.version === 0n || entry.ledger.heldTokens <= 0n || Number(entry.ledger.snapshot.record.expiresAt) > dueAt) continue
    entry.renewalDue = true
    scheduleFlush(state)
  }
}
