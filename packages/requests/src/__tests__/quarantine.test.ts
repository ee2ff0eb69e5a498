import { describe, expect, test } from '@jest/globals'
import { SuspectState, type SuspectRecord } from '@quinceshunt/schemas'
import fc from 'fast-check'
import { CrashingFleet, UNRELATED, POISON } from '../__fixtures__/crashingFleet.js'
import type { Fate } from '../__fixtures__/simulation.js'

const INSTANCES = ['one', 'two', 'three'] as const
/** Never dies, so that somebody is left who resends. */
const SURVIVOR = 'one'
const SETTLE_ROUNDS = 16
const small = fc.nat({ max: 8 })

type Event =
  | { readonly kind: 'send', readonly instance: string, readonly fingerprint: string, readonly server: number }
  | { readonly kind: 'step', readonly pick: number, readonly fate: Fate }
  | { readonly kind: 'crash' | 'finish' | 'poll' | 'die' | 'landLate' | 'pass', readonly instance: string, readonly server: number, readonly pick: number }

const events: fc.Arbitrary<Event> = fc.oneof(
  { weight: 6, arbitrary: fc.record({ kind: fc.constant('send' as const), instance: fc.constantFrom(...INSTANCES), fingerprint: fc.constantFrom(POISON, POISON, ...UNRELATED), server: small }) },
  { weight: 16, arbitrary: fc.record({ kind: fc.constant('step' as const), pick: small, fate: fc.constantFrom<Fate>('answered', 'answered', 'answered', 'answered', 'replyLost', 'late', 'refused') }) },
  { weight: 8, arbitrary: fc.record({ kind: fc.constantFrom('crash' as const, 'crash' as const, 'finish' as const, 'poll' as const, 'landLate' as const, 'pass' as const, 'pass' as const), instance: fc.constantFrom(...INSTANCES), server: small, pick: small }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('die' as const), instance: fc.constantFrom('two', 'three'), server: small, pick: small }) }
)
const schedules = fc.array(events, { minLength: 20, maxLength: 200, size: 'max' })

function play (schedule: readonly Event[]): CrashingFleet {
  const fleet = new CrashingFleet(INSTANCES)
  for (const event of schedule) {
    switch (event.kind) {
      case 'send': fleet.send(event.instance, event.fingerprint, event.server); break
      case 'step': fleet.simulation.step(event.pick, event.fate); break
      case 'crash': fleet.crash(event.server); break
      case 'finish': fleet.finishUnrelated(event.server, event.pick); break
      case 'poll': fleet.poll(event.instance); break
      case 'die': fleet.die(event.instance); break
      case 'landLate': fleet.simulation.landLate(event.pick); break
      case 'pass': fleet.simulation.now += 700; break
    }
  }
  return fleet
}

/**
 * Each crashed in its trial while an older copy of the other ran beside it: the evidence is the same for both, so both wait
 * for the time after which one more trial decides.
 */
function holdEachOther (first: SuspectRecord | undefined, second: SuspectRecord | undefined): boolean {
  if (first?.state !== SuspectState.SUSPECT || second?.state !== SuspectState.SUSPECT) return false
  return first.neighbours.includes(second.fingerprint) && second.neighbours.includes(first.fingerprint)
}

describe('quarantine under arbitrary interleavings', () => {
  // Guards against a poison request that takes down one backend server after another.
  test('a poison request crashes at most 2 backend servers beyond the copies running at its first crash', () => {
    fc.assert(fc.property(schedules, (schedule) => {
      const fleet = play(schedule)
      fleet.settle(SURVIVOR, SETTLE_ROUNDS)
      expect(fleet.crashes).toBeLessThanOrEqual(2 + fleet.copiesAtFirstCrash)
      expect(fleet.faults).toEqual([])
    }), { numRuns: 600 })
  })

  // Guards against unrelated requests that stay refused because they ran beside the poison, and against a poison that stays admitted.
  test('in the end the poison is quarantined and unrelated requests that ran beside it are cleared', () => {
    fc.assert(fc.property(schedules, (schedule) => {
      const fleet = play(schedule)
      const records = fleet.settle(SURVIVOR, SETTLE_ROUNDS)
      const held = UNRELATED.filter((unrelated) => holdEachOther(records.get(POISON), records.get(unrelated)))
      if (held.length === 0) expect(records.get(POISON)?.state).toBe(SuspectState.QUARANTINED)
      if (fleet.evidenceLost) return
      for (const unrelated of UNRELATED) {
        if (!held.includes(unrelated)) expect([undefined, SuspectState.CLEARED]).toContain(records.get(unrelated)?.state)
      }
    }), { numRuns: 600 })
  })
})
