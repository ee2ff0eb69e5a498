import { randomUUID } from 'node:crypto'
import { create } from '@bufbuild/protobuf'
import { emptyTransfer, sizeTransfer } from '@quinceshunt/budget'
import { TransferAllowanceRequestSchema, type TransferAllowanceRequest, type TransferRecord } from '@quinceshunt/schemas'
import { inBackground, type BudgetCore } from './budgetCore.js'
import { startReturn } from './budgetDraws.js'
import type { BudgetEntry } from './budgetEntry.js'
import type { TransferAttempt } from './budgetMessages.js'
import { scheduleFlush } from './budgetSettlement.js'

/** Longest time for one call to a peer, milliseconds; a live peer answers within a few. */
const CALL_MILLISECONDS = 300
/** Time between rounds of asking for one budget, milliseconds. */
const ROUND_PAUSE_MILLISECONDS = 100
/** How long an unanswered request is repeated after its first attempt, milliseconds. Afterwards the tokens stay withheld under the giver. */
const REPEAT_MILLISECONDS = 60_000

/** Asks the peers, one after the other, for the tokens that waiting requests lack. */
export function askPeers (core: BudgetCore, entry: BudgetEntry): void {
  const now = core.context.clock.now()
  if (core.stopping || entry.asking || now < entry.nextAskAt || entry.neededTokens === 0n) return
  const silent = new Set([...core.unanswered.values()].filter(({ request }) => request.budgetId === entry.budgetId).map(({ peerAddress }) => peerAddress))
  const addresses = core.peers.peers().filter(({ leaving, address }) => !leaving && !silent.has(address)).map(({ address }) => address)
  if (addresses.length === 0) return
  entry.asking = true
  inBackground(core, 'ask peers', askInTurn(core, entry, addresses).finally(() => core.post({ kind: 'peersAsked', budgetId: entry.budgetId })))
}

async function askInTurn (core: BudgetCore, entry: BudgetEntry, addresses: readonly string[]): Promise<void> {
  for (const peerAddress of addresses) {
    const wantedTokens = entry.neededTokens
    if (wantedTokens === 0n || core.stopping) return
    const request = create(TransferAllowanceRequestSchema, {
      requestId: randomUUID(), budgetId: entry.budgetId, receiverIncarnation: core.context.identity.incarnation, wantedTokens
    })
    await sendTransferRequest(core, { request, peerAddress, abandonAt: core.context.clock.now() + REPEAT_MILLISECONDS })
  }
}

async function sendTransferRequest (core: BudgetCore, attempt: TransferAttempt): Promise<void> {
  core.unanswered.set(attempt.request.requestId, attempt)
  try {
    const response = await core.peers.client(attempt.peerAddress).transferAllowance(attempt.request, { timeoutMs: CALL_MILLISECONDS })
    core.post({ kind: 'transferAnswered', attempt, transfer: response.transfer })
  } catch {
    core.post({ kind: 'transferAnswered', attempt, transfer: undefined })
  }
}

/** Ends a round of asking. */
export function finishRound (core: BudgetCore, entry: BudgetEntry): void {
  entry.asking = false
  entry.nextAskAt = core.context.clock.now() + ROUND_PAUSE_MILLISECONDS
}

/** Repeats unanswered requests with their IDs: the peer may have subtracted the tokens already. */
export function repeatTransferRequests (core: BudgetCore): void {
  const now = core.context.clock.now()
  for (const [requestId, attempt] of core.unanswered) {
    if (now >= attempt.abandonAt) {
      core.unanswered.delete(requestId)
      core.context.metrics.count('budget_transfers', { result: 'abandoned' })
    } else {
      inBackground(core, 'repeat transfer request', sendTransferRequest(core, attempt))
    }
  }
}

/** Takes over a peer's answer; the same transfer counts once. */
export function receiveTransfer (core: BudgetCore, entry: BudgetEntry, attempt: TransferAttempt, transfer: TransferRecord | undefined): void {
  if (transfer === undefined) return core.context.metrics.count('budget_transfers', { result: 'unanswered' })
  core.unanswered.delete(attempt.request.requestId)
  if (!core.book.accept(entry.budgetId, transfer)) return
  core.context.metrics.count('budget_transfers', { result: 'received' })
  entry.ledger.receive(transfer)
  scheduleFlush(core)
}

/** Answers a peer that asks for allowance. */
export function giveTransfer (core: BudgetCore, request: TransferAllowanceRequest): TransferRecord {
  const known = core.book.given(request.requestId)
  if (known !== undefined) return known
  const entry = core.entries.get(request.budgetId)
  const tokens = entry === undefined || core.stopping ? 0n : transferableTokens(core, entry, request)
  if (entry === undefined || tokens <= 0n) return core.book.refuse(request)
  if (core.policy.transfersThroughTable) {
    startReturn(core, entry, tokens)
    return emptyTransfer(core.context.identity.incarnation, request.receiverIncarnation)
  }
  entry.ledger.give(tokens)
  core.context.metrics.count('budget_transfers', { result: 'given' })
  scheduleFlush(core)
  return core.book.give(request, tokens)
}

function transferableTokens (core: BudgetCore, entry: BudgetEntry, request: TransferAllowanceRequest): bigint {
  const now = core.context.clock.now()
  const { ledger } = entry
  // After an operator's resolution the table refuses further transfers from this lease.
  if (!entry.maySpend(now, core.policy) || ledger.base.record.resolvedTokens > 0n) return 0n
  // Of two instances that lack tokens, only the one with the lower incarnation receives; otherwise they would swap what they have.
  if (entry.waiting.length > 0 && request.receiverIncarnation > core.context.identity.incarnation) return 0n
  return sizeTransfer(request.wantedTokens, ledger.givableTokens)
}
