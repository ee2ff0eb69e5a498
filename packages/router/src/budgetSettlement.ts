import { settleLeases, type LeaseSettlement, type UnsentCharge } from '@quinceshunt/budget'
import { inBackground, leaseTimes, postAt, type BudgetCore } from './budgetCore.js'
import type { BudgetEntry } from './budgetEntry.js'

/** Bills of one transaction; bounds its size after an outage. */
const BATCH_BILLS = 500
/** Leases of one transaction. */
const BATCH_LEASES = 100

/** Schedules a settlement at most once per interval. */
export function scheduleFlush (core: BudgetCore): void {
  if (core.flushScheduled || core.settling || core.stopping) return
  core.flushScheduled = true
  const at = Math.max(core.context.clock.now(), core.lastFlushAt + core.policy.settleIntervalMilliseconds)
  postAt(core, at, { kind: 'flush' })
}

/** Sends one settlement of all leases that have anything to record. */
export function flush (core: BudgetCore): void {
  core.flushScheduled = false
  if (core.settling || core.stopping) return
  const entries = [...core.entries.values()]
    .filter((entry) => entry.busy === undefined && (entry.renewalDue || entry.ledger.hasUnrecorded))
    .slice(0, BATCH_LEASES)
  if (entries.length === 0) return
  core.settling = true
  core.lastFlushAt = core.context.clock.now()
  let room = BATCH_BILLS
  const leases = entries.map((entry) => {
    const charges = entry.ledger.unsent.slice(0, room)
    room -= charges.length
    return settlementOf(entry, charges)
  })
  const input = { incarnation: core.context.identity.incarnation, batchNumber: ++core.batchNumber, leases, ...leaseTimes(core) }
  const budgetIds = leases.map(({ budgetId }) => budgetId)
  inBackground(core, 'settle bills', core.runOnTable('settle', settleLeases(input), core.signal).then(
    (outcome) => core.post({ kind: 'settled', budgetIds, outcome }),
    (error: unknown) => {
      core.post({ kind: 'settled', budgetIds, outcome: undefined })
      throw error
    }
  ))
}

function settlementOf (entry: BudgetEntry, charges: readonly UnsentCharge[]): Parameters<typeof settleLeases>[0]['leases'][number] {
  const { ledger } = entry
  entry.busy = 'settle'
  ledger.markAttempted(charges.map(({ bill }) => bill.requestId), ledger.base.record.sequence + 1n)
  return {
    budgetId: entry.budgetId,
    base: ledger.base,
    transferredOutTokens: ledger.transferredOutTokens,
    charges,
    transfers: ledger.unrecordedTransfers,
    mayTruncate: entry.uncovered && (entry.drawState === 'nothing' || entry.drawState === 'noBudget')
  }
}

/** Takes over the outcome of a settlement; without one, bills keep the sequence of their attempt. */
export function finishSettlement (core: BudgetCore, budgetIds: readonly string[], outcome: readonly LeaseSettlement[] | undefined): void {
  core.settling = false
  for (const budgetId of budgetIds) core.entries.get(budgetId)!.busy = undefined
  for (const settlement of outcome ?? []) applySettlement(core, core.entries.get(settlement.budgetId)!, settlement)
  if ([...core.entries.values()].some(({ ledger }) => ledger.hasUnrecorded)) scheduleFlush(core)
}

function applySettlement (core: BudgetCore, entry: BudgetEntry, settlement: LeaseSettlement): void {
  const { ledger } = entry
  const attempted = ledger.unsent.filter(({ attemptedSequence }) => attemptedSequence > 0n)
  ledger.apply(settlement)
  const left = attempted.filter(({ bill }) => !settlement.finishedRequestIds.has(bill.requestId))
  ledger.markAttempted(left.map(({ bill }) => bill.requestId), 0n)
  // A draw that failed before must not decide whether these bills are covered.
  if (left.length > 0 && !entry.uncovered) entry.drawState = 'none'
  entry.uncovered = left.length > 0
  entry.renewalDue = false
  if (settlement.duplicateBills > 0) core.context.metrics.count('budget_duplicate_bills', {}, settlement.duplicateBills)
  if (settlement.uncoveredTokens > 0n) core.context.metrics.count('budget_uncovered_tokens', {}, Number(settlement.uncoveredTokens))
  for (const requestId of settlement.finishedRequestIds) {
    for (const reply of core.billReplies.get(requestId) ?? []) reply('written')
    core.billReplies.delete(requestId)
  }
}

/** Marks leases for renewal before they expire; due renewals of all leases go into one transaction. */
export function renewLeases (core: BudgetCore): void {
  const dueAt = core.context.clock.now() + core.policy.leaseMilliseconds / 2
  for (const entry of core.entries.values()) {
    if (entry.ledger.base.version === 0n || entry.ledger.heldTokens <= 0n || Number(entry.ledger.base.record.expiresAt) > dueAt) continue
    entry.renewalDue = true
    scheduleFlush(core)
  }
}
