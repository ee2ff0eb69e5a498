import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'

/** Change of an engine's prefix cache. */
export interface CacheEvent {
  readonly sequence: number
  readonly kind: 'stored' | 'evicted'
  readonly hash: string
}

/** Response to a poll. */
export interface CacheEventPage {
  readonly events: readonly CacheEvent[]
  /** Largest sequence number that this page covers, lost events included; pass it as `after` next time. */
  readonly next: number
}

/** Cache events that one engine publishes, with a delay and with random losses. */
export interface CacheEventLog {
  append (kind: CacheEvent['kind'], hash: string, now: number): void
  read (after: number, now: number): CacheEventPage
}

/** Readers that fall further behind miss older events as if these were lost. */
const RETAINED_LOG_EVENTS = 20_000
const MAX_PAGE_EVENTS = 2000

/** Creates an empty log. `loss` is the probability, 0 to 1, that an event is lost. */
export function createCacheEventLog (lagMilliseconds: number, loss: number, seed: number): CacheEventLog {
  const random = xoroshiro128plus(seed)
  const log: (CacheEvent & { readonly visibleAt: number, readonly lost: boolean })[] = []
  let lastSequence = 0

  return {
    append: (kind, hash, now) => {
      lastSequence++
      log.push({ sequence: lastSequence, kind, hash, visibleAt: now + lagMilliseconds, lost: uniformFloat64(random) < loss })
      if (log.length > 2 * RETAINED_LOG_EVENTS) log.splice(0, log.length - RETAINED_LOG_EVENTS)
    },
    read: (after, now) => {
      const firstSequence = lastSequence - log.length + 1
      const start = Math.max(0, after + 1 - firstSequence)
      const page = log.slice(start, start + MAX_PAGE_EVENTS).filter((event) => event.visibleAt <= now)
      const next = page.at(-1)?.sequence ?? Math.min(after, lastSequence)
      const events = page.filter((event) => !event.lost).map(({ sequence, kind, hash }) => ({ sequence, kind, hash }))
      return { events, next }
    }
  }
}
