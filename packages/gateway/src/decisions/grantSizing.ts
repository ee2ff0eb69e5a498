/**
 * Sizes the token grant of one client account at one of its homes.
 *
 * All instances use an account through its first home; they lose the store for seconds, all at once or singly, and may be
 * killed. A grant covers the use during such an outage. Near exhaustion grants shrink with the remaining balance, so that
 * the last tokens are not spread over homes that don't need them.
 *
 * A grant is split into an allowance, which may be used before the next lease renewal, and a sealed rest, which becomes
 * usable gradually when renewals fail.
 */

/** Duration of a store outage whose use a grant covers. */
const GRANT_HORIZON_MS = 12_000
/** Use that the allowance covers: the duration of the seal, the age at which a lease is renewed, and requests that arrive together. */
const ALLOWANCE_HORIZON_MS = 2000
/** Rate at which sealed tokens become usable, as a multiple of recent use: use may rise, but unsealed tokens are lost with a kill. */
const LIMIT_GROWTH_FACTOR = 1.5
/** Time after the seal in which all tokens become usable regardless of use: new callers may arrive during an outage. */
const MAX_UNSEAL_MS = 15_000
/** Minimum allowance of a large account regardless of use: about one long request, which may arrive before its use is known. */
const MIN_ALLOWANCE_TOKENS = 12_000
/** Minimum allowance of a small account as a fraction of its prepaid tokens: the allowances of all instances add up. */
const MIN_ALLOWANCE_DIVISOR = 200
/** Fraction of the remaining tokens that one home may hold for the recent use. */
const REMAINING_DIVISOR = 2.5
/** Fraction of the remaining tokens that a home holds regardless of use, by rank: an outage may come before the use is known. */
const IDLE_DIVISORS = [10, 25, 50] as const
/** Tokens are drawn when the free ones are below this fraction of the target. */
const REFILL_THRESHOLD = 0.75
/** Draws fill up to this multiple of the target, so that they are rare in a large fleet. */
const REFILL_FACTOR = 1.25
/** Tokens are returned when the free ones exceed this multiple of the target. */
const RETURN_THRESHOLD = 1.6
const MIN_RETURN_TOKENS = 3000
const MIN_PREFETCH_TOKENS = 1500

/** State of an account at one instance. */
export interface GrantInput {
  readonly free: number
  /** Tokens by which waiting requests exceed the free ones. */
  readonly missingTokens: number
  /** Recent use, tokens per millisecond. */
  readonly rate: number
  /** Tokens of the account that no instance holds. */
  readonly ungranted: number
  /** Those of them that may be drawn now. */
  readonly drawable: number
  /** Rank of this instance among the account's homes, 0 for the first. */
  readonly rank: number
}

/** Returns the number of free tokens that a home should hold. */
export function targetFreeTokens (input: Pick<GrantInput, 'rate' | 'ungranted' | 'rank' | 'free'>): number {
  const remaining = input.ungranted + Math.max(0, input.free)
  const idleTarget = remaining / (IDLE_DIVISORS[input.rank] ?? IDLE_DIVISORS[2])
  return Math.floor(Math.max(idleTarget, Math.min(input.rate * GRANT_HORIZON_MS, remaining / REMAINING_DIVISOR)))
}

/** Returns the tokens to draw (positive) or to return (negative) now, or 0. */
export function grantChange (input: GrantInput): number {
  const target = targetFreeTokens(input)
  if (input.missingTokens > 0 || input.free < target * REFILL_THRESHOLD) {
    const wanted = input.missingTokens + Math.max(0, target * REFILL_FACTOR - Math.max(0, input.free))
    const drawn = Math.floor(Math.min(wanted, input.drawable))
    if (input.missingTokens === 0 && drawn < MIN_PREFETCH_TOKENS) return 0
    return drawn >= input.missingTokens ? drawn : 0
  }
  const excess = Math.floor(input.free - target)
  return input.free > target * RETURN_THRESHOLD + MIN_RETURN_TOKENS ? -excess : 0
}

/** Returns the rate at which the usage limit grows after the end of the seal, tokens per millisecond. */
export function limitGrowthRate (rate: number, sealedTokens: number): number {
  return Math.max(rate * LIMIT_GROWTH_FACTOR, Math.max(0, sealedTokens) / MAX_UNSEAL_MS)
}

/** Returns the tokens, beyond those in use, that may be used before the lease is renewed. */
export function usageAllowance (rate: number, free: number, prepaid: number): number {
  return Math.floor(Math.min(free, Math.max(rate * ALLOWANCE_HORIZON_MS, Math.min(MIN_ALLOWANCE_TOKENS, prepaid / MIN_ALLOWANCE_DIVISOR))))
}
