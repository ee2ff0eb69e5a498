import type { Clock } from '@quinceshunt/effects'

/** Watches whether this instance still hears from the platform or from any peer. */
export interface IsolationMonitor {
  /** Something answered or called. */
  heard (): void
  /** True when nothing has been heard for longer than allowed. */
  isIsolated (): boolean
}

/** Creates a monitor that starts as not isolated. */
export function createIsolationMonitor (clock: Clock, isolatedAfterMilliseconds: number): IsolationMonitor {
  let isolatedAt = clock.now() + isolatedAfterMilliseconds
  return {
    heard: () => { isolatedAt = clock.now() + isolatedAfterMilliseconds },
    isIsolated: () => clock.now() >= isolatedAt
  }
}
