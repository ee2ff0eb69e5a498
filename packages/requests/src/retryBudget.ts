/** Unused tokens beyond the capacity are lost, so that only recent requests count. */
const DEFAULT_RETRY_CAPACITY = 10
/** Refill rate without traffic, so that a single caller at night can still be retried. */
const DEFAULT_IDLE_RETRIES_PER_SECOND = 0.5
const MILLISECONDS_PER_SECOND = 1000

/** Limits the retries of one instance to a ratio of its recent requests. */
export interface RetryBudget {
  /** Counts a new request; `now` in Unix milliseconds. */
  recordRequest (now: number): void
  /** Consumes one retry and returns true if one is available; `now` in Unix milliseconds. */
  tryAcquireRetry (now: number): boolean
}

export interface RetryBudgetOptions {
  /** Retries that each request adds, from 0 to 1. */
  readonly retriesPerRequest: number
  /** Maximum number of accumulated retries. */
  readonly capacity?: number
  /** Retries per second allowed without requests. */
  readonly idleRetriesPerSecond?: number
}

/**
 * Creates a token bucket: each request adds `retriesPerRequest` tokens and each second `idleRetriesPerSecond`, up to
 * `capacity`; a retry consumes one. Over any period, the number of retries is at most
 * capacity + retriesPerRequest x requests + idleRetriesPerSecond x seconds.
 */
export function createRetryBudget (options: RetryBudgetOptions): RetryBudget {
  const capacity = options.capacity ?? DEFAULT_RETRY_CAPACITY
  const idleRate = options.idleRetriesPerSecond ?? DEFAULT_IDLE_RETRIES_PER_SECOND
  let tokens = capacity
  let refilledAt: number | undefined

  function addTokens (amount: number): void {
    tokens = Math.min(capacity, tokens + amount)
  }

  function refill (now: number): void {
    const elapsed = Math.max(0, now - (refilledAt ?? now))
    refilledAt = Math.max(now, refilledAt ?? now)
    addTokens(elapsed / MILLISECONDS_PER_SECOND * idleRate)
  }

  return {
    recordRequest: (now) => {
      refill(now)
      addTokens(options.retriesPerRequest)
    },
    tryAcquireRetry: (now) => {
      refill(now)
      if (tokens < 1) return false
      tokens -= 1
      return true
    }
  }
}
