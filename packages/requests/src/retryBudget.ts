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
  /** Consumes one retry and reserves another, for the case that it fails; undefined unless both are available. */
  tryAcquireWithReserve (now: number): ReservedRetry | undefined
  /** Consumes one retry for which half of the further ones pay, so that those accumulated stay; false until earlier ones are paid for. */
  tryAcquireOnCredit (now: number): boolean
  /** Replaces the limits from `now` on. Accumulated, reserved and overdrawn retries stay; those beyond a lower capacity are lost. */
  changeLimits (limits: RetryBudgetLimits, now: number): void
}

/** Limits of a budget that may change while it is used. */
export interface RetryBudgetLimits {
  /** Maximum number of accumulated retries. */
  readonly capacity?: number
  /** Retries per second allowed without requests. */
  readonly idleRetriesPerSecond?: number
  /** Retries beyond the accumulated ones that only reserved retries may consume; they are paid back before the next retry. */
  readonly overdraft?: number
}

/** A retry that is kept for one request. Only the first call of either method has an effect. */
export interface ReservedRetry {
  consume (): void
  release (): void
}

export interface RetryBudgetOptions extends RetryBudgetLimits {
  /** Retries that each request adds, from 0 to 1. */
  readonly retriesPerRequest: number
  /** When it was empty, in Unix milliseconds. Without a time it starts full, which a process that may have been restarted must not. */
  readonly emptyAt?: number
}

function withDefaults (limits: RetryBudgetLimits): { readonly capacity: number, readonly idleRate: number, readonly overdraft: number } {
  return {
    capacity: limits.capacity ?? DEFAULT_RETRY_CAPACITY,
    idleRate: limits.idleRetriesPerSecond ?? DEFAULT_IDLE_RETRIES_PER_SECOND,
    overdraft: limits.overdraft ?? 0
  }
}

/**
 * Creates a token bucket: each request adds `retriesPerRequest` tokens and each second `idleRetriesPerSecond`, up to
 * `capacity`; a retry consumes one. Over any period, the number of retries is at most
 * capacity + overdraft + retriesPerRequest x requests + idleRetriesPerSecond x seconds.
 */
export function createRetryBudget (options: RetryBudgetOptions): RetryBudget {
  let { capacity, idleRate, overdraft } = withDefaults(options)
  let tokens = options.emptyAt === undefined ? capacity : 0
  let reserved = 0
  /** Retries that were consumed and are not paid for yet. */
  let unpaid = 0
  let refilledAt = options.emptyAt

  function addTokens (amount: number): void {
    const paid = Math.min(unpaid, amount / 2)
    unpaid -= paid
    tokens = Math.min(capacity, tokens + amount - paid)
  }

  function refill (now: number): void {
    const elapsed = Math.max(0, now - (refilledAt ?? now))
    refilledAt = Math.max(now, refilledAt ?? now)
    addTokens(elapsed / MILLISECONDS_PER_SECOND * idleRate)
  }

  /** Consumes one retry and reserves `toReserve` more, unless that would leave less than what is reserved already. */
  function tryAcquire (now: number, toReserve: number): boolean {
    refill(now)
    if (tokens < 1 || (reserved + toReserve > 0 && tokens - 1 + overdraft < reserved + toReserve)) return false
    tokens -= 1
    reserved += toReserve
    return true
  }

  function createReservedRetry (): ReservedRetry {
    let isEnded = false
    const end = (consumed: number): void => {
      if (isEnded) return
      isEnded = true
      reserved -= 1
      tokens -= consumed
    }
    return { consume: () => end(1), release: () => end(0) }
  }

  return {
    recordRequest: (now) => {
      refill(now)
      addTokens(options.retriesPerRequest)
    },
    tryAcquireRetry: (now) => tryAcquire(now, 0),
    tryAcquireWithReserve: (now) => tryAcquire(now, 1) ? createReservedRetry() : undefined,
    tryAcquireOnCredit: (now) => {
      refill(now)
      if (unpaid > 0 && unpaid + 1 > capacity / 2) return false
      unpaid += 1
      return true
    },
    changeLimits: (limits, now) => {
      refill(now)
      ;({ capacity, idleRate, overdraft } = withDefaults(limits))
      addTokens(0)
    }
  }
}
