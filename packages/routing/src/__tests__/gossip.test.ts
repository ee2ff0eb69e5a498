import { describe, expect, test } from '@jest/globals'
import type { BackendServerMark, PeerIdentity } from '@quinceshunt/schemas'
import fc from 'fast-check'
import { GOSSIP_FANOUT, marksToSend, OLD_MARKS_PER_MESSAGE, PEER_EXPIRY_MS, PeerTable, pickRandom, type LearnedMark } from '../gossip.js'

const INSTANCES = 9
const ROUND_MS = 500
/** New work must stop 3 s after a backend server starts to leave; polling its report takes the first 0.5 s. */
const MAX_SPREAD_ROUNDS = (3000 - 500) / ROUND_MS

interface Instance {
  readonly marks: Map<string, LearnedMark>
  messageCount: number
}

/** Nine instances that all know each other's addresses, as if from the instance list. */
function buildFleet (seed: number) {
  let state = seed
  const random = (): number => (state = (state * 1_103_515_245 + 12_345) % 2_147_483_648) / 2_147_483_648
  const instances: Instance[] = Array.from({ length: INSTANCES }, () => ({ marks: new Map(), messageCount: 0 }))
  let now = 0
  function learn (instance: Instance, id: string, markedAt = now): void {
    if (instance.marks.has(id)) return
    const mark = { backendServer: id, markedAt: BigInt(markedAt) } as BackendServerMark
    instance.marks.set(id, { mark, learnedAt: now })
  }
  function send (from: Instance, to: Instance): void {
    for (const mark of marksToSend([...from.marks.values()], now, from.messageCount++)) learn(to, mark.backendServer, Number(mark.markedAt))
  }
  function round (reachable: (left: number, right: number) => boolean): void {
    now += ROUND_MS
    instances.forEach((instance, index) => {
      for (const peer of pickRandom([...instances.keys()].filter((other) => other !== index), GOSSIP_FANOUT, random)) {
        if (!reachable(index, peer)) continue
        send(instance, instances[peer]!)
        send(instances[peer]!, instance)
      }
    })
  }
  const informedCount = (id: string): number => instances.filter((instance) => instance.marks.has(id)).length
  return { instances, learn, round, informedCount }
}

describe('gossip of leaving marks', () => {
  test('a mark reaches 9 instances within the allowed rounds', () => {
    fc.assert(fc.property(fc.nat(2_000_000_000), (seed) => {
      const fleet = buildFleet(seed)
      fleet.learn(fleet.instances[0]!, 'engine-1')
      for (let count = 0; count < MAX_SPREAD_ROUNDS; count++) fleet.round(() => true)
      expect(fleet.informedCount('engine-1')).toBe(INSTANCES)
    }), { numRuns: 500 })
  })

  // Guards against marks that are sent only while fresh and therefore never cross a long partition.
  test('marks made during a long partition reach the other side after it heals', () => {
    fc.assert(fc.property(fc.nat(2_000_000_000), fc.integer({ min: 1, max: 8 }), fc.integer({ min: 1, max: 20 }), (seed, split, markCount) => {
      const fleet = buildFleet(seed)
      for (let mark = 0; mark < markCount; mark++) fleet.learn(fleet.instances[0]!, `engine-${mark}`)
      for (let count = 0; count < 120; count++) fleet.round((left, right) => (left < split) === (right < split))
      expect(fleet.informedCount('engine-0')).toBe(split)
      // Older marks are sent in rotation: all have been sent after this many messages, and each round sends at least two.
      const rotation = Math.ceil(markCount / OLD_MARKS_PER_MESSAGE)
      for (let count = 0; count < MAX_SPREAD_ROUNDS + rotation; count++) fleet.round(() => true)
      for (let mark = 0; mark < markCount; mark++) expect(fleet.informedCount(`engine-${mark}`)).toBe(INSTANCES)
    }), { numRuns: 200 })
  })
})

describe('PeerTable', () => {
  const identity = (instanceId: string, overrides: Partial<PeerIdentity> = {}): PeerIdentity => ({ instanceId, incarnation: 'p1', leaving: false, address: '', ...overrides } as PeerIdentity)

  // Guards against two instances keeping a stopped third one listed by gossiping about it to each other.
  test('a peer without contact to any instance is removed everywhere', () => {
    const tables = [new PeerTable('one'), new PeerTable('two')] as const
    tables[0].recordContact(identity('stopped'), 0)
    for (let now = 0; now <= 2 * PEER_EXPIRY_MS; now += 500) {
      tables[0].recordMentions(tables[1].peersToSend(now, () => 0), now)
      tables[1].recordMentions(tables[0].peersToSend(now, () => 0), now)
      if (now === PEER_EXPIRY_MS / 2) expect(tables[1].knownPeers(now)).toHaveLength(1)
    }
    expect(tables.flatMap((table) => table.knownPeers(2 * PEER_EXPIRY_MS))).toEqual([])
  })

  test('a leaving process stays leaving regardless of what peers report, until it is replaced', () => {
    const table = new PeerTable('one')
    table.recordContact(identity('two', { leaving: true }), 0)
    table.recordMentions([identity('two')], 1)
    expect(table.knownPeers(1)[0]?.leaving).toBe(true)
    table.recordContact(identity('two', { incarnation: 'p2' }), 2)
    expect(table.knownPeers(2)[0]?.leaving).toBe(false)
  })
})
