import { describe, expect, it } from '@jest/globals'
import { choosePeerWithRoom, nextForwardedShare } from '../decisions/forwardedShare.js'

const IDLE = { processor: 0.2, eventLoopDelayMilliseconds: 0 }
const FULL = { processor: 0.95, eventLoopDelayMilliseconds: 0 }
const STEADY = { processor: 0.6, eventLoopDelayMilliseconds: 0 }

describe('share of new connections that are forwarded', () => {
  // Issue 60: an instance that the load balancer had just selected filled up for three seconds before it did anything about it.
  it('is all of them within two intervals of an instance that is full, or behind with its events', () => {
    for (const load of [FULL, { ...IDLE, eventLoopDelayMilliseconds: 200 }]) expect(nextForwardedShare(nextForwardedShare(0, load), load)).toBe(1)
  })

  // Guards against callers that are sent to and fro between serving and forwarding, which costs less and so makes the load fall.
  it('stays while the load is between the limits, and falls slowly below them', () => {
    expect(nextForwardedShare(1, STEADY)).toBe(1)
    expect(nextForwardedShare(0, STEADY)).toBe(0)
    expect(nextForwardedShare(1, IDLE)).toBeGreaterThan(0.8)
    expect(nextForwardedShare(0.05, IDLE)).toBe(0)
  })
})

describe('selection of a peer with room', () => {
  const rooms = [{ connections: 0 }, { connections: 30 }, { connections: 10 }]

  // Issue 60: callers that share a hash were moved together, to one instance that they filled as well.
  it('spreads connections in proportion to the room, and never selects a peer without', () => {
    const counts = [0, 0, 0]
    for (let step = 0; step < 400; step++) {
      const chosen = choosePeerWithRoom(rooms, step / 400)
      counts[chosen === undefined ? 0 : rooms.indexOf(chosen)]!++
    }
    expect(counts[0]).toBe(0)
    expect(counts[1]! / counts[2]!).toBeCloseTo(3, 1)
  })

  it('is none when no peer has room', () => {
    expect(choosePeerWithRoom([], 0.5)).toBeUndefined()
    expect(choosePeerWithRoom([{ connections: 0 }], 0)).toBeUndefined()
  })
})
