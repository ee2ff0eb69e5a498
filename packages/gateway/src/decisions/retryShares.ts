import { createRetryBudget, type ReservedRetry, type RetryBudget, type RetryBudgetLimits } from '@quinceshunt/requests'

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
  /** Acquires a second send before anything has failed; what has accumulated stays for failures. */
  tryAcquireSecondSend (service: string, now: number): boolean
  /** Also reserves a retry with which the request may return to its backend server. */
  tryAcquireWithReturn (service: string, now: number): ReservedRetry | undefined
}

/**
 * Splits each service's retry budget evenly over the instances. A share's token bucket refills in one window, so at most
 * twice its capacity and its overdraft are used within any window; the utilizations keep that within the fleet's slack.
 *
 * A share starts empty at `startedAt`, and without its overdraft for one window: the process before may have used both. It is kept
 * when the number of instances changes, as each instance that leaves and returns changes it twice.
 */
export function createRetryShares (limits: RetryLimits, instances: () => number, startedAt: number): RetryShares {
  const shares = new Map<string, { readonly budget: RetryBudget, limitsKey: string }>()
  const overdraftFrom = startedAt + limits.windowMilliseconds

  function shareLimits (count: number, hasOverdraft: boolean): RetryBudgetLimits {
    const capacity = Math.max(1, limits.slack * BUDGET_UTILIZATION / 2 / count)
    return {
      capacity,
      overdraft: hasOverdraft ? Math.max(1, limits.slack * RETURN_UTILIZATION / count) : 0,
      idleRetriesPerSecond: capacity / (limits.windowMilliseconds / 1000)
    }
  }

  function budgetFor (service: string, now: number): RetryBudget {
    const count = instances()
    const hasOverdraft = now >= overdraftFrom
    const limitsKey = `${count} ${hasOverdraft}`
    const found = shares.get(service)
    if (found === undefined) {
      const budget = createRetryBudget({ retriesPerRequest: limits.ratio * BUDGET_UTILIZATION, emptyAt: startedAt, ...shareLimits(count, hasOverdraft) })
      shares.set(service, { budget, limitsKey })
      return budget
    }
    if (found.limitsKey !== limitsKey) found.budget.changeLimits(shareLimits(count, hasOverdraft), now)
    found.limitsKey = limitsKey
    return found.budget
  }

  return {
    recordRequest: (service, now) => budgetFor(service, now).recordRequest(now),
    tryAcquireRetry: (service, now) => budgetFor(service, now).tryAcquireRetry(now),
    tryAcquireSecondSend: (service, now) => budgetFor(service, now).tryAcquireOnCredit(now),
    tryAcquireWithReturn: (service, now) => budgetFor(service, now).tryAcquireWithReserve(now)
  }
}
