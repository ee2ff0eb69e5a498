import { describe, expect, test } from '@jest/globals'
import fc from 'fast-check'
import { CacheIndex, type CacheEvent } from '../cacheIndex.js'
import { canonicalPrompt, prefixHashes } from '../prefixHashes.js'

const HASHES = ['h1', 'h2', 'h3']
const publishedEvent = fc.record({ kind: fc.constantFrom('stored' as const, 'evicted' as const), hash: fc.constantFrom(...HASHES), lost: fc.boolean(), repeated: fc.boolean() })

/** Whether the events without a gap before the newest one show the hash as stored. */
function certainlyStored (delivered: readonly CacheEvent[], hash: string): boolean {
  let expected = delivered.at(-1)?.sequence
  for (const event of [...delivered].reverse()) {
    if (event.sequence !== expected) return false
    if (event.hash === hash) return event.kind === 'stored'
    expected--
  }
  return false
}

describe('CacheIndex', () => {
  // Guards against routing to a prefix whose eviction was lost.
  test('claims a prefix only from events without a gap since', () => {
    fc.assert(fc.property(fc.array(publishedEvent, { maxLength: 40, size: 'max' }), (published) => {
      const index = new CacheIndex()
      const delivered = published.map((event, position) => ({ ...event, sequence: position + 1 })).filter((event) => !event.lost)
      for (const event of delivered) index.applyAnswer(event.repeated ? [event, event] : [event], event.sequence)
      for (const hash of HASHES) expect(index.expectedHit([hash]) === 1).toBe(certainlyStored(delivered, hash))
    }), { numRuns: 500 })
  })

  test('an answer that covers more than its events shows a gap at once, and one that covers less a restart', () => {
    const index = new CacheIndex()
    index.applyAnswer([{ sequence: 1, kind: 'stored', hash: 'h1' }], 1)
    expect(index.expectedHit(['h1', 'h2'])).toBe(1)
    expect(index.applyAnswer([], 2)).toBe(true)
    expect(index.expectedHit(['h1'])).toBe(0)
    expect(index.lastSequence).toBe(2)
    index.applyAnswer([{ sequence: 3, kind: 'stored', hash: 'h1' }], 3)
    expect(index.applyAnswer([], 0)).toBe(true)
    expect([index.expectedHit(['h1']), index.lastSequence]).toEqual([0, 0])
  })
})

describe('prefixHashes', () => {
  // Guards against a definition that differs from the engines': equal prefixes must have equal hashes, other ones not.
  test('hashes depend on all blocks before them and on whole blocks only', () => {
    const ledger = 'x'.repeat(1000)
    const one = prefixHashes(canonicalPrompt([{ role: 'user', content: `${ledger} first question` }]))
    const two = prefixHashes(canonicalPrompt([{ role: 'user', content: `${ledger} other question` }]))
    const changed = prefixHashes(canonicalPrompt([{ role: 'system', content: ledger }]))
    expect(one).toHaveLength(4)
    expect(two.slice(0, 3)).toEqual(one.slice(0, 3))
    expect(changed[1]).not.toBe(one[1])
    expect(prefixHashes('y'.repeat(255))).toEqual([])
    // SHA-256 of 256 times "a" and of that digest followed by 256 times "a".
    expect(prefixHashes('a'.repeat(512))).toEqual(['02d7160d77e18c64', '163a28c7351a82fb'])
  })
})
