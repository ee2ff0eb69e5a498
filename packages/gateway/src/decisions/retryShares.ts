import { createRetryBudget, type ReservedRetry, type RetryBudget } from '@quinceshunt/requests'

/** Fraction of the fleet's budget that the shares add up to, so that all instances together stay below it. */
const BUDGET_UTILIZATION = 0.6
/** Fraction of the fleet's slack for requests that return to a backend server after their retry elsewhere has failed. */
const RETURN_UTILIZATION = 0.2

/** Retry limits of the whole fleet, for each service. */
export interface RetryLimits {
  /** Retries per request. */
  readonly ratio: number
  /** Retries beyond the ratio in one window. */
  readonly slack: number
  readonly windowMilliseconds: number
}

/** This instance's share of the fleet's retry budget, for each service. */
export interface RetryShares {
  recordRequest (service: string, now: number): void
  tryAcquireRetry (service: string, now: number): boolean
  /** Also reserves a retry with which the request may return to its backend server. */
  tryAcquireWithReturn (service: string, now: number): ReservedRetry | undefined
}

/**
 * Splits each service's retry budget evenly over the instances. A share's token bucket refills in one window, so at most
 * twice its capacity and its overdraft are used within any window; the utilizations keep that within the fleet's slack.
 */
export function createRetryShares (limits: RetryLimits, instances: () => number): RetryShares {
  const shares = new Map<string, { readonly instances: number, readonly budget: RetryBudget }>()

  function budgetFor (service: string): RetryBudget {
    const count = instances()
    const found = shares.get(service)
    if (found !== undefined && found.instances === count) return found.budget
    const capacity = Math.max(1, limits.slack * BUDGET_UTILIZATION / 2 / count)
    const budget = createRetryBudget({
      retriesPerRequest: limits.ratio * BUDGET_UTILIZATION,
      capacity,
      overdraft: Math.max(1, limits.slack * RETURN_UTILIZATION / count),
      idleRetriesPerSecond: capacity / (limits.windowMilliseconds / 1000)
    })
    shares.set(service, { instances: count, budget })
    return budget
  }

  return {
    recordRequest: (service, now) => budgetFor(service).recordRequest(now),
    tryAcquireRetry: (service, now) => budgetFor(service).tryAcquireRetry(now),
    tryAcquireWithReturn: (service, now) => budgetFor(service).tryAcquireWithReserve(now)
  }
}
