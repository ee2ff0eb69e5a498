import { describe, expect, test } from '@jest/globals'
import type { Row, RowWrite } from '@quinceshunt/table-store'
import { ClaimState } from '@quinceshunt/schemas'
import fc from 'fast-check'
import { Simulation, type CallOutcome } from '../__fixtures__/simulation.js'
import { acquireClaim, type AcquireResult } from '../acquireClaim.js'
import { decodeClaim, MAX_INLINE_ANSWER_BYTES, type ClaimIdentity } from '../claimRecords.js'
import { completeClaim, markClaimUnknown, withdrawClaim } from '../finishClaim.js'
import { claimKey } from '../requestIdentity.js'

const INSTANCES = 3
const MAX_COMMANDS = 5000

/** A request that arrives at an instance, and the result of its dispatch. */
interface Attempt {
  readonly instance: number
  readonly account: string
  readonly body: string
  readonly timeoutMilliseconds: number
  readonly dispatch: 'notSent' | 'answered' | 'longAnswer' | 'broken'
}

type Event = { readonly kind: 'arrive', readonly attempt: Attempt } | { readonly kind: 'step', readonly pick: number, readonly outcome: CallOutcome } | { readonly kind: 'applyDelayedWrite', readonly pick: number }

const arrivals = fc.record({
  kind: fc.constant('arrive' as const),
  attempt: fc.record({
    instance: fc.nat({ max: INSTANCES - 1 }),
    account: fc.constantFrom('escuela', 'parroquia'),
    body: fc.oneof({ weight: 4, arbitrary: fc.constant('deposit 40') }, { weight: 1, arbitrary: fc.constant('deposit 50') }),
    timeoutMilliseconds: fc.constantFrom(200, 2000, 20_000),
    dispatch: fc.constantFrom('notSent' as const, 'answered' as const, 'longAnswer' as const, 'broken' as const)
  })
})
const callOutcomes = fc.oneof(
  { weight: 12, arbitrary: fc.constant<CallOutcome>('answered') },
  { weight: 6, arbitrary: fc.constantFrom<CallOutcome>('replyLost', 'late', 'refused') },
  { weight: 1, arbitrary: fc.constant<CallOutcome>('dies') }
)
const events: fc.Arbitrary<Event> = fc.oneof(
  { weight: 2, arbitrary: arrivals },
  { weight: 12, arbitrary: fc.record({ kind: fc.constant('step' as const), pick: fc.nat({ max: 20 }), outcome: callOutcomes }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('applyDelayedWrite' as const), pick: fc.nat({ max: 20 }) }) }
)

/** Runs a schedule and records the dispatches and the results of the claims. */
class ScheduleRun {
  readonly dispatches: ClaimIdentity[] = []
  readonly results: Array<{ readonly claim: ClaimIdentity, readonly account: string, readonly result: AcquireResult }> = []
  readonly firstBodyHashes = new Map<string, string>()
  readonly simulation = new Simulation((before, write) => this.#checkTransition(before, write))
  #arrived = 0

  arrive (attempt: Attempt): void {
    const instance = `instance-${attempt.instance}`
    if (this.simulation.dead.has(instance)) return
    const claim: ClaimIdentity = { key: claimKey(attempt.account, 'k'), requestId: `request of ${attempt.account}`, bodyHash: attempt.body, holder: instance, nonce: `nonce-${this.#arrived++}` }
    this.simulation.start(instance, acquireClaim(claim, this.simulation.now + attempt.timeoutMilliseconds), (result) => {
      this.results.push({ claim, account: attempt.account, result })
      if (result.kind === 'claimed') this.#dispatch(instance, claim, result.version, attempt)
      if (result.kind === 'notClaimed' && result.withdrawAt !== undefined) this.simulation.start(instance, withdrawClaim(claim, result.withdrawAt), () => {})
    })
  }

  #dispatch (instance: string, claim: ClaimIdentity, version: bigint, attempt: Attempt): void {
    if (attempt.dispatch === 'notSent') return this.simulation.start(instance, withdrawClaim(claim, version), () => {})
    this.dispatches.push(claim)
    if (attempt.dispatch === 'broken') return this.simulation.start(instance, markClaimUnknown(claim, version), () => {})
    const body = Buffer.from(attempt.account.padEnd(attempt.dispatch === 'longAnswer' ? MAX_INLINE_ANSWER_BYTES + 1 : 0, ' '))
    this.simulation.start(instance, completeClaim(claim, version, { status: 200, contentType: 'text/plain', body }), () => {})
  }

