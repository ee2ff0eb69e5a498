/** Most retries that can be saved up; older unused tokens are lost, so that only recent requests count. */
const RETRY_CAPACITY = 10
/** Retries per second without any traffic, so that a lone caller at night still gets one. */
const IDLE_RETRIES_PER_SECOND = 0.5
const MILLISECONDS_PER_SECOND = 1000

/** Limits retries of one instance to a share of its recent requests. */
export interface RetryBudget {
  /** Counts a new request; `now` in Unix milliseconds. */
  recordRequest (now: number): void
  /** Takes one retry when there is one; `now` in Unix milliseconds. */
  takeRetry (now: number): boolean
}

/** Limits of a retry budget. */
export interface RetryBudgetOptions {
  /** Retries allowed for each request, 0 to 1. */
  readonly share: number
  /** Most retries saved up. */
  readonly capacity?: number
  /** Retries per second that are allowed without requests. */
  readonly idleRetriesPerSecond?: number
}

/**
 * Creates a token bucket: each request adds `share` tokens and each second `idleRetriesPerSecond`, up to `capacity`; a
 * retry takes one. Over any span, retries are at most capacity + share x requests + idle rate x seconds.
 */
export function createRetryBudget (options: RetryBudgetOptions): RetryBudget {
  const capacity = options.capacity ?? RETRY_CAPACITY
  const idleRate = options.idleRetriesPerSecond ?? IDLE_RETRIES_PER_SECOND
  let tokens = capacity
  let refilledAt: number | undefined

  function add (amount: number): void {
    tokens = Math.min(capacity, tokens + amount)
  }

  function refill (now: number): void {
    const elapsed = Math.max(0, now - (refilledAt ?? now))
    refilledAt = Math.max(now, refilledAt ?? now)
    add(elapsed / MILLISECONDS_PER_SECOND * idleRate)
  }

  return {
    recordRequest: (now) => {
      refill(now)
      add(options.share)
    },
    takeRetry: (now) => {
      refill(now)
      if (tokens < 1) return false
      tokens -= 1
      return true
    }
  }
}
