/**
 * Plans a graceful stop: until when requests are taken, and when those that are left are abandoned.
 *
 * Pattern: the load balancer sends new callers for two seconds after SIGTERM, callers keep their connections, and the process is
 * killed some seconds later, whatever is in progress.
 */

/** Requests that come later than this after SIGTERM are refused, as they may not be finished when the process exits. */
const TAKE_AFTER_STOP_MS = 3000
/** Requests are abandoned this long before the end at most; callers have no claim to the last sixth of the stop time. */
const MAX_ABANDON_MARGIN_MS = 1000
const ABANDON_MARGIN_SHARE = 1 / 8
/** Nearly all requests end within this time; those that may take longer are not refused for it. */
const AMPLE_TIME_MS = 3000

/** Times of a stop, by `steadyNow`. */
export interface StopPlan {
  /** When the process is killed. */
  readonly killedAt: number
  /** When requests that are still in progress are abandoned, so that tokens can be returned. */
  readonly abandonedAt: number
  readonly takenUntil: number
}

/** Plans a stop that begins now. */
export function planStop (now: number, stopMilliseconds: number): StopPlan {
  const killedAt = now + stopMilliseconds
  return { killedAt, abandonedAt: killedAt - Math.min(MAX_ABANDON_MARGIN_MS, stopMilliseconds * ABANDON_MARGIN_SHARE), takenUntil: now + TAKE_AFTER_STOP_MS }
}

/** Returns true when a request that came whole is taken: it ends by its deadline, or very probably, before it would be abandoned. */
export function mayTake ({ abandonedAt, takenUntil }: StopPlan, deadline: number, now: number): boolean {
  return now < takenUntil && abandonedAt - now >= Math.min(deadline - now, AMPLE_TIME_MS)
}
