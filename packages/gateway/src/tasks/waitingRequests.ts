import type { AccountState } from './tokenAccounts.js'
import { LONGEST_SHORTAGE_MEMORY, LONGEST_WAIT, LONGEST_WAIT_WITHOUT_STORE, NO_TOKENS_RETRY, SHORTAGE_MEMORY } from './tokenTiming.js'

/** Tokens of the account that are granted to no instance. */
export function ungranted (state: AccountState): number {
  return Math.max(0, (state.prepaid ?? 0) - state.granted)
}

/** Tokens that waiting requests lack. */
export function needed (state: AccountState): number {
  return Math.max(0, waitingTokens(state) - state.book.free)
}

/** Tokens that waiting requests lack, of those for which the account has enough left. */
export function drawable (state: AccountState): number {
  const available = ungranted(state) + Math.max(0, state.book.free)
  let fitting = 0
  for (const request of state.waiting) if (fitting + request.tokens <= available) fitting += request.tokens
  return Math.max(0, fitting - Math.max(0, state.book.free))
}

/** Tokens that waiting requests ask for. */
export function waitingTokens (state: AccountState): number {
  return state.waiting.reduce((sum, request) => sum + request.tokens, 0)
}

/** When a caller may return for whom there were no tokens. */
export function returnAt (state: AccountState, now: number): number {
  return Math.max(now + NO_TOKENS_RETRY, state.shortUntil)
}

/** Gives waiting requests what is there, and refuses those that waited too long. */
export function serveWaiting (state: AccountState, sinceSeal: number, isStoreLost: boolean, now: number): void {
  if (state.waiting.length === 0) return
  state.waiting = state.waiting.filter((request) => {
    if (state.book.reserve(request.tokens, sinceSeal)) {
      request.resolve({ kind: 'reserved' })
      return false
    }
    const isLate = now >= request.deadline || (isStoreLost && now >= request.deadline - LONGEST_WAIT + LONGEST_WAIT_WITHOUT_STORE)
    if (isLate) request.resolve({ kind: 'unavailable', retryAt: returnAt(state, now) })
    return !isLate
  })
}

/** Refuses what waits, and what comes soon after: other instances need longer to return tokens, if they have any. */
export function refuseWaiting (state: AccountState, now: number): void {
  state.shortUntil = now + Math.min(LONGEST_SHORTAGE_MEMORY, SHORTAGE_MEMORY * 2 ** state.shortages)
  state.shortages++
  for (const request of state.waiting) request.resolve({ kind: 'unavailable', retryAt: returnAt(state, now) })
  state.waiting = []
}
