import type { CacheEvent } from './cacheEventLog.js'

/** Prefix cache of one engine with LRU eviction of blocks. */
export interface PrefixCache {
  /** Counts the cached leading blocks and marks them as used. */
  countCachedBlocks (hashes: readonly string[]): number
  store (hashes: readonly string[]): void
}

/** Creates an empty cache; `onChange` is called for each stored or evicted block. */
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
    countCachedBlocks: (hashes) => {
      const firstMissing = hashes.findIndex((hash) => !blocks.has(hash))
      const cachedBlocks = firstMissing === -1 ? hashes.length : firstMissing
      hashes.slice(0, cachedBlocks).forEach(touch)
      return cachedBlocks
    },
    store: (hashes) => {
      // Stores only the beginning of a prompt that exceeds the cache: later blocks are useless without it.
      for (const hash of hashes.slice(0, capacityBlocks)) {
        if (!blocks.has(hash)) onChange('stored', hash)
        touch(hash)
        while (blocks.size > capacityBlocks) evictOldest()
      }
    }
  }
}
