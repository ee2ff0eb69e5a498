import type { Clock } from '@quinceshunt/effects'

/** Tracks whether this instance still has contact with the platform or any peer. */
export interface IsolationMonitor {
  /** Records a call from a peer or a response from a peer or the platform. */
  recordContact (): void
  /** Whether the time without contact has reached the limit. */
  isIsolated (): boolean
}

/** Creates a monitor; its creation counts as a contact. */
export function createIsolationMonitor (clock: Clock, isolatedAfterMilliseconds: number): IsolationMonitor {
  let isolatedAt = clock.now() + isolatedAfterMilliseconds
  return {
    recordContact: () => { isolatedAt = clock.now() + isolatedAfterMilliseconds },
    isIsolated: () => clock.now() >= isolatedAt
  }
}
