import { randomUUID } from 'node:crypto'
import { create } from '@bufbuild/protobuf'
import { emptyTransfer, sizeTransfer } from '@quinceshunt/budget'
import { TransferAllowanceRequestSchema, type TransferAllowanceRequest, type TransferRecord } from '@quinceshunt/schemas'
import { runInBackground, type BudgetTaskState } from './budgetTaskState.js'
import { startReturn } from './budgetDraws.js'
import type { BudgetEntry } from './budgetEntry.js'
import type { TransferAttempt } from './budgetMessages.js'
import { scheduleFlush } from './budgetSettlement.js'

/** A live peer answers within a few milliseconds. */
const CALL_TIMEOUT_MS = 300
/** Minimum interval between rounds of transfer requests for one budget. */
const ROUND_INTERVAL_MS = 100
/** Time after which an unanswered request is abandoned. The tokens then stay withheld under the giver's lease. */
const MAX_REPEAT_MS = 60_000

/** Requests the tokens that waiting reservations need from one peer after another. */
export function requestTransfers (state: BudgetTaskState, entry: BudgetEntry): void {
  const now = state.context.clock.now()
  if (state.stopping || entry.requestingTransfers || now < entry.nextTransferRequestAt || entry.neededTokens === 0n) return
  const unresponsiveAddresses = new Set([...state.unansweredTransferRequests.values()].filter(({ request }) => request.budgetId === entry.budgetId).map(({ peerAddress }) => peerAddress))
  const addresses = state.peers.peers().filter(({ leaving, address }) => !leaving && !unresponsiveAddresses.has(address)).map(({ address }) => address)
  if (addresses.length === 0) return
  entry.requestingTransfers = true
  runInBackground(state, 'ask peers', requestTransfersInTurn(state, entry, addresses).finally(() => state.post({ kind: 'peersAsked', budgetId: entry.budgetId })))
}

async function requestTransfersInTurn (state: BudgetTaskState, entry: BudgetEntry, addresses: readonly string[]): Promise<void> {
  for (const peerAddress of addresses) {
    const wantedTokens = entry.neededTokens
    if (wantedTokens === 0n || state.stopping) return
    const request = create(TransferAllowanceRequestSchema, {
      requestId: randomUUID(), budgetId: entry.budgetId, receiverIncarnation: state.context.identity.incarnation, wantedTokens
    })
    await sendTransferRequest(state, { request, peerAddress, abandonAt: state.context.clock.now() + MAX_REPEAT_MS })
  }
}

async function sendTransferRequest (state: BudgetTaskState, attempt: TransferAttempt): Promise<void> {
  state.unansweredTransferRequests.set(attempt.request.requestId, attempt)
  try {
    const response = await state.peers.client(attempt.peerAddress).transferAllowance(attempt.request, { timeoutMs: CALL_TIMEOUT_MS })
    state.post({ kind: 'transferAnswered', attempt, transfer: response.transfer })
  } catch {
    state.post({ kind: 'transferAnswered', attempt, transfer: undefined })
  }
}

export function finishTransferRound (state: BudgetTaskState, entry: BudgetEntry): void {
  entry.requestingTransfers = false
  entry.nextTransferRequestAt = state.context.clock.now() + ROUND_INTERVAL_MS
}

/** Repeats unanswered requests with the same IDs, because the peer may already have subtracted the tokens. */
export function repeatTransferRequests (state: BudgetTaskState): void {
  const now = state.context.clock.now()
  for (const [requestId, attempt] of state.unansweredTransferRequests) {
    if (now >= attempt.abandonAt) {
      state.unansweredTransferRequests.delete(requestId)
      state.context.metrics.count('budget_transfers', { result: 'abandoned' })
    } else {
      runInBackground(state, 'repeat transfer request', sendTransferRequest(state, attempt))
    }
  }
}

/** Applies a peer's answer; duplicates of a transfer are ignored. */
export function acceptTransfer (state: BudgetTaskState, entry: BudgetEntry, attempt: TransferAttempt, transfer: TransferRecord | undefined): void {
  if (transfer === undefined) return state.context.metrics.count('budget_transfers', { result: 'unanswered' })
  state.unansweredTransferRequests.delete(attempt.request.requestId)
  if (!state.transferLog.accept(entry.budgetId, transfer)) return
  state.context.metrics.count('budget_transfers', { result: 'received' })
  entry.ledger.transferIn(transfer)
  scheduleFlush(state)
}

/** Answers a transfer request of a peer. */
export function answerTransferRequest (state: BudgetTaskState, request: TransferAllowanceRequest): TransferRecord {
  const previousAnswer = state.transferLog.findAnswer(request.requestId)
  if (previousAnswer !== undefined) return previousAnswer
  const entry = state.entries.get(request.budgetId)
  const tokens = entry === undefined || state.stopping ? 0n : computeTransferTokens(state, entry, request)
  if (entry === undefined || tokens <= 0n) return state.transferLog.recordRefusal(request)
  if (state.policy.transfersThroughTable) {
    startReturn(state, entry, tokens)
    return emptyTransfer(state.context.identity.incarnation, request.receiverIncarnation)
  }
  entry.ledger.transferOut(tokens)
  state.context.metrics.count('budget_transfers', { result: 'given' })
  scheduleFlush(state)
  return state.transferLog.recordTransfer(request, tokens)
}

function computeTransferTokens (state: BudgetTaskState, entry: BudgetEntry, request: TransferAllowanceRequest): bigint {
  const now = state.context.clock.now()
  const { ledger } = entry
  // After an operator's resolution the table rejects further transfers from this lease.
  if (!entry.mayReserve(now, state.policy) || ledger.snapshot.record.resolvedTokens > 0n) return 0n
  // Of two instances with waiting reservations, only the one with the lower incarnation receives tokens; otherwise they would swap them.
  if (entry.waiting.length > 0 && request.receiverIncarnation > state.context.identity.incarnation) return 0n
  return sizeTransfer(request.wantedTokens, ledger.transferableTokens)
}
