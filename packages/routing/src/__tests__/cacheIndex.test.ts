import { describe, expect, test } from '@jest/globals'
import fc from 'fast-check'
import { CacheIndex, type CacheEvent } from '../cacheIndex.js'
import { canonicalPrompt, prefixHashes } from '../prefixHashes.js'

const HASHES = ['h1', 'h2', 'h3']
const publishedEvent = fc.record({ kind: fc.constantFrom('stored' as const, 'evicted' as const), hash: fc.constantFrom(...HASHES), lost: fc.boolean(), repeated: fc.boolean() })

/** Whether the contiguous events up to the newest one show the hash as stored. */
function knownToBeStored (delivered: readonly CacheEvent[], hash: string): boolean {
  let expected = delivered.at(-1)?.sequence
  for (const event of [...delivered].reverse()) {
    if (event.sequence !== expected) return false
    if (event.hash === hash) return event.kind === 'stored'
    expected--
  }
  return false
}

describe('CacheIndex', () => {
  // Guards against routing to a prefix whose eviction event was lost.
  test('reports a prefix as cached only if no gap follows its stored event', () => {
    fc.assert(fc.property(fc.array(publishedEvent, { maxLength: 40, size: 'max' }), (published) => {
      const index = new CacheIndex()
      const delivered = published.map((event, position) => ({ ...event, sequence: position + 1 })).filter((event) => !event.lost)
      for (const event of delivered) index.applyPollResponse(event.repeated ? [event, event] : [event], event.sequence)
      for (const hash of HASHES) expect(index.expectedHitBlocks([hash]) === 1).toBe(knownToBeStored(delivered, hash))
    }), { numRuns: 500 })
  })

  test('a response that covers more than its events clears the index, and one that covers less than before resets it', () => {
    const index = new CacheIndex()
    index.applyPollResponse([{ sequence: 1, kind: 'stored', hash: 'h1' }], 1)
    expect(index.expectedHitBlocks(['h1', 'h2'])).toBe(1)
    expect(index.applyPollResponse([], 2)).toBe(true)
    expect(index.expectedHitBlocks(['h1'])).toBe(0)
    expect(index.lastSequence).toBe(2)
    index.applyPollResponse([{ sequence: 3, kind: 'stored', hash: 'h1' }], 3)
    expect(index.applyPollResponse([], 0)).toBe(true)
    expect([index.expectedHitBlocks(['h1']), index.lastSequence]).toEqual([0, 0])
  })
})

describe('prefixHashes', () => {
  // Guards against hashes that differ from the engines': equal prefixes must have equal hashes, and different ones must not.
  test('hashes depend on all preceding blocks and on complete blocks only', () => {
    const ledger = 'x'.repeat(1000)
    const one = prefixHashes(canonicalPrompt([{ role: 'user', content: `${ledger} first question` }]))
    const two = prefixHashes(canonicalPrompt([{ role: 'user', content: `${ledger} other question` }]))
    const changed = prefixHashes(canonicalPrompt([{ role: 'system', content: ledger }]))
    expect(one).toHaveLength(4)
    expect(two.slice(0, 3)).toEqual(one.slice(0, 3))
    expect(changed[1]).not.toBe(one[1])
    expect(prefixHashes('y'.repeat(255))).toEqual([])
    // SHA-256 of 256 "a" characters, and of that digest followed by 256 "a" characters.
    expect(prefixHashes('a'.repeat(512))).toEqual(['02d7160d77e18c64', '163a28c7351a82fb'])
  })
})
