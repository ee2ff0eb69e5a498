import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'

/** Change of an engine's prefix cache. */
export interface CacheEvent {
  readonly sequence: number
  readonly kind: 'stored' | 'evicted'
  readonly hash: string
}

/** Answer to a poll. */
export interface CacheEventPage {
  readonly events: readonly CacheEvent[]
  /** Largest sequence number that this page covers, lost events included; pass it as `after` next time. */
  readonly next: number
}

/** Published events of one engine: late, and some of them lost. */
export interface CacheEventLog {
  append (kind: CacheEvent['kind'], hash: string, now: number): void
  read (after: number, now: number): CacheEventPage
}

/** Events kept for late readers; older ones are missing as if they were lost. */
const LARGEST_LOG_EVENTS = 20_000
const LARGEST_PAGE_EVENTS = 2000

/** Creates an empty log. `loss` is the share of events lost, 0 to 1. */
export function createCacheEventLog (lagMilliseconds: number, loss: number, seed: number): CacheEventLog {
  const random = xoroshiro128plus(seed)
  const log: (CacheEvent & { readonly visibleAt: number, readonly lost: boolean })[] = []
  let lastSequence = 0

  return {
    append: (kind, hash, now) => {
      lastSequence++
      log.push({ sequence: lastSequence, kind, hash, visibleAt: now + lagMilliseconds, lost: uniformFloat64(random) < loss })
      if (log.length > 2 * LARGEST_LOG_EVENTS) log.splice(0, log.length - LARGEST_LOG_EVENTS)
    },
    read: (after, now) => {
      const firstSequence = lastSequence - log.length + 1
      const start = Math.max(0, after + 1 - firstSequence)
      const page = log.slice(start, start + LARGEST_PAGE_EVENTS).filter((event) => event.visibleAt <= now)
      const next = page.at(-1)?.sequence ?? Math.min(after, lastSequence)
      const events = page.filter((event) => !event.lost).map(({ sequence, kind, hash }) => ({ sequence, kind, hash }))
      return { events, next }
    }
  }
}
