import { createRetryBudget, type RetryBudget } from '@quinceshunt/requests'

/** Part of the fleet's budget that is used, so that the instances together stay below it. */
const BUDGET_UTILIZATION = 0.6

/** Limits of repeated sends over the whole fleet. */
export interface RetryLimits {
  /** Repeated sends for each request. */
  readonly ratio: number
  /** Repeated sends beyond the ratio in one window. */
  readonly slack: number
  readonly windowMilliseconds: number
}

/** This instance's shares of the fleet's retry budgets, one for each service. */
export interface RetryShares {
  recordRequest (service: string, now: number): void
  takeRetry (service: string, now: number): boolean
}

/**
 * Splits each service's budget evenly over the instances: a share's bucket refills in one window, so that no window sees
 * more than twice its capacity, and the used share keeps that within the fleet's slack.
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
      idleRetriesPerSecond: capacity / (limits.windowMilliseconds / 1000)
    })
    shares.set(service, { instances: count, budget })
    return budget
  }

  return {
    recordRequest: (service, now) => budgetFor(service).recordRequest(now),
    takeRetry: (service, now) => budgetFor(service).tryAcquireRetry(now)
  }
}
