import { describe, expect, test } from '@jest/globals'
import fc from 'fast-check'
import { createSharedLimit, type Holding, type SharedLimit } from '../sharedLimit.js'

const MAXIMUM = 1200

/** Opens holdings of one byte each until the holder is refused; returns the holder's bytes. */
function fill (limit: SharedLimit, holder: string): number {
  while (limit.open(holder).tryAdd(1));
  return limit.bytesOf(holder)
}

describe('a shared limit', () => {
  // Guards against a holder whose flood leaves nothing to the others.
  test('gives one holder alone half of it, and the next one half of what is left', () => {
    const limit = createSharedLimit(MAXIMUM)
    expect(fill(limit, 'first')).toBe(MAXIMUM / 2)
    expect(fill(limit, 'second')).toBe(MAXIMUM / 4)
    expect(limit.heldBytes).toBe(MAXIMUM * 3 / 4)
  })

  // Guards against bytes that stay counted, or are counted back twice, when a request ends in two ways at once.
  test('takes all bytes of a holding back once', () => {
    const limit = createSharedLimit(MAXIMUM)
    const other = limit.open('first')
    const holding = limit.open('first')
    other.tryAdd(100)
    holding.tryAdd(200)
    holding.release()
    holding.release()
    expect(holding.tryAdd(1)).toBe(false)
    expect(limit.bytesOf('first')).toBe(100)
    expect(limit.heldBytes).toBe(100)
  })

  // Guards against a refusal that counts the refused bytes.
  test('adds nothing of what it refuses', () => {
    const limit = createSharedLimit(MAXIMUM)
    const holding = limit.open('first')
    expect(holding.tryAdd(MAXIMUM)).toBe(false)
    expect(limit.heldBytes).toBe(0)
    expect(holding.tryAdd(MAXIMUM / 2)).toBe(true)
  })

  // Guards against a sum that drifts from the holdings, so that the process refuses all requests or none.
  test('holds the sum of its holdings, never more than the maximum, and leaves each holder as much as it has', () => {
    fc.assert(fc.property(fc.array(fc.record({ holder: fc.constantFrom('a', 'b', 'c'), index: fc.nat(5), bytes: fc.integer({ min: 0, max: 500 }), releases: fc.boolean() }), { maxLength: 60 }), (steps) => {
      const limit = createSharedLimit(MAXIMUM)
      const holdings = new Map<string, Holding>()
      for (const { holder, index, bytes, releases } of steps) {
        const key = `${holder}${index}`
        const holding = holdings.get(key) ?? limit.open(holder)
        holdings.set(key, holding)
        if (releases) {
          holding.release()
          holdings.delete(key)
        } else if (holding.tryAdd(bytes)) expect(limit.bytesOf(holder)).toBeLessThanOrEqual(MAXIMUM - limit.heldBytes)
        expect(limit.heldBytes).toBe([...holdings.values()].reduce((sum, { bytes }) => sum + bytes, 0))
      }
    }), { seed: 34 })
  })
})
