import { summariseBudget } from '@quinceshunt/budget'
import { postAt, runInBackground, type BudgetTaskState } from './budgetTaskState.js'
import { prefetch, startDraw } from './budgetDraws.js'
import { BudgetEntry, type WaitingReservation } from './budgetEntry.js'
import type { BudgetMessage } from './budgetMessages.js'
import { scheduleFlush } from './budgetSettlement.js'
import { requestTransfers } from './budgetTransfers.js'

const POLL_INTERVAL_MS = 50
/** Waiting time after which tokens are also requested from peers. */
const SLOW_DRAW_MS = 200
const EXHAUSTED_RETRY_DELAY_MS = 5_000
const UNAVAILABLE_RETRY_DELAY_MS = 1_000
/** Minimum interval between summaries after refusals, which read all leases of the budget. */
const SUMMARY_INTERVAL_MS = 5_000

export function getOrCreateEntry (state: BudgetTaskState, budgetId: string): BudgetEntry {
  const existing = state.entries.get(budgetId)
  if (existing !== undefined) return existing
  const created = new BudgetEntry(budgetId, state.context.identity.incarnation)
  state.entries.set(budgetId, created)
  return created
}

/** Reserves tokens from the allowance, or queues the reservation until draws, peers or finished requests supply them. */
export function reserve (state: BudgetTaskState, message: Extract<BudgetMessage, { kind: 'reserve' }>): void {
  const { reservation, reply } = message
  const tokens = BigInt(reservation.ceilingTokens)
  if (tokens <= 0n) return reply({ kind: 'reserved', reservation })
  const entry = getOrCreateEntry(state, reservation.budgetId)
  const now = state.context.clock.now()
  entry.lastUsedAt = now
  entry.usageRate.add(reservation.ceilingTokens, now)
  const refuseAt = Math.min(message.deadline, now + state.policy.refusalWaitMilliseconds)
  const request: WaitingReservation = { reservation, tokens, refuseAt, reply }
  if (state.stopping) return refuse(state, entry, request, 'budget_unavailable', 'this instance is stopping')
  if (tryReserve(state, entry, request)) return prefetch(state, entry)
  entry.waiting.push(request)
  processWaitingReservations(state, entry)
}

function tryReserve (state: BudgetTaskState, entry: BudgetEntry, request: WaitingReservation): boolean {
  if (!entry.mayReserve(state.context.clock.now(), state.policy) || !entry.ledger.reserve(request.tokens)) return false
  state.activeReservations.add(request.reservation)
  request.reply({ kind: 'reserved', reservation: request.reservation })
  return true
}

/** Serves waiting reservations from the allowance, refuses overdue ones and obtains more tokens for the others. */
export function processWaitingReservations (state: BudgetTaskState, entry: BudgetEntry): void {
  const now = state.context.clock.now()
  // Smaller requests may overtake a larger one that does not fit: near exhaustion, FIFO order would refuse both.
  entry.waiting = entry.waiting.filter((request) => !tryReserve(state, entry, request) && !refuseIfDue(state, entry, request, now))
  if (entry.waiting.length === 0) {
    if (entry.ledger.availableTokens < 0n) startDraw(state, entry)
    return
  }
  if (entry.neededTokens === 0n) {
    // There are enough tokens, but the lease has expired and must be renewed.
    entry.renewalDue = true
    scheduleFlush(state)
  } else {
    startDraw(state, entry)
    const drawIsSlow = now - earliestWaitStart(state, entry) >= SLOW_DRAW_MS
    if (drawIsSlow || entry.lastDrawOutcome === 'nothing' || !state.tableReachable) requestTransfers(state, entry)
  }
  if (entry.pollScheduled) return
  entry.pollScheduled = true
  const firstRefusal = Math.min(...entry.waiting.map(({ refuseAt }) => refuseAt))
  postAt(state, Math.min(now + POLL_INTERVAL_MS, firstRefusal), { kind: 'poll', budgetId: entry.budgetId })
}

function earliestWaitStart (state: BudgetTaskState, entry: BudgetEntry): number {
  return Math.min(...entry.waiting.map(({ refuseAt }) => refuseAt)) - state.policy.refusalWaitMilliseconds
}

