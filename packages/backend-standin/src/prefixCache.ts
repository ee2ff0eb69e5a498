import type { CacheEvent } from './cacheEventLog.js'

/** Prefix cache of one engine: the least recently used blocks are evicted first. */
export interface PrefixCache {
  /** Number of leading blocks that are cached; marks them as used. */
  countCovered (hashes: readonly string[]): number
  store (hashes: readonly string[]): void
}

/** Creates an empty cache of a number of blocks. */
export function createPrefixCache (capacityBlocks: number, onChange: (kind: CacheEvent['kind'], hash: string) => void): PrefixCache {
  const blocks = new Set<string>()

  function touch (hash: string): void {
    blocks.delete(hash)
    blocks.add(hash)
  }

  function evictOldest (): void {
    const [oldest] = blocks
    if (oldest === undefined) return
    blocks.delete(oldest)
    onChange('evicted', oldest)
  }

  return {
    countCovered: (hashes) => {
      const firstMissing = hashes.findIndex((hash) => !blocks.has(hash))
      const covered = firstMissing === -1 ? hashes.length : firstMissing
      hashes.slice(0, covered).forEach(touch)
      return covered
    },
    store: (hashes) => {
      // A prompt longer than the cache keeps its beginning: later blocks are of no use without it.
      for (const hash of hashes.slice(0, capacityBlocks)) {
        if (!blocks.has(hash)) onChange('stored', hash)
        touch(hash)
        while (blocks.size > capacityBlocks) evictOldest()
      }
    }
  }
}
