/**
 * Accounts for the tokens of one client account at one instance.
 *
 * Tokens are granted from the account's balance in the store. Each request reserves its largest use before it is sent
 * and settles what it used. A grant has an open part, up to `limit`, and a sealed part that stays untouched while the
 * store is in reach and opens evenly when it is not; what a killed process certainly left sealed is taken over by the
 * next process of that instance.
 */
export interface TokenLedger {
  /** Takes tokens for a request; false when too few may be used `sinceSeal` milliseconds after the end of the seal. */
  reserve (tokens: number, timeSinceSeal: number): boolean
  /** Tokens that a request may take `sinceSeal` milliseconds after the end of the seal. */
  usable (timeSinceSeal: number): number
  /** Ends a reservation of `reserved` tokens of which `used` were used. */
  settle (reserved: number, used: number, now: number): void
  /** Adds granted tokens. */
  addGranted (tokens: number): void
  /** Takes out tokens that are free. */
  removeGranted (tokens: number): void
  /** Adds tokens that a peer handed over; they are no part of the lease. */
  addTransferred (tokens: number): void
  /** Ends a reservation of tokens that were handed to a peer: they count as used, but not as this instance's need. */
  settleTransferred (tokens: number): void
  /** Lowers the limit and its opening to proposed ones at once; raises them only by `confirmLimit`. */
  proposeLimit (limit: number, limitGrowthRate: number): void
  confirmLimit (limit: number, limitGrowthRate: number): void
  /** Granted less returned tokens of this process's lease. */
  readonly held: number
  readonly free: number
  readonly reserved: number
  /** Used and reserved since the process started. */
  readonly committed: number
  readonly limit: number
  /** Tokens a millisecond by which the limit rises after the seal. */
  readonly limitGrowthRate: number
  /** Recent use, tokens a millisecond. */
  rate (now: number): number
}

/** Time over which the rate of use is averaged, milliseconds. */
const RATE_AVERAGING_MS = 12_000

/** Shortest history from which a rate is taken, milliseconds. */
const MIN_RATE_HISTORY_MS = 4000

/** Creates a book without tokens. `trafficSince` is when the first request of any account came. */
export function createTokenLedger (trafficSince: () => number): TokenLedger {
  let held = 0
  let transferred = 0
  let used = 0
  let reserved = 0
  let limit = 0
  let limitGrowthRate = 0
  let recentUse = 0
  let recentUseAt = 0

  function decayedUse (now: number): number {
    return recentUse * Math.exp(-Math.max(0, now - recentUseAt) / RATE_AVERAGING_MS)
  }
  function free (): number {
    return held + transferred - used - reserved
  }

  function usable (timeSinceSeal: number): number {
    return Math.min(free(), limit + limitGrowthRate * timeSinceSeal + transferred - used - reserved)
  }

  return {
    usable,
    reserve: (tokens, timeSinceSeal) => {
      if (tokens > usable(timeSinceSeal)) return false
      reserved += tokens
      return true
    },
    settle: (reservedTokens, usedTokens, now) => {
      reserved -= reservedTokens
      used += usedTokens
      recentUse = decayedUse(now) + usedTokens
      recentUseAt = now
    },
    addGranted: (tokens) => { held += tokens },
    removeGranted: (tokens) => { held -= tokens },
    addTransferred: (tokens) => { transferred += tokens },
    settleTransferred: (tokens) => {
      reserved -= tokens
      used += tokens
    },
    proposeLimit: (proposedLimit, proposedGrowthRate) => {
      limit = Math.min(limit, proposedLimit)
      limitGrowthRate = Math.min(limitGrowthRate, proposedGrowthRate)
    },
    confirmLimit: (confirmedLimit, confirmedGrowthRate) => {
      limit = confirmedLimit
      limitGrowthRate = confirmedGrowthRate
    },
    get held () { return held },
    get free () { return free() },
    get reserved () { return reserved },
    // Transferred tokens are spent first, as they are no part of the lease's limit.
    get committed () { return Math.max(0, used + reserved - transferred) },
    get limit () { return limit },
    get limitGrowthRate () { return limitGrowthRate },
    // The average starts without history, so it is scaled by the part of its time that has passed.
    rate: (now) => decayedUse(now) / (RATE_AVERAGING_MS * (1 - Math.exp(-Math.max(MIN_RATE_HISTORY_MS, now - trafficSince()) / RATE_AVERAGING_MS)))
  }
}
