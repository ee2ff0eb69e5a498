/**
 * Chooses which balance a transaction changes besides the instance's lease.
 *
 * Pattern: all instances of a large fleet draw on the same accounts at once, after a start or a loss of power. A
 * transaction over several balances takes longer at the store and fails when any of them was changed meanwhile, so each
 * one changes one balance, what callers wait for first. After conflicts, draws in advance keep away for longer and longer
 * random times; draws that callers wait for come back soon.
 */

/** Longest pause after repeated conflicts, milliseconds: for callers the time of two transactions, else a part of a grant's time of use. */
const LONGEST_PAUSE = { needed: 25, inAdvance: 2000 } as const
/** Pause after the second conflict in a row, milliseconds, about the time of one transaction; the first is repeated at once. */
const FIRST_PAUSE = 15

/** A balance that could change. */
export interface BalanceMove {
  readonly account: string
  /** Positive to draw, negative to return. */
  readonly tokens: number
  /** Requests that wait for the draw. */
  readonly waiting: number
  /** Share of what should be free that is free; draws of the lowest come first. */
  readonly coverage: number
  /** Reading of the steady clock before which the move is not tried again. */
  readonly notBefore: number
}

/** Orders moves that may be tried now: first what callers wait for, then returns, which others may wait for, then draws in advance. */
export function orderMoves (moves: readonly BalanceMove[], now: number): readonly BalanceMove[] {
  return moves
    .filter((move) => move.tokens !== 0 && move.notBefore <= now)
    .sort((left, right) => right.waiting - left.waiting || Number(right.tokens < 0) - Number(left.tokens < 0) || left.coverage - right.coverage)
}

/** Reading of the steady clock at which a move may be tried again after `conflicts` conflicts in a row. */
export function retryMoveAt (conflicts: number, isNeeded: boolean, now: number, random: number): number {
  if (conflicts <= 1) return now
  const longest = isNeeded ? LONGEST_PAUSE.needed : LONGEST_PAUSE.inAdvance
  return now + random * Math.min(longest, FIRST_PAUSE * 2 ** (conflicts - 1))
}
