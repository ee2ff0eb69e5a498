/**
 * Chooses which balance a transaction changes besides the instance's lease.
 *
 * Pattern: all instances of a large fleet draw on the same accounts at once, after a start or a loss of power. A
 * transaction over several balances takes longer at the store and fails when any of them was changed meanwhile, so each
 * one changes one balance, what callers wait for first. The store works on a balance's changes one after the other: when all
 * come back at once, each waits for all others and finds the balance changed. So after a conflict a draw keeps away for a
 * random time that grows with the time that the transaction took, and draws in advance longer than those that callers wait for.
 */

/** Longest pause after repeated conflicts, milliseconds: about as long as callers wait, and a part of a grant's time of use. */
const MAX_CONFLICT_BACKOFF_MS = { needed: 700, inAdvance: 2000 } as const
/** Longest pause after a conflict, as a multiple of the time that the transaction took: a part of the store that all queue for takes long. */
const CONFLICT_BACKOFF_FACTOR = { needed: 6, inAdvance: 12 } as const

/** A balance that could change. */
export interface BalanceChange {
  readonly account: string
  /** Positive to draw, negative to return. */
  readonly tokens: number
  /** Requests that wait for the draw. */
  readonly waitingRequests: number
  /** Share of what should be free that is free; draws of the lowest come first. */
  readonly coverage: number
  /** Reading of the steady clock before which the move is not tried again. */
  readonly notBefore: number
}

/** Orders moves that may be tried now: first what callers wait for, then returns, which others may wait for, then draws in advance. */
export function prioritizeChanges (changes: readonly BalanceChange[], now: number): readonly BalanceChange[] {
  return changes
    .filter((change) => change.tokens !== 0 && change.notBefore <= now)
    .sort((left, right) => right.waitingRequests - left.waitingRequests || Number(right.tokens < 0) - Number(left.tokens < 0) || left.coverage - right.coverage)
}

/** Reading of the steady clock at which a move may be tried again after a conflict; `took` is what the transaction took, milliseconds. */
export function conflictRetryAt (isNeeded: boolean, transactionMilliseconds: number, now: number, random: number): number {
  const kind = isNeeded ? 'needed' : 'inAdvance'
  return now + random * Math.min(MAX_CONFLICT_BACKOFF_MS[kind], CONFLICT_BACKOFF_FACTOR[kind] * transactionMilliseconds)
}
