import { describe, expect, test } from '@jest/globals'
import type { Row, RowWrite } from '@quinceshunt/table-store'
import { ClaimState } from '@quinceshunt/schemas'
import fc from 'fast-check'
import { Simulation, type Fate } from '../__fixtures__/simulation.js'
import { acquireClaim, type AcquireResult } from '../acquireClaim.js'
import { decodeClaim, INLINE_ANSWER_BYTES, type ClaimIdentity } from '../claimRecords.js'
import { completeClaim, markClaimUnknown, withdrawClaim } from '../finishClaim.js'
import { claimKey } from '../requestIdentity.js'

const INSTANCES = 3
const ROUNDS = 5000

/** One request as it arrives at one instance, and how its dispatch would go. */
interface Attempt {
  readonly instance: number
  readonly account: string
  readonly body: string
  readonly patience: number
  readonly dispatch: 'notSent' | 'answered' | 'longAnswer' | 'broken'
}

type Event = { readonly kind: 'arrive', readonly attempt: Attempt } | { readonly kind: 'step', readonly pick: number, readonly fate: Fate } | { readonly kind: 'landLate', readonly pick: number }

const arrivals = fc.record({
  kind: fc.constant('arrive' as const),
  attempt: fc.record({
    instance: fc.nat({ max: INSTANCES - 1 }),
    account: fc.constantFrom('escuela', 'parroquia'),
    body: fc.oneof({ weight: 4, arbitrary: fc.constant('deposit 40') }, { weight: 1, arbitrary: fc.constant('deposit 50') }),
    patience: fc.constantFrom(200, 2000, 20_000),
    dispatch: fc.constantFrom('notSent' as const, 'answered' as const, 'longAnswer' as const, 'broken' as const)
  })
})
const fates = fc.oneof(
  { weight: 12, arbitrary: fc.constant<Fate>('answered') },
  { weight: 6, arbitrary: fc.constantFrom<Fate>('replyLost', 'late', 'refused') },
  { weight: 1, arbitrary: fc.constant<Fate>('dies') }
)
const events: fc.Arbitrary<Event> = fc.oneof(
  { weight: 2, arbitrary: arrivals },
  { weight: 12, arbitrary: fc.record({ kind: fc.constant('step' as const), pick: fc.nat({ max: 20 }), fate: fates }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('landLate' as const), pick: fc.nat({ max: 20 }) }) }
)

/** What one run showed. */
class Run {
  readonly dispatches: ClaimIdentity[] = []
  readonly told: Array<{ readonly claim: ClaimIdentity, readonly account: string, readonly result: AcquireResult }> = []
  readonly firstBody = new Map<string, string>()
  readonly simulation = new Simulation((before, write) => this.#checkTransition(before, write))
  #arrived = 0

  arrive (attempt: Attempt): void {
    const instance = `instance-${attempt.instance}`
    if (this.simulation.dead.has(instance)) return
    const claim: ClaimIdentity = { key: claimKey(attempt.account, 'k'), requestId: `request of ${attempt.account}`, bodyHash: attempt.body, holder: instance, nonce: `nonce-${this.#arrived++}` }
    this.simulation.start(instance, acquireClaim(claim, this.simulation.now + attempt.patience), (result) => {
      this.told.push({ claim, account: attempt.account, result })
      if (result.kind === 'claimed') this.#dispatch(instance, claim, result.version, attempt)
      if (result.kind === 'notClaimed' && result.withdrawAt !== undefined) this.simulation.start(instance, withdrawClaim(claim, result.withdrawAt), () => {})
    })
  }

  #dispatch (instance: string, claim: ClaimIdentity, version: bigint, attempt: Attempt): void {
    if (attempt.dispatch === 'notSent') return this.simulation.start(instance, withdrawClaim(claim, version), () => {})
    this.dispatches.push(claim)
    if (attempt.dispatch === 'broken') return this.simulation.start(instance, markClaimUnknown(claim, version), () => {})
    const body = Buffer.from(attempt.account.padEnd(attempt.dispatch === 'longAnswer' ? INLINE_ANSWER_BYTES + 1 : 0, ' '))
    this.simulation.start(instance, completeClaim(claim, version, { status: 200, contentType: 'text/plain', body }), () => {})
  }

