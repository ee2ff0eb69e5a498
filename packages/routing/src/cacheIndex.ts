import { LRUCache } from 'lru-cache'

/** A change to an engine's prefix cache, as published by the engine. */
export interface CacheEvent {
  /** Increases by one with each event of an engine process. */
  readonly sequence: number
  readonly kind: 'stored' | 'evicted'
  /** Prefix hash. */
  readonly hash: string
}

/** Limit for one backend server: covers 1 MiB of prompts and takes 0.4 MB of memory at about 100 bytes per hash. */
const MAX_INDEXED_HASHES = 4096

/**
 * Expected content of one backend server's prefix cache. Events may be delayed or lost; a gap in the sequence may hide
 * evictions, so the index is cleared at each gap.
 */
export class CacheIndex {
  readonly #hashes = new LRUCache<string, true>({ max: MAX_INDEXED_HASHES })
  #lastSequence: number | undefined

  /** Last sequence number covered, 0 for none; polls request the events after it. */
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
   * Applies the response to a poll; returns whether the index was cleared. `next` is the last sequence number that the
   * response covers: if it is above the last event, events were lost; if it is below the last known event, the engine
   * has restarted.
   */
  applyPollResponse (events: readonly CacheEvent[], next: number): boolean {
    if (next < this.lastSequence) {
      this.reset()
      return true
    }
    const cleared = this.apply(events)
    if (next <= this.lastSequence) return cleared
    const hadHashes = this.#hashes.size > 0
    this.#hashes.clear()
    this.#lastSequence = next
    return cleared || hadHashes
  }

  /** Clears the index when the backend server runs a new process. */
  reset (): void {
    this.#hashes.clear()
    this.#lastSequence = undefined
  }

  /** Number of leading prompt blocks that are expected to be cached. */
  expectedHitBlocks (prefixHashes: readonly string[]): number {
    const firstMiss = prefixHashes.findIndex((hash) => !this.#hashes.has(hash))
    return firstMiss === -1 ? prefixHashes.length : firstMiss
  }
}
