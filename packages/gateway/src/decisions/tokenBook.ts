/**
 * Accounts for the tokens of one client account at one instance. Tokens are granted from the account's row in the
 * store; each request reserves its largest use before it is sent and settles what it used. The sum of all grants never
 * exceeds what was prepaid, so no instance can overspend, whatever it is cut off from.
 */
export interface TokenBook {
  /** Takes tokens for a request; false when too few are free. */
  reserve (tokens: number): boolean
  /** Ends a reservation of `reserved` tokens of which `used` were used. */
  settle (reserved: number, used: number, now: number): void
  /** Adds granted tokens, or takes out returned ones when negative. */
  adjust (tokens: number): void
  readonly free: number
  readonly reserved: number
  /** Tokens used by requests that have ended. */
  readonly spent: number
  /** Recent use, tokens a millisecond. */
  rate (now: number): number
}

/** Time over which the rate of use is averaged, milliseconds. */
const RATE_TIME = 6000

/** Creates a book without tokens. */
export function createTokenBook (): TokenBook {
  let free = 0
  let reserved = 0
  let spent = 0
  let recent = 0
  let recentAt = 0

  function decayedRecent (now: number): number {
    return recent * Math.exp(-Math.max(0, now - recentAt) / RATE_TIME)
  }

  return {
    reserve: (tokens) => {
      if (tokens > free) return false
      free -= tokens
      reserved += tokens
      return true
    },
    settle: (taken, used, now) => {
      reserved -= taken
      spent += used
      free += taken - used
      recent = decayedRecent(now) + used
      recentAt = now
    },
    adjust: (tokens) => { free += tokens },
    get free () { return free },
    get reserved () { return reserved },
    get spent () { return spent },
    rate: (now) => decayedRecent(now) / RATE_TIME
  }
}

/** What the size of a draw depends on. */
export interface DrawInput {
  readonly free: number
  /** Tokens that waiting requests lack. */
  readonly needed: number
  /** Tokens a millisecond. */
  readonly rate: number
  /** Tokens of the account that are not granted to any instance. */
  readonly ungranted: number
  /** Instances that may draw. */
  readonly instances: number
}

/** Time of use that a grant covers while the store can't be reached, milliseconds. */
const GRANT_HORIZON = 10_000
/** Part of an instance's even share of the ungranted tokens that it may hold, so that the last ones are not stranded. */
const SHARE_DIVISOR = 2
/** A draw is due when the free tokens cover less than this share of the target. */
const LOW_WATER_SHARE = 0.5

/** Tokens that an instance should hold free. */
export function targetGrant (input: Omit<DrawInput, 'free' | 'needed'>): number {
  const evenShare = input.ungranted / Math.max(1, input.instances) / SHARE_DIVISOR
  return Math.floor(Math.min(input.rate * GRANT_HORIZON, evenShare))
}

/** Tokens to draw now; 0 when none are due or not enough are left. */
export function drawSize (input: DrawInput): number {
  const target = targetGrant(input)
  const isDue = input.needed > 0 || input.free < target * LOW_WATER_SHARE
  if (!isDue) return 0
  const wanted = Math.max(input.needed, input.needed + target - input.free)
  const drawn = Math.min(wanted, input.ungranted)
  return drawn >= input.needed ? Math.floor(drawn) : 0
}
