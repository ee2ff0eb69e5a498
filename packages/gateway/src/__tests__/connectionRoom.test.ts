import { describe, expect, it } from '@jest/globals'
import fc from 'fast-check'
import { connectionRoom, type IntervalUse } from '../decisions/connectionRoom.js'

const SMALL: IntervalUse = { processorMilliseconds: 65, availableProcessorMilliseconds: 324, linkBytes: 10_000, availableLinkBytes: 1_250_000, requests: 4, taken: 0 }

/** Use of an instance with so many requests a second, of which all but `own` come from peers. */
function useWith (requests: number, { costMilliseconds, own }: { readonly costMilliseconds: number, readonly own: number }): IntervalUse {
  return { ...SMALL, requests, taken: requests - own, processorMilliseconds: 40 + requests * costMilliseconds, linkBytes: requests * 9000 }
}

describe('room for connections of peers', () => {
  // Issue 60: the large instances of a failure domain had most of its room, and were met by chance.
  it('follows the capacity of the instance', () => {
    const large = connectionRoom({ ...SMALL, availableProcessorMilliseconds: 1350, availableLinkBytes: 25_000_000 })
    expect(large).toBeGreaterThan(5 * connectionRoom(SMALL))
  })

  // Guards against an instance that peers fill as callers did before.
  it('fills an instance up to a part of its capacity and keeps it there, whatever a request costs', () => {
    fc.assert(fc.property(fc.double({ min: 2.5, max: 12, noNaN: true }), fc.integer({ min: 1, max: 8 }), (costMilliseconds, own) => {
      let use = useWith(own, { costMilliseconds, own })
      for (let second = 0; second < 20; second++) use = useWith(own + connectionRoom(use), { costMilliseconds, own })
      expect(use.processorMilliseconds).toBeLessThan(SMALL.availableProcessorMilliseconds * 0.75)
    }))
  })

  it('is none at an instance whose processor or link is in use, and stays finite without one of the capacities', () => {
    expect(connectionRoom({ ...SMALL, processorMilliseconds: 300, requests: 40 })).toBe(0)
    expect(connectionRoom({ ...SMALL, linkBytes: 700_000, requests: 40 })).toBe(0)
    expect(connectionRoom({ ...SMALL, availableLinkBytes: Infinity })).toBeLessThan(100)
  })
})
