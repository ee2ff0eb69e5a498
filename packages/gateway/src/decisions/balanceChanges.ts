/**
 * Decides which account balance a lease transaction changes and when a conflicting change is retried.
 *
 * After a start or a loss of power all instances of a large fleet draw on the same accounts at once. A transaction over
 * several balances takes longer at the store and conflicts when any of them has changed, so each transaction changes one
 * balance, those that callers wait for first. The store serializes the changes of a balance: if all instances retried at
 * once, each would wait for all others and conflict again. So a conflict is followed by a random backoff that grows with
 * the duration of the transaction and is longer for draws in advance than for draws that callers wait for.
 */

/** Needed draws: about as long as callers wait. Draws in advance: a fraction of the time that a grant lasts. */
const MAX_CONFLICT_BACKOFF_MS = { needed: 700, inAdvance: 2000 } as const
/** Maximum backoff as a multiple of the transaction's duration, which grows with the queue at the store's partition. */
const CONFLICT_BACKOFF_FACTOR = { needed: 6, inAdvance: 12 } as const

/** A possible change of one account's balance. */
export interface BalanceChange {
  readonly account: string
  /** Positive to draw, negative to return. */
  readonly tokens: number
  /** True when the account's ceiling has to rise, with or without a draw. */
  readonly isAnnouncement: boolean
  readonly waitingRequests: number
  /** Free tokens as a fraction of the target; lower values are drawn first. */
  readonly coverage: number
  /** Earliest time of the next try, by `steadyNow`. */
  readonly notBefore: number
}

/** Returns the changes that may be tried now: draws that callers wait for, then returns, which other instances may need, then draws in advance. */
export function prioritizeChanges (changes: readonly BalanceChange[], now: number): readonly BalanceChange[] {
  return changes
    .filter((change) => (change.tokens !== 0 || change.isAnnouncement) && change.notBefore <= now)
    .sort((left, right) => right.waitingRequests - left.waitingRequests || Number(right.tokens < 0) - Number(left.tokens < 0) || left.coverage - right.coverage)
}

/** Returns the time, by `steadyNow`, of the next try after a conflict. `random` is in [0, 1). */
export function conflictRetryAt (isNeeded: boolean, transactionMilliseconds: number, now: number, random: number): number {
  const kind = isNeeded ? 'needed' : 'inAdvance'
  return now + random * Math.min(MAX_CONFLICT_BACKOFF_MS[kind], CONFLICT_BACKOFF_FACTOR[kind] * transactionMilliseconds)
}
