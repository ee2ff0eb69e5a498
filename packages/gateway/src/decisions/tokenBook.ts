/**
 * Accounts for the tokens of one client account at one instance.
 *
 * Tokens are granted from the account's balance in the store. Each request reserves its largest use before it is sent
 * and settles what it used. A grant has an open part, up to `limit`, and a sealed part that stays untouched while the
 * store is in reach and opens evenly when it is not; what a killed process certainly left sealed is taken over by the
 * next process of that instance.
 */
export interface TokenBook {
  /** Takes tokens for a request; false when too few may be used `sinceSeal` milliseconds after the end of the seal. */
  reserve (tokens: number, sinceSeal: number): boolean
  /** Tokens that a request may take `sinceSeal` milliseconds after the end of the seal. */
  usable (sinceSeal: number): number
  /** Ends a reservation of `reserved` tokens of which `used` were used. */
  settle (reserved: number, used: number, now: number): void
  /** Adds granted tokens. */
  receive (tokens: number): void
  /** Takes out tokens that are free. */
  remove (tokens: number): void
  /** Adds tokens that a peer handed over; they are no part of the lease. */
  receiveTransfer (tokens: number): void
  /** Ends a reservation of tokens that were handed to a peer: they count as used, but not as this instance's need. */
  settleTransfer (tokens: number): void
  /** Lowers the limit and its opening to proposed ones at once; raises them only by `confirmLimit`. */
  proposeLimit (limit: number, opening: number): void
  confirmLimit (limit: number, opening: number): void
  /** Granted less returned tokens of this process's lease. */
  readonly held: number
  readonly free: number
  readonly reserved: number
  /** Used and reserved since the process started. */
  readonly committed: number
  readonly limit: number
  /** Tokens a millisecond by which the limit rises after the seal. */
  readonly opening: number
  /** Recent use, tokens a millisecond. */
  rate (now: number): number
}

/** Time over which the rate of use is averaged, milliseconds. */
const RATE_TIME = 12_000

/** Shortest history from which a rate is taken, milliseconds. */
const SHORTEST_HISTORY = 4000

/** Creates a book without tokens. `trafficSince` is when the first request of any account came. */
export function createTokenBook (trafficSince: () => number): TokenBook {
  let held = 0
  let transferred = 0
  let used = 0
  let reserved = 0
  let limit = 0
  let opening = 0
  let recent = 0
  let recentAt = 0

  function decayedRecent (now: number): number {
    return recent * Math.exp(-Math.max(0, now - recentAt) / RATE_TIME)
  }
  function free (): number {
    return held + transferred - used - reserved
  }

  function usable (sinceSeal: number): number {
    return Math.min(free(), limit + opening * sinceSeal + transferred - used - reserved)
  }

  return {
    usable,
    reserve: (tokens, sinceSeal) => {
      if (tokens > usable(sinceSeal)) return false
      reserved += tokens
      return true
    },
    settle: (taken, usedTokens, now) => {
      reserved -= taken
      used += usedTokens
      recent = decayedRecent(now) + usedTokens
      recentAt = now
    },
    receive: (tokens) => { held += tokens },
    remove: (tokens) => { held -= tokens },
    receiveTransfer: (tokens) => { transferred += tokens },
    settleTransfer: (tokens) => {
      reserved -= tokens
      used += tokens
    },
    proposeLimit: (proposedLimit, proposedOpening) => {
      limit = Math.min(limit, proposedLimit)
      opening = Math.min(opening, proposedOpening)
    },
    confirmLimit: (confirmedLimit, confirmedOpening) => {
      limit = confirmedLimit
      opening = confirmedOpening
    },
    get held () { return held },
    get free () { return free() },
    get reserved () { return reserved },
    // Transferred tokens are spent first, as they are no part of the lease's limit.
    get committed () { return Math.max(0, used + reserved - transferred) },
    get limit () { return limit },
    get opening () { return opening },
    // The average starts without history, so it is scaled by the part of its time that has passed.
    rate: (now) => decayedRecent(now) / (RATE_TIME * (1 - Math.exp(-Math.max(SHORTEST_HISTORY, now - trafficSince()) / RATE_TIME)))
  }
}
