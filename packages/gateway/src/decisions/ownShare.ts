import { hashPair } from './backendChoice.js'

/**
 * Issues an instance its even share of a cold backend server's limit while it reaches no home of that backend server.
 *
 * Expected load: up to all instances are cut off at the same moment and have requests all the time. Each may send at its own
 * time of a common interval only, so that no burst of requests reaches the backend server, however long they were idle before.
 */

/** A permit that is not used within this time of its interval lapses; with unused ones kept, all instances could use theirs at once. */
const USABLE_MS = 250
/** The backend servers that were asked for least recently are evicted first. */
const MAX_BACKEND_PROCESSES = 2000

/** What an instance may issue itself. */
export interface OwnShare {
  readonly requestsPerSecond: number
  readonly instances: number
  /** Part of the interval between two permits that passes before each, in [0, 1). */
  readonly position: number
}

/** Outcome of asking for a permit; times are those of the clock that all instances share. */
export type OwnPermit =
  | { readonly kind: 'granted' }
  | { readonly kind: 'denied', readonly freeAt: number }

/** Issues permits of this instance's own share. */
export interface OwnShareIssuer {
  ask (backendProcess: string, share: OwnShare, now: number): OwnPermit
}

/** Returns the position of an instance among all of them for one backend server; the order is random, and all instances agree on it. */
export function positionOf (instanceId: string, instanceIds: readonly string[], backendId: string): number {
  const own = hashPair(backendId, instanceId)
  return instanceIds.filter((other) => hashPair(backendId, other) < own).length / Math.max(1, instanceIds.length)
}

/** Creates an issuer that has issued nothing. */
export function createOwnShareIssuer (): OwnShareIssuer {
  /** Start of the interval in which the last permit was issued. */
  const usedAt = new Map<string, number>()
  return {
    ask: (backendProcess, { requestsPerSecond, instances, position }, now) => {
      const interval = instances * 1000 / requestsPerSecond
      const begin = Math.floor(now / interval - position) * interval + position * interval
      const isUsable = now - begin < Math.min(USABLE_MS, interval) && (usedAt.get(backendProcess) ?? -Infinity) < begin - interval / 2
      if (!isUsable) return { kind: 'denied', freeAt: begin + interval }
      usedAt.delete(backendProcess)
      usedAt.set(backendProcess, begin)
      const oldest = usedAt.size > MAX_BACKEND_PROCESSES ? usedAt.keys().next().value : undefined
      if (oldest !== undefined) usedAt.delete(oldest)
      return { kind: 'granted' }
    }
  }
}
