/**
 * Ledger of the tokens of one client account at one instance.
 *
 * Tokens are granted from the account's balance in the store. Each request reserves its maximum use before it is sent and
 * settles its actual use. Use is limited to `limit`; the rest of the grant is sealed. While the store is unreachable the
 * limit grows linearly after the end of the seal. The next process of the instance reclaims the tokens that were
 * certainly still sealed when this one was killed.
 */
export interface TokenLedger {
  /** Reserves tokens; false when fewer are usable. `timeSinceSeal` in milliseconds. */
  reserve (tokens: number, timeSinceSeal: number): boolean
  /** Tokens that can be reserved `timeSinceSeal` milliseconds after the end of the seal. */
  usable (timeSinceSeal: number): number
  /** Releases a reservation of `reserved` tokens, `used` of which were used. */
  settle (reserved: number, used: number, now: number): void
  /** Adds tokens to the grant. */
  addGranted (tokens: number): void
  /** Removes free tokens from the grant. */
  removeGranted (tokens: number): void
  /** Adds tokens received from a peer; they are not part of the lease. */
  addTransferred (tokens: number): void
  /** Settles a reservation of tokens sent to a peer: they count as used, but not in this instance's rate of use. */
  settleTransferred (tokens: number): void
  /** Lowers the limit and its growth rate to the given values; they are raised only by `confirmLimit`, once the lease with them is written. */
  proposeLimit (limit: number, limitGrowthRate: number): void
  confirmLimit (limit: number, limitGrowthRate: number): void
  /** Tokens of this process's lease: granted minus returned. */
  readonly held: number
  readonly free: number
  readonly reserved: number
  /** Lease tokens used or reserved since the process started. */
  readonly committed: number
  readonly limit: number
  /** Growth of the limit after the seal, tokens per millisecond. */
  readonly limitGrowthRate: number
  /** Recent use, tokens per millisecond. */
  rate (now: number): number
}

/** Time constant of the exponential average of the rate of use. */
const RATE_AVERAGING_MS = 12_000

/** Shorter histories are treated as this long. */
const MIN_RATE_HISTORY_MS = 4000

/** Creates an empty ledger. `trafficSince` returns the arrival time, by `steadyNow`, of the first request of any account. */
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
    // Transferred tokens are used first: they don't count against the lease's limit.
    get committed () { return Math.max(0, used + reserved - transferred) },
    get limit () { return limit },
    get limitGrowthRate () { return limitGrowthRate },
    // Corrects the bias of the exponential average while its history is short.
    rate: (now) => decayedUse(now) / (RATE_AVERAGING_MS * (1 - Math.exp(-Math.max(MIN_RATE_HISTORY_MS, now - trafficSince()) / RATE_AVERAGING_MS)))
  }
}