function refuseIfDue (state: BudgetTaskState, entry: BudgetEntry, request: WaitingReservation, now: number): boolean {
  const lastDrawWasEmpty = entry.lastDrawOutcome === 'nothing' || entry.lastDrawOutcome === 'noBudget'
  const exceedsBudget = lastDrawWasEmpty && now < entry.nextDrawAt && entry.exceedsBudget(request.tokens)
  if (!exceedsBudget && now < request.refuseAt) return false
  const exhausted = exceedsBudget || (state.tableReachable && (lastDrawWasEmpty || entry.lastDrawOutcome === 'moved'))
  if (exhausted) refuse(state, entry, request, 'budget_exhausted', `budget ${entry.budgetId} has fewer than ${request.tokens} tokens left that this instance can get`)
  else refuse(state, entry, request, 'budget_unavailable', `budget ${entry.budgetId} can't be drawn on: the table service does not answer`)
  return true
}

function refuse (state: BudgetTaskState, entry: BudgetEntry, request: WaitingReservation, code: 'budget_exhausted' | 'budget_unavailable', message: string): void {
  const retryDelayMilliseconds = code === 'budget_exhausted' ? EXHAUSTED_RETRY_DELAY_MS : UNAVAILABLE_RETRY_DELAY_MS
  const now = state.context.clock.now()
  state.context.metrics.count('budget_refusals', { code })
  request.reply({ kind: 'refused', code, message, retryAt: now + retryDelayMilliseconds })
  if (state.stopping || now < entry.nextSummaryAt) return
  entry.nextSummaryAt = now + SUMMARY_INTERVAL_MS
  runInBackground(state, 'summarise budget', recordRefusalMetrics(state, entry, request))
}

/** Reports withheld tokens and counts refusals although the budget had enough tokens remaining. */
async function recordRefusalMetrics (state: BudgetTaskState, entry: BudgetEntry, request: WaitingReservation): Promise<void> {
  const summary = await state.runOnTable('summarise', summariseBudget(entry.budgetId, BigInt(state.context.clock.now())), state.signal)
  if (summary === undefined) return
  state.context.metrics.gauge('budget_withheld_tokens', Number(summary.withheldTokens))
  if (summary.remainingTokens >= request.tokens) state.context.metrics.count('budget_refusals_with_tokens_remaining')
}

/** Ends a reservation; a bill is charged up to the ceiling. */
export function endReservation (state: BudgetTaskState, message: Extract<BudgetMessage, { kind: 'settle' | 'release' }>): void {
  const { reservation } = message
  if (!state.activeReservations.delete(reservation)) {
    if (message.kind === 'settle') replyWhenBilled(state, message)
    return
  }
  const entry = getOrCreateEntry(state, reservation.budgetId)
  entry.ledger.release(BigInt(reservation.ceilingTokens))
  entry.lastUsedAt = state.context.clock.now()
  if (message.kind === 'settle') addBill(state, entry, message)
  processWaitingReservations(state, entry)
}

/** Replies to a repeated settlement once the first bill is written, or at once if no bill is pending. */
function replyWhenBilled (state: BudgetTaskState, { bill, reply }: Extract<BudgetMessage, { kind: 'settle' }>): void {
  const replies = state.billReplies.get(bill.requestId)
  if (replies === undefined) reply('written')
  else replies.push(reply)
}

function addBill (state: BudgetTaskState, entry: BudgetEntry, { reservation, bill, keyed, reply }: Extract<BudgetMessage, { kind: 'settle' }>): void {
  const ceiling = BigInt(reservation.ceilingTokens)
  const chargedTokens = bill.chargedTokens > ceiling ? ceiling : bill.chargedTokens
  if (chargedTokens <= 0n) return reply('written')
  if (state.stopping) {
    state.context.logger.error({ step: 'settle bills', requestId: bill.requestId }, 'bill arrived after the leases were closed; its tokens stay withheld or are not charged')
    return reply('deferred')
  }
  entry.ledger.addCharge({ bill: { ...bill, chargedTokens }, keyed, attemptedSequence: 0n })
  state.billReplies.set(bill.requestId, [...state.billReplies.get(bill.requestId) ?? [], reply])
  scheduleFlush(state)
}
