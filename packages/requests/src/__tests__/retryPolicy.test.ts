import { describe, expect, test } from '@jest/globals'
import fc from 'fast-check'
import { createRetryBudget, type RetryBudget } from '../retryBudget.js'
import { decideAfterAttempt, type AttemptContext, type AttemptOutcome } from '../retryPolicy.js'

const bytes = fc.nat({ max: 5000 })
const outcomes: fc.Arbitrary<AttemptOutcome> = fc.oneof(
  fc.constantFrom<AttemptOutcome>({ kind: 'neverSent' }, { kind: 'refusedBeforeRunning' }, { kind: 'resetBeforeFirstByte' }, { kind: 'wrongRequestId' }),
  fc.record({ kind: fc.constant('brokenAfterBytes' as const), bytesReceived: bytes, resumable: fc.boolean() }),
  fc.record({ kind: fc.constantFrom('crashed' as const, 'timeout' as const), bytesReceived: bytes })
)

function context (changes: Partial<AttemptContext>): AttemptContext {
  return { outcome: { kind: 'neverSent' }, idempotent: true, bytesSentToCaller: 0, earlierRunState: 'no', now: 0, deadline: 1000, tryAcquireRetry: () => true, ...changes }
}

/** The only outcomes after which `no` may be reported or a non-idempotent request may be retried. */
const outcomesWithoutEffect = new Set<AttemptOutcome['kind']>(['neverSent', 'refusedBeforeRunning'])

describe('decideAfterAttempt', () => {
  // Guards against a second run of a non-idempotent request, and against reporting "no" for one that may have run.
  test('a non-idempotent request is retried and reported as not run only if no attempt ran', () => {
    fc.assert(fc.property(fc.array(outcomes, { minLength: 1, maxLength: 5 }), (attempts) => {
      let earlierRunState: AttemptContext['earlierRunState'] = 'no'
      let mayHaveRun = false
      for (const outcome of attempts) {
        const decision = decideAfterAttempt(context({ outcome, idempotent: false, earlierRunState }))
        mayHaveRun ||= !outcomesWithoutEffect.has(outcome.kind)
        if (mayHaveRun) expect(decision.kind).toBe('giveUp')
        expect(decision.run).toBe(mayHaveRun ? 'unknown' : 'no')
        earlierRunState = decision.run
      }
    }))
  })

  // Guards against a response that restarts, or continues at a wrong offset, after its first bytes were sent.
  test('after the first byte a request can only be resumed at the exact offset', () => {
    fc.assert(fc.property(outcomes, fc.integer({ min: 1, max: 5000 }), (outcome, bytesSentToCaller) => {
      const decision = decideAfterAttempt(context({ outcome, bytesSentToCaller }))
      if (decision.kind === 'resume') expect(outcome).toEqual({ kind: 'brokenAfterBytes', bytesReceived: decision.offset, resumable: true })
      else expect(decision).toMatchObject({ kind: 'giveUp', inStream: true })
    }))
  })

  test.each([
    ['a crash is retried as a trial', { outcome: { kind: 'crashed', bytesReceived: 0 } }, { kind: 'retryElsewhere', asTrial: true, run: 'unknown' }],
    ['the state of an earlier attempt that may have run is kept', { earlierRunState: 'unknown', tryAcquireRetry: () => false }, { kind: 'giveUp', run: 'unknown', code: 'retry_budget_exhausted' }],
    ['no retry after the deadline', { now: 1000 }, { kind: 'giveUp', run: 'no', code: 'deadline_exceeded' }],
    ['a request with an interrupted stream is reported as run', { outcome: { kind: 'crashed', bytesReceived: 9 }, bytesSentToCaller: 9 }, { kind: 'giveUp', run: 'yes', code: 'backend_server_crashed' }]
  ] as const)('%s', (_name, changes, expected) => {
    expect(decideAfterAttempt(context(changes))).toMatchObject(expected)
  })
})

describe('createRetryBudget', () => {
  // Guards against retries that amplify an overload.
  test('retries stay within capacity, ratio of requests and idle rate', () => {
    const steps = fc.array(fc.record({ wait: fc.nat({ max: 3000 }), retry: fc.boolean() }), { maxLength: 300 })
    fc.assert(fc.property(steps, fc.double({ min: 0, max: 1, noNaN: true }), (events, retriesPerRequest) => {
      const budget = createRetryBudget({ retriesPerRequest, capacity: 4, idleRetriesPerSecond: 0.5 })
      let now = 0
      let requests = 0
      let retries = 0
      for (const event of events) {
        now += event.wait
        if (!event.retry) budget.recordRequest(now)
        if (!event.retry) requests += 1
        else if (budget.tryAcquireRetry(now)) retries += 1
        expect(retries).toBeLessThanOrEqual(4 + retriesPerRequest * requests + 0.5 * now / 1000 + 1e-6)
      }
    }))
  })

  // Guards against a burst of retries after a long period without failures.
  test('accumulates no more than its capacity', () => {
    const budget = createRetryBudget({ retriesPerRequest: 1, capacity: 2, idleRetriesPerSecond: 1 })
    for (let now = 0; now < 100_000; now += 100) budget.recordRequest(now)
    expect([1, 2, 3].map(() => budget.tryAcquireRetry(100_000))).toEqual([true, true, false])
  })

  // Guards against a request that can't use the retry that was reserved for it because others have used up the budget.
  test('keeps a reserved retry until it is consumed or released', () => {
    const create = (): RetryBudget => createRetryBudget({ retriesPerRequest: 0, capacity: 3, idleRetriesPerSecond: 0, overdraft: 1 })
    const consumed = create()
    const reserved = consumed.tryAcquireWithReserve(0)
    expect([1, 2, 3].map(() => consumed.tryAcquireRetry(0))).toEqual([true, true, false])
    expect(consumed.tryAcquireWithReserve(0)).toBeUndefined()
    reserved?.consume()
    expect(consumed.tryAcquireRetry(0)).toBe(false)
    const released = create()
    const both = [released.tryAcquireWithReserve(0), released.tryAcquireWithReserve(0)]
    expect(released.tryAcquireWithReserve(0)).toBeUndefined()
    for (const one of both) one?.release()
    both[0]?.consume()
    expect([1, 2].map(() => released.tryAcquireRetry(0))).toEqual([true, false])
  })

  // Guards against a bucket that is never refilled.
  test('grants retries after requests', () => {
    const budget = createRetryBudget({ retriesPerRequest: 0.5, capacity: 1, idleRetriesPerSecond: 0 })
    expect([budget.tryAcquireRetry(0), budget.tryAcquireRetry(0)]).toEqual([true, false])
    budget.recordRequest(0)
    budget.recordRequest(0)
    expect(budget.tryAcquireRetry(0)).toBe(true)
  })
})