  /** The table of section 8: who may move a claim from which state to which. */
  #checkTransition (before: Row, write: RowWrite): void {
    const from = decodeClaim(before)
    const to = decodeClaim({ key: write.key, version: 1n, value: write.value })!
    if (!this.firstBody.has(write.key)) this.firstBody.set(write.key, to.bodyHash)
    switch (from?.state ?? ClaimState.WITHDRAWN) {
      case ClaimState.WITHDRAWN: return expect([ClaimState.PENDING, ClaimState.WITHDRAWN]).toContain(to.state)
      case ClaimState.PENDING: return expect(to).toMatchObject({ nonce: from!.nonce, holderIncarnation: from!.holderIncarnation })
      default: throw new Error(`a claim in state ${from?.state} was overwritten`)
    }
  }
}

function play (schedule: readonly Event[]): Run {
  const run = new Run()
  for (const event of schedule) {
    if (event.kind === 'arrive') run.arrive(event.attempt)
    else if (event.kind === 'step') run.simulation.step(event.pick, event.fate)
    else run.simulation.landLate(event.pick)
  }
  run.simulation.finish(ROUNDS)
  return run
}

describe('claims under arbitrary interleavings', () => {
  const schedules = fc.array(events, { minLength: 20, maxLength: 150, size: 'max' })

  // Guards against a deposit that runs twice, or under a key that was used for another body.
  test('a key is dispatched at most once, and only with the body that claimed it first', () => {
    fc.assert(fc.property(schedules, (schedule) => {
      const { dispatches, firstBody } = play(schedule)
      const keys = dispatches.map((claim) => claim.key)
      expect(new Set(keys).size).toBe(keys.length)
      for (const claim of dispatches) expect(claim.bodyHash).toBe(firstBody.get(claim.key))
    }), { numRuns: 1500 })
  })

  // Guards against "not run" while a late write of the claim still stands and would block or mislead the next attempt.
  test('an attempt told that it was not run leaves no pending claim, except by the death of its instance', () => {
    fc.assert(fc.property(schedules, (schedule) => {
      const { told, dispatches, simulation } = play(schedule)
      for (const { claim, result } of told) {
        if (result.kind !== 'notClaimed') continue
        expect(dispatches).not.toContain(claim)
        const record = decodeClaim(simulation.table.read([claim.key])[0]!)
        if (!simulation.dead.has(claim.holder)) expect(record?.state === ClaimState.PENDING && record.nonce === claim.nonce).toBe(false)
      }
    }), { numRuns: 1500 })
  })

  // Guards against another account's answer, and against an answer nobody recorded.
  test('recorded answers go to the same account, key and body only', () => {
    fc.assert(fc.property(schedules, (schedule) => {
      const { told, dispatches } = play(schedule)
      for (const { claim, account, result } of told) {
        if (result.kind !== 'answered') continue
        expect(Buffer.from(result.answer.body).toString().trimEnd()).toBe(account)
        expect(dispatches).toContainEqual(expect.objectContaining({ key: claim.key, bodyHash: claim.bodyHash }))
      }
    }), { numRuns: 1500 })
  })

  // Guards against checks above that pass because nothing is ever dispatched or answered.
  test('without faults the second caller gets the first answer', () => {
    const attempt = (instance: number): Event => ({ kind: 'arrive', attempt: { instance, account: 'escuela', body: 'deposit 40', patience: 20_000, dispatch: 'longAnswer' } })
    const { told, dispatches } = play([attempt(0), attempt(1)])
    expect(told.map(({ result }) => result.kind).sort()).toEqual(['answered', 'claimed'])
    expect(dispatches).toHaveLength(1)
  })

  // Guards against a holder that waits for its own claim because the reply to its write was lost.
  test('a lost reply to the claim write still ends in one dispatch', () => {
    const arrival: Event = { kind: 'arrive', attempt: { instance: 0, account: 'escuela', body: 'deposit 40', patience: 20_000, dispatch: 'answered' } }
    const lost: Event = { kind: 'step', pick: 0, fate: 'replyLost' }
    const { told, dispatches } = play([arrival, lost, lost, lost])
    expect(told.map(({ result }) => result.kind)).toEqual(['claimed'])
    expect(dispatches).toHaveLength(1)
  })
})
