import type { ReservationOutcome } from '../decisions/requestPlan.js'
import type { AccountState, WaitingRequest } from './tokenAccounts.js'
import { MAX_SHORTAGE_REJECTION_MS, MAX_TOKEN_WAIT_MS, MAX_TOKEN_WAIT_WITHOUT_STORE_MS, NO_TOKENS_RETRY_MS, SHORTAGE_REJECTION_MS } from './tokenTiming.js'

/** Returns an upper bound of the tokens that callers have not used, wherever they are. */
export function unusedTokensAtMost (state: AccountState): number {
  return Math.max(0, (state.prepaid ?? 0) - state.knownUse.total)
}

/** Returns the tokens by which waiting requests exceed the free ones. */
export function missingTokens (state: AccountState): number {
  return Math.max(0, waitingTokens(state) - state.ledger.free)
}

/** Like `missingTokens`, counting only requests that the free tokens and `drawable` further ones cover. */
export function coveredMissingTokens (state: AccountState, drawable: number): number {
  const available = drawable + Math.max(0, state.ledger.free)
  let fitting = 0
  for (const request of state.waiting) if (fitting + request.tokens <= available) fitting += request.tokens
  return Math.max(0, fitting - Math.max(0, state.ledger.free))
}

/** Returns the total tokens of the waiting requests. */
export function waitingTokens (state: AccountState): number {
  return state.waiting.reduce((sum, request) => sum + request.tokens, 0)
}

/** Returns the retry time, by `steadyNow`, to suggest to a caller when no tokens are available. */
export function tokenRetryAt (state: AccountState, now: number): number {
  return Math.max(now + NO_TOKENS_RETRY_MS, state.rejectUntil)
}

/** Returns what a request without tokens is told: to come back, unless what callers have used shows that the balance won't cover it. */
function describeShortage (state: AccountState, { tokens }: WaitingRequest, now: number): ReservationOutcome {
  return tokens > unusedTokensAtMost(state) ? { kind: 'exhausted' } : { kind: 'unavailable', retryAt: tokenRetryAt(state, now) }
}

/** Reserves usable tokens for waiting requests, and rejects requests that have waited too long. */
export function serveWaiting (state: AccountState, timeSinceSeal: number, isStoreUnreachable: boolean, now: number): void {
  if (state.waiting.length === 0) return
  state.waiting = state.waiting.filter((request) => {
    if (state.ledger.reserve(request.tokens, timeSinceSeal)) {
      request.resolve({ kind: 'reserved' })
      return false
    }
    const isLate = now >= request.deadline || (isStoreUnreachable && now >= request.deadline - MAX_TOKEN_WAIT_MS + MAX_TOKEN_WAIT_WITHOUT_STORE_MS)
    if (isLate) request.resolve(describeShortage(state, request, now))
    return !isLate
  })
}

/** Returns true when a request is at least as large as one that the account's remaining tokens did not cover a moment ago. */
export function isRejectedAtOnce (state: AccountState, tokens: number, now: number): boolean {
  return now < state.rejectUntil && tokens >= state.rejectFromTokens
}

/** Rejects waiting requests and, for some time, new ones that are not smaller: tokens come back only when running requests end. */
export function rejectWaiting (state: AccountState, rejected: readonly WaitingRequest[], now: number): void {
  const smallest = rejected.reduce((size, request) => Math.min(size, request.tokens), Infinity)
  state.rejectFromTokens = now < state.rejectUntil ? Math.min(state.rejectFromTokens, smallest) : smallest
  state.rejectUntil = now + Math.min(MAX_SHORTAGE_REJECTION_MS, SHORTAGE_REJECTION_MS * 2 ** state.consecutiveShortages)
  state.consecutiveShortages++
  for (const request of rejected) request.resolve(describeShortage(state, request, now))
  state.waiting = state.waiting.filter((request) => !rejected.includes(request))
}
