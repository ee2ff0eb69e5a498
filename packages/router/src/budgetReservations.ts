import { summariseBudget } from '@quinceshunt/budget'
import { inBackground, postAt, type BudgetCore } from './budgetCore.js'
import { prefetch, startDraw } from './budgetDraws.js'
import { BudgetEntry, type WaitingReservation } from './budgetEntry.js'
import type { BudgetMessage } from './budgetMessages.js'
import { scheduleFlush } from './budgetSettlement.js'
import { askPeers } from './budgetTransfers.js'

/** Time between looks at waiting reservations, milliseconds. */
const POLL_MILLISECONDS = 50
/** A draw that takes longer is joined by questions to peers, milliseconds. */
const SLOW_DRAW_MILLISECONDS = 200
const RETRY_AFTER_EXHAUSTED_MILLISECONDS = 5_000
const RETRY_AFTER_UNAVAILABLE_MILLISECONDS = 1_000
/** Time between reads of all leases of a budget after refusals, milliseconds. */
const SUMMARY_PAUSE_MILLISECONDS = 5_000

/** State of a budget, created at its first use. */
export function entryOf (core: BudgetCore, budgetId: string): BudgetEntry {
  const found = core.entries.get(budgetId)
  if (found !== undefined) return found
  const created = new BudgetEntry(budgetId, core.context.identity.incarnation)
  core.entries.set(budgetId, created)
  return created
}

/** Grants a reservation from the allowance, or lets it wait for a draw, peers and running requests. */
export function reserve (core: BudgetCore, message: Extract<BudgetMessage, { kind: 'reserve' }>): void {
  const { reservation, reply } = message
  const tokens = BigInt(reservation.ceilingTokens)
  if (tokens <= 0n) return reply({ kind: 'reserved', reservation })
  const entry = entryOf(core, reservation.budgetId)
  const now = core.context.clock.now()
  entry.lastUsedAt = now
  entry.rate.add(reservation.ceilingTokens, now)
  const refuseAt = Math.min(message.deadline, now + core.policy.refusalWaitMilliseconds)
  const request: WaitingReservation = { reservation, tokens, refuseAt, reply }
  if (core.stopping) return refuse(core, entry, request, 'budget_unavailable', 'this instance is stopping')
  if (grant(core, entry, request)) return prefetch(core, entry)
  entry.waiting.push(request)
  pump(core, entry)
}

function grant (core: BudgetCore, entry: BudgetEntry, request: WaitingReservation): boolean {
  if (!entry.maySpend(core.context.clock.now(), core.policy) || !entry.ledger.reserve(request.tokens)) return false
  core.running.add(request.reservation)
  request.reply({ kind: 'reserved', reservation: request.reservation })
  return true
}

/** Serves waiting reservations as far as the allowance reaches, refuses those at their deadline, and gets more for the others. */
export function pump (core: BudgetCore, entry: BudgetEntry): void {
  const now = core.context.clock.now()
  // A smaller request may pass a larger one that does not fit: near exhaustion, strict order would refuse both.
  entry.waiting = entry.waiting.filter((request) => !grant(core, entry, request) && !refuseIfDue(core, entry, request, now))
  if (entry.waiting.length === 0) {
    if (entry.ledger.availableTokens < 0n) startDraw(core, entry)
    return
  }
  if (entry.neededTokens === 0n) {
    // Enough tokens on a lapsed lease: a renewal is what is lacking.
    entry.renewalDue = true
    scheduleFlush(core)
  } else {
    startDraw(core, entry)
    const waitedLong = now - firstWaitAt(core, entry) >= SLOW_DRAW_MILLISECONDS
    if (waitedLong || entry.drawState === 'nothing' || !core.tableReachable) askPeers(core, entry)
  }
  if (entry.pollScheduled) return
  entry.pollScheduled = true
  const firstRefusal = Math.min(...entry.waiting.map(({ refuseAt }) => refuseAt))
  postAt(core, Math.min(now + POLL_MILLISECONDS, firstRefusal), { kind: 'poll', budgetId: entry.budgetId })
}

