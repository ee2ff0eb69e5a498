import { LRUCache } from 'lru-cache'

/** A change of an engine's prefix cache, as published. */
export interface CacheEvent {
  /** Counts up by one for each event of an engine process. */
  readonly sequence: number
  readonly kind: 'stored' | 'evicted'
  /** Prefix hash. */
  readonly hash: string
}

/** Prefix hashes kept for one backend server: 1 MiB of prompts, at about 100 bytes a hash 0.4 MB of memory. */
const INDEXED_HASHES_LIMIT = 4096

/**
 * What one backend server's prefix cache is expected to hold. Events come late and some are lost; a gap in the
 * sequence may hide evictions, so it clears everything known before it.
 */
export class CacheIndex {
  readonly #hashes = new LRUCache<string, true>({ max: INDEXED_HASHES_LIMIT })
  #lastSequence: number | undefined

  /** Sequence number after which events are wanted. */
  get lastSequence (): number {
    return this.#lastSequence ?? 0
  }

  /** Applies events in order; returns whether a gap cleared the index. */
  apply (events: readonly CacheEvent[]): boolean {
    let cleared = false
    for (const event of events) {
      if (this.#lastSequence !== undefined && event.sequence <= this.#lastSequence) continue
      if (this.#lastSequence !== undefined && event.sequence > this.#lastSequence + 1) {
        this.#hashes.clear()
        cleared = true
      }
      this.#lastSequence = event.sequence
      if (event.kind === 'stored') this.#hashes.set(event.hash, true)
      else this.#hashes.delete(event.hash)
    }
    return cleared
  }

  /**
   * Applies a poll's answer. `next` is the position that it covers: beyond the last event it shows that events were lost,
   * before the last known one that the engine has restarted.
   */
  applyAnswer (events: readonly CacheEvent[], next: number): boolean {
    if (next < this.lastSequence) {
      this.reset()
      return true
    }
    const cleared = this.apply(events)
    if (next <= this.lastSequence) return cleared
    const known = this.#hashes.size > 0
    this.#hashes.clear()
    this.#lastSequence = next
    return cleared || known
  }

  /** Forgets everything, for a new process of the backend server. */
  reset (): void {
    this.#hashes.clear()
    this.#lastSequence = undefined
  }

  /** Number of leading blocks that are expected to be cached. */
  expectedHit (prefixHashes: readonly string[]): number {
    const missing = prefixHashes.findIndex((hash) => !this.#hashes.has(hash))
    return missing === -1 ? prefixHashes.length : missing
  }
}
