/**
 * Sizes loans ahead of requests, at an instance that is not a home of a client account.
 *
 * Pattern: a load balancer that keeps callers at their instance may send it most of an account's requests. If each of them waited for
 * a loan of its own, most would be late, as a home draws from the store first or replies over a busy link.
 */

/** Requests of an account in a second from which more are expected in the next one. */
const MIN_REQUESTS = 4
/** Part of the unused tokens that one instance may borrow ahead: they are lost if its process is killed. */
const UNUSED_DIVISOR = 50
/** Tokens are borrowed ahead when the usable ones are below this part of what is needed in a second. */
const BORROW_THRESHOLD = 1 / 2

/** State of an account at an instance that is not its home. */
export interface LoanAheadInput {
  /** Of the last second. */
  readonly neededTokens: number
  readonly neededRequests: number
  readonly usableTokens: number
  /** Upper bound of the tokens that callers have not used, at all instances. */
  readonly unusedTokens: number
}

/** Returns the tokens to borrow ahead now, or 0. */
export function loanAhead ({ neededTokens, neededRequests, usableTokens, unusedTokens }: LoanAheadInput): number {
  if (neededRequests < MIN_REQUESTS) return 0
  const target = Math.min(neededTokens, unusedTokens / UNUSED_DIVISOR)
  return usableTokens < target * BORROW_THRESHOLD ? Math.ceil(target - Math.max(0, usableTokens)) : 0
}