function firstWaitAt (core: BudgetCore, entry: BudgetEntry): number {
  return Math.min(...entry.waiting.map(({ refuseAt }) => refuseAt)) - core.policy.refusalWaitMilliseconds
}

function refuseIfDue (core: BudgetCore, entry: BudgetEntry, request: WaitingReservation, now: number): boolean {
  const drawAnswered = entry.drawState === 'nothing' || entry.drawState === 'noBudget'
  const impossible = drawAnswered && now < entry.nextDrawAt && entry.isBeyondBudget(request.tokens)
  if (!impossible && now < request.refuseAt) return false
  const exhausted = impossible || (core.tableReachable && (drawAnswered || entry.drawState === 'moved'))
  if (exhausted) refuse(core, entry, request, 'budget_exhausted', `budget ${entry.budgetId} has fewer than ${request.tokens} tokens left that this instance can get`)
  else refuse(core, entry, request, 'budget_unavailable', `budget ${entry.budgetId} can't be drawn on: the table service does not answer`)
  return true
}

function refuse (core: BudgetCore, entry: BudgetEntry, request: WaitingReservation, code: 'budget_exhausted' | 'budget_unavailable', message: string): void {
  const wait = code === 'budget_exhausted' ? RETRY_AFTER_EXHAUSTED_MILLISECONDS : RETRY_AFTER_UNAVAILABLE_MILLISECONDS
  const now = core.context.clock.now()
  core.context.metrics.count('budget_refusals', { code })
  request.reply({ kind: 'refused', code, message, retryAt: now + wait })
  if (core.stopping || now < entry.nextSummaryAt) return
  entry.nextSummaryAt = now + SUMMARY_PAUSE_MILLISECONDS
  inBackground(core, 'summarise budget', inspectRefusal(core, entry, request))
}

/** Counts a refusal as suspect when the rows show that the budget had enough left, and reports what expired leases withhold. */
async function inspectRefusal (core: BudgetCore, entry: BudgetEntry, request: WaitingReservation): Promise<void> {
  const summary = await core.runOnTable('summarise', summariseBudget(entry.budgetId, BigInt(core.context.clock.now())), core.signal)
  if (summary === undefined) return
  core.context.metrics.gauge('budget_withheld_tokens', Number(summary.withheldTokens))
  if (summary.remainingTokens >= request.tokens) core.context.metrics.count('budget_refusals_with_tokens_remaining')
}

/** Ends a reservation; with a bill, which is charged at most at the ceiling. */
export function endReservation (core: BudgetCore, message: Extract<BudgetMessage, { kind: 'settle' | 'release' }>): void {
  const { reservation } = message
  if (!core.running.delete(reservation)) {
    if (message.kind === 'settle') joinBill(core, message)
    return
  }
  const entry = entryOf(core, reservation.budgetId)
  entry.ledger.release(BigInt(reservation.ceilingTokens))
  entry.lastUsedAt = core.context.clock.now()
  if (message.kind === 'settle') addBill(core, entry, message)
  pump(core, entry)
}

/** A reservation without tokens has no bill; one that has ended waits for its first bill. */
function joinBill (core: BudgetCore, { bill, reply }: Extract<BudgetMessage, { kind: 'settle' }>): void {
  const replies = core.billReplies.get(bill.requestId)
  if (replies === undefined) reply('written')
  else replies.push(reply)
}

function addBill (core: BudgetCore, entry: BudgetEntry, { reservation, bill, keyed, reply }: Extract<BudgetMessage, { kind: 'settle' }>): void {
  const ceiling = BigInt(reservation.ceilingTokens)
  const chargedTokens = bill.chargedTokens > ceiling ? ceiling : bill.chargedTokens
  if (chargedTokens <= 0n) return reply('written')
  if (core.stopping) {
    core.context.logger.error({ step: 'settle bills', requestId: bill.requestId }, 'bill came after the leases were closed; its tokens stay withheld or are not charged')
    return reply('deferred')
  }
  entry.ledger.addCharge({ bill: { ...bill, chargedTokens }, keyed, attemptedSequence: 0n })
  core.billReplies.set(bill.requestId, [...core.billReplies.get(bill.requestId) ?? [], reply])
  scheduleFlush(core)
}
