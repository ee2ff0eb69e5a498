import { describe, expect, test } from '@jest/globals'
import { SuspectState, type SuspectRecord } from '@quinceshunt/schemas'
import fc from 'fast-check'
import { CrashingFleet, UNRELATED, POISON } from '../__fixtures__/crashingFleet.js'
import type { CallOutcome } from '../__fixtures__/simulation.js'

const INSTANCES = ['one', 'two', 'three'] as const
/** Never killed, so that one instance remains to resend requests. */
const SURVIVOR = 'one'
const RESEND_ROUNDS = 16
const smallIndex = fc.nat({ max: 8 })

type Event =
  | { readonly kind: 'send', readonly instance: string, readonly fingerprint: string, readonly server: number }
  | { readonly kind: 'step', readonly pick: number, readonly outcome: CallOutcome }
  | { readonly kind: 'crash' | 'finish' | 'poll' | 'killInstance' | 'applyDelayedWrite' | 'advanceTime', readonly instance: string, readonly server: number, readonly pick: number }

const events: fc.Arbitrary<Event> = fc.oneof(
  { weight: 6, arbitrary: fc.record({ kind: fc.constant('send' as const), instance: fc.constantFrom(...INSTANCES), fingerprint: fc.constantFrom(POISON, POISON, ...UNRELATED), server: smallIndex }) },
  { weight: 16, arbitrary: fc.record({ kind: fc.constant('step' as const), pick: smallIndex, outcome: fc.constantFrom<CallOutcome>('answered', 'answered', 'answered', 'answered', 'replyLost', 'late', 'refused') }) },
  { weight: 8, arbitrary: fc.record({ kind: fc.constantFrom('crash' as const, 'crash' as const, 'finish' as const, 'poll' as const, 'applyDelayedWrite' as const, 'advanceTime' as const, 'advanceTime' as const), instance: fc.constantFrom(...INSTANCES), server: smallIndex, pick: smallIndex }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('killInstance' as const), instance: fc.constantFrom('two', 'three'), server: smallIndex, pick: smallIndex }) }
)
const schedules = fc.array(events, { minLength: 20, maxLength: 200, size: 'max' })

function runSchedule (schedule: readonly Event[]): CrashingFleet {
  const fleet = new CrashingFleet(INSTANCES)
  for (const event of schedule) {
    switch (event.kind) {
      case 'send': fleet.send(event.instance, event.fingerprint, event.server); break
      case 'step': fleet.simulation.step(event.pick, event.outcome); break
      case 'crash': fleet.crash(event.server); break
      case 'finish': fleet.finishUnrelated(event.server, event.pick); break
      case 'poll': fleet.poll(event.instance); break
      case 'killInstance': fleet.killInstance(event.instance); break
      case 'applyDelayedWrite': fleet.simulation.applyDelayedWrite(event.pick); break
      case 'advanceTime': fleet.simulation.now += 700; break
    }
  }
  return fleet
}

/**
 * Each crashed in its trial while an earlier copy of the other ran on the same backend server. The evidence against both is
 * equal, so both stay held until the maximum hold time, after which another trial decides.
 */
function areMutuallyHeld (first: SuspectRecord | undefined, second: SuspectRecord | undefined): boolean {
  if (first?.state !== SuspectState.SUSPECT || second?.state !== SuspectState.SUSPECT) return false
  return first.neighbours.includes(second.fingerprint) && second.neighbours.includes(first.fingerprint)
}

const seeds: readonly (readonly [string, number])[] = [
  ['the seed of two trials on one backend server', -952565118],
  ['the seed of a trial that was decided before its neighbour was reported', -1789518842],
  ['the seed of a refused report that equals the one of another instance', 1092616988],
  ['a second seed of equal reports', 1117654066],
  ['the seed of a crash in the millisecond in which a trial started', 1092833080],
  ['a new seed', Date.now()]
]

describe('quarantine under arbitrary interleavings', () => {
  // Guards against a poison request that crashes one backend server after another.
  test.each(seeds)('a poison request crashes at most 2 backend servers beyond the copies running at its first crash, %s', (_name, seed) => {
    fc.assert(fc.property(schedules, (schedule) => {
      const fleet = runSchedule(schedule)
      fleet.resendUntilDecided(SURVIVOR, RESEND_ROUNDS)
      expect(fleet.crashes).toBeLessThanOrEqual(2 + fleet.copiesAtFirstCrash)
      expect(fleet.violations).toEqual([])
    }), { numRuns: 600, seed })
  })

  // Guards against unrelated requests that stay refused because they ran together with the poison, and against a poison that stays admitted.
  test.each(seeds)('in the end the poison is quarantined and unrelated requests that ran beside it are cleared, %s', (_name, seed) => {
    fc.assert(fc.property(schedules, (schedule) => {
      const fleet = runSchedule(schedule)
      const records = fleet.resendUntilDecided(SURVIVOR, RESEND_ROUNDS)
      const held = UNRELATED.filter((unrelated) => areMutuallyHeld(records.get(POISON), records.get(unrelated)))
      if (held.length === 0) expect(records.get(POISON)?.state).toBe(SuspectState.QUARANTINED)
      if (fleet.evidenceLost) return
      for (const unrelated of UNRELATED) {
        if (!held.includes(unrelated)) expect([undefined, SuspectState.CLEARED]).toContain(records.get(unrelated)?.state)
      }
    }), { numRuns: 600, seed })
  })
})
