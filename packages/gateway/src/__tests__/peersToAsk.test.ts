import { describe, expect, it } from '@jest/globals'
import { drawPeersToAsk } from '../decisions/peersToAsk.js'

/** Numbers from 0 to 1 that are the same in each run. */
function createRandom (): () => number {
  let state = 1
  return () => {
    state = state * 48_271 % 2_147_483_647
    return state / 2_147_483_647
  }
}

const large = { name: 'large', expectedConnections: 30 }
const small = { name: 'small', expectedConnections: 10 }
const full = { name: 'full', expectedConnections: 0 }

describe('peers to ask for room', () => {
  // Guards against messages that take the processor time of instances that are busy and get few new connections.
  it('are as many as the missing connections need, each once', () => {
    const random = createRandom()
    const peers = Array.from({ length: 12 }, () => ({ ...small }))
    expect([...drawPeersToAsk(peers, 0, random)]).toEqual([])
    expect([...drawPeersToAsk(peers, -5, random)]).toEqual([])
    expect(new Set(drawPeersToAsk(peers, 25, random)).size).toBe(3)
    expect(new Set(drawPeersToAsk(peers, 1000, random)).size).toBe(12)
  })

  // Guards against several full instances that all fill the largest peer and leave the room of the others unused.
  it('are drawn in proportion to their room', () => {
    const random = createRandom()
    const first = Array.from({ length: 2000 }, () => [...drawPeersToAsk([small, large], 1, random)].map(({ name }) => name).join())
    const share = first.filter((name) => name === 'large').length / first.length
    expect(share).toBeGreaterThan(0.7)
    expect(share).toBeLessThan(0.8)
  })

  // Guards against peers that had no room once and are never asked again.
  it('are those without room too, once the others are not enough', () => {
    expect([...drawPeersToAsk([full, small], 11, createRandom())]).toHaveLength(2)
  })
})