  /** Checks a write against the allowed state transitions: only its holder may change a pending claim, and final states never change. */
  #checkTransition (before: Row, write: RowWrite): void {
    const from = decodeClaim(before)
    const to = decodeClaim({ key: write.key, version: 1n, value: write.value })!
    if (!this.firstBodyHashes.has(write.key)) this.firstBodyHashes.set(write.key, to.bodyHash)
    switch (from?.state ?? ClaimState.WITHDRAWN) {
      case ClaimState.WITHDRAWN: return expect([ClaimState.PENDING, ClaimState.WITHDRAWN]).toContain(to.state)
      case ClaimState.PENDING: return expect(to).toMatchObject({ nonce: from!.nonce, holderIncarnation: from!.holderIncarnation })
      default: throw new Error(`a claim in state ${from?.state} was overwritten`)
    }
  }
}

function runSchedule (schedule: readonly Event[]): ScheduleRun {
  const run = new ScheduleRun()
  for (const event of schedule) {
    if (event.kind === 'arrive') run.arrive(event.attempt)
    else if (event.kind === 'step') run.simulation.step(event.pick, event.outcome)
    else run.simulation.applyDelayedWrite(event.pick)
  }
  run.simulation.finish(MAX_COMMANDS)
  return run
}

describe('claims under arbitrary interleavings', () => {
  const schedules = fc.array(events, { minLength: 20, maxLength: 150, size: 'max' })

  // Guards against a request that runs twice, or under a key that was claimed with a different body.
  test('a key is dispatched at most once, and only with the body that claimed it first', () => {
    fc.assert(fc.property(schedules, (schedule) => {
      const { dispatches, firstBodyHashes } = runSchedule(schedule)
      const keys = dispatches.map((claim) => claim.key)
      expect(new Set(keys).size).toBe(keys.length)
      for (const claim of dispatches) expect(claim.bodyHash).toBe(firstBodyHashes.get(claim.key))
    }), { numRuns: 1500 })
  })

  // Guards against "not run" while a delayed write of the claim takes effect and blocks the next attempt.
  test('an attempt reported as not run leaves no pending claim, unless its instance dies', () => {
    fc.assert(fc.property(schedules, (schedule) => {
      const { results, dispatches, simulation } = runSchedule(schedule)
      for (const { claim, result } of results) {
        if (result.kind !== 'notClaimed') continue
        expect(dispatches).not.toContain(claim)
        const record = decodeClaim(simulation.table.read([claim.key])[0]!)
        if (!simulation.dead.has(claim.holder)) expect(record?.state === ClaimState.PENDING && record.nonce === claim.nonce).toBe(false)
      }
    }), { numRuns: 1500 })
  })

  // Guards against an answer that belongs to another account or that no dispatch recorded.
  test('a recorded answer is returned only for the same account, key and body', () => {
    fc.assert(fc.property(schedules, (schedule) => {
      const { results, dispatches } = runSchedule(schedule)
      for (const { claim, account, result } of results) {
        if (result.kind !== 'answered') continue
        expect(Buffer.from(result.answer.body).toString().trimEnd()).toBe(account)
        expect(dispatches).toContainEqual(expect.objectContaining({ key: claim.key, bodyHash: claim.bodyHash }))
      }
    }), { numRuns: 1500 })
  })

  // Guards against properties above that hold only because nothing is dispatched or answered.
  test('without faults the second caller receives the recorded answer of the first', () => {
    const attempt = (instance: number): Event => ({ kind: 'arrive', attempt: { instance, account: 'escuela', body: 'deposit 40', timeoutMilliseconds: 20_000, dispatch: 'longAnswer' } })
    const { results, dispatches } = runSchedule([attempt(0), attempt(1)])
    expect(results.map(({ result }) => result.kind).sort()).toEqual(['answered', 'claimed'])
    expect(dispatches).toHaveLength(1)
  })

  // Guards against an instance that polls its own claim because the reply to its write was lost.
  test('a claim write with lost replies leads to exactly one dispatch', () => {
    const arrival: Event = { kind: 'arrive', attempt: { instance: 0, account: 'escuela', body: 'deposit 40', timeoutMilliseconds: 20_000, dispatch: 'answered' } }
    const lost: Event = { kind: 'step', pick: 0, outcome: 'replyLost' }
    const { results, dispatches } = runSchedule([arrival, lost, lost, lost])
    expect(results.map(({ result }) => result.kind)).toEqual(['claimed'])
    expect(dispatches).toHaveLength(1)
  })
})
