/**
 * Sizes the grants of one client account at one instance.
 *
 * Pattern: an account is drawn on through many instances at uneven rates; instances lose the store for seconds, all at
 * once or singly, and are killed. A grant covers the use of such an outage; near exhaustion grants shrink with what is
 * left, so that the last tokens are not spread over instances that don't need them.
 */

/** Time of use that a grant covers while the store can't be reached, milliseconds. */
const GRANT_HORIZON_MS = 9000
/** Time of use that is open without a renewal of the lease, milliseconds: the seal's time and the age of a lease. */
const ALLOWANCE_HORIZON_MS = 2700
/** Multiple of the recent use at which the sealed part opens after the seal: use may rise, and what has opened is lost with a kill. */
const LIMIT_GROWTH_FACTOR = 1.5
/** Time after the seal in which the sealed part opens whatever the use, milliseconds: callers may come anew in an outage. */
const MAX_UNSEAL_MS = 15_000
/** Tokens that are open whatever the use, in a large account: about one long request, which may come before its use is known. */
const MIN_ALLOWANCE_TOKENS = 12_000
/** The same as a part of what is prepaid, for small accounts, whose open parts at all instances would add up. */
const MIN_ALLOWANCE_DIVISOR = 200
/** Part of what is left that one instance may hold for its recent use; an account's callers may all be at one instance. */
const REMAINING_DIVISOR = 4
/** Part of its even share that an instance holds whatever its use: an outage of seconds may come before the use is known. */
const IDLE_SHARE_DIVISOR = 5
/** A draw is due when the free tokens cover less than this share of the target. */
const REFILL_THRESHOLD = 0.75
/** A draw fills up to this multiple of the target, so that draws of a large fleet are rare. */
const REFILL_FACTOR = 1.25
/** Returned when more than this multiple of the target is free. */
const RETURN_THRESHOLD = 2
/** Smallest amount worth a return, tokens. */
const MIN_RETURN_TOKENS = 3000
/** Smallest amount worth a draw in advance, tokens. */
const MIN_PREFETCH_TOKENS = 1500

/** What the size of a grant depends on. */
export interface GrantInput {
  readonly free: number
  /** Tokens that waiting requests lack. */
  readonly missingTokens: number
  /** Tokens a millisecond. */
  readonly rate: number
  /** Tokens of the account that are not granted to any instance. */
  readonly ungranted: number
  /** Instances that may draw. */
  readonly instances: number
}

/** Tokens that an instance should hold free. */
export function targetFreeTokens (input: Pick<GrantInput, 'rate' | 'ungranted' | 'instances' | 'free'>): number {
  const remaining = input.ungranted + Math.max(0, input.free)
  const idleTarget = remaining / Math.max(1, input.instances) / IDLE_SHARE_DIVISOR
  return Math.floor(Math.max(idleTarget, Math.min(input.rate * GRANT_HORIZON_MS, remaining / REMAINING_DIVISOR)))
}

/** Tokens to move now: positive to draw, negative to return, 0 for none. */
export function grantChange (input: GrantInput): number {
  const target = targetFreeTokens(input)
  if (input.missingTokens > 0 || input.free < target * REFILL_THRESHOLD) {
    const wanted = input.missingTokens + Math.max(0, target * REFILL_FACTOR - Math.max(0, input.free))
    const drawn = Math.floor(Math.min(wanted, input.ungranted))
    if (input.missingTokens === 0 && drawn < MIN_PREFETCH_TOKENS) return 0
    return drawn >= input.missingTokens ? drawn : 0
  }
  const excess = Math.floor(input.free - target)
  return input.free > target * RETURN_THRESHOLD + MIN_RETURN_TOKENS ? -excess : 0
}

/** Tokens a millisecond by which the sealed part of a grant opens after the seal. */
export function limitGrowthRate (rate: number, sealedTokens: number): number {
  return Math.max(rate * LIMIT_GROWTH_FACTOR, Math.max(0, sealedTokens) / MAX_UNSEAL_MS)
}

/** Tokens that may be used until the lease is renewed, beyond those in use. */
export function usageAllowance (rate: number, free: number, prepaid: number): number {
  return Math.floor(Math.min(free, Math.max(rate * ALLOWANCE_HORIZON_MS, Math.min(MIN_ALLOWANCE_TOKENS, prepaid / MIN_ALLOWANCE_DIVISOR))))
}
