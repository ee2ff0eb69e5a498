/**
 * Limits the second sends of one instance to a share of the requests of each service.
 *
 * Load: many slow responses at once, at 6 to 390 instances of which each has a few requests per second. A bucket that holds a token
 * or more for each instance would let all instances together exceed the share when they use theirs at once. Each request therefore
 * adds a part of a token, a token is lost soon after it became whole, and the first one becomes whole after a random part of the
 * requests that it takes. How many tokens a fleet holds at any moment then depends on its requests, not on the number of its instances.
 */

/** Part of the share that is handed out. The tokens of 12.5 s can be used within 10 s, and the random parts vary. */
const UTILIZATION = 0.5
/** A token that is not used is lost after this time. */
const TOKEN_LIFETIME_MS = 2500

/** Right of one instance to send requests a second time. Times by `steadyNow`. */
export interface SecondSendShare {
  recordRequest (service: string, now: number): void
  /** Uses one token, and returns true, if there is one. */
  tryUse (service: string, now: number): boolean
}

interface Bucket {
  /** Part of the next token, from 0 to 1. */
  part: number
  /** When the whole tokens are lost, the earliest first. */
  expiries: number[]
}

/** Creates the right of a process that has seen no request. `share`: of the requests of all instances, from 0 to 1. */
export function createSecondSendShare (share: number, random: () => number): SecondSendShare {
  const buckets = new Map<string, Bucket>()

  return {
    recordRequest: (service, now) => {
      if (share === 0) return
      const bucket = buckets.get(service) ?? { part: random(), expiries: [] }
      buckets.set(service, bucket)
      bucket.part += share * UTILIZATION
      if (bucket.part < 1) return
      bucket.part -= 1
      bucket.expiries = [...bucket.expiries.filter((at) => at > now), now + TOKEN_LIFETIME_MS]
    },
    tryUse: (service, now) => {
      const bucket = buckets.get(service)
      if (bucket === undefined) return false
      bucket.expiries = bucket.expiries.filter((at) => at > now)
      return bucket.expiries.shift() !== undefined
    }
  }
}
