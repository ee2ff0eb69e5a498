import { describe, expect, test } from '@jest/globals'
import fc from 'fast-check'
import { createTestBackend } from '../__fixtures__/backends.js'
import { createSeededRandom } from '../__fixtures__/seededRandom.js'
import { createFirstByteTimes, sizeClassOf, type FirstByteTimes } from '../decisions/firstByteTimes.js'
import { createRetryShares } from '../decisions/retryShares.js'
import { findSecondTargets, type SlowRequest } from '../decisions/secondSends.js'
import { createSecondSendShare, type SecondSendShare } from '../decisions/secondSendShare.js'

const SERVICE = 'model'
const WINDOW_MS = 10_000
const FAST_MS = 30
const SLOW_MS = 900
const PREFILL_TOKENS = 100
/** From then on all responses are slow. */
const ALL_SLOW_FROM_MS = 30_000

/** Times at which a fleet sends a second time when all of its requests are slow, and the times of its requests. */
function playFleet (weights: readonly number[], share: number, requestsPerSecond: number, seconds: number, random: () => number): { readonly sends: readonly number[], readonly requests: readonly number[] } {
  const instances = weights.map((weight) => ({ weight, share: createSecondSendShare(share, random) }))
  const total = weights.reduce((sum, weight) => sum + weight, 0)
  const sends: number[] = []
  const requests: number[] = []
  for (let request = 0; request < requestsPerSecond * seconds; request++) {
    const now = request * 1000 / requestsPerSecond
    let left = random() * total
    const index = Math.max(0, instances.findIndex(({ weight }) => (left -= weight) <= 0))
    const instance = instances[index]!
    instance.share.recordRequest(SERVICE, now)
    requests.push(now)
    if (instance.share.tryUse(SERVICE, now)) sends.push(now)
  }
  return { sends, requests }
}

/** Uses all tokens, and returns a time for each. */
function useAll (share: SecondSendShare, now: number): readonly number[] {
  return share.tryUse(SERVICE, now) ? [now, ...useAll(share, now)] : []
}

function mostInWindow (times: readonly number[], windowMilliseconds: number): number {
  let first = 0
  let most = 0
  times.forEach((time, index) => {
    while (times[first]! <= time - windowMilliseconds) first++
    most = Math.max(most, index - first + 1)
  })
  return most
}

describe('the share of second sends', () => {
  // Guards against instances that together exceed the share because each of them may send at least once.
  test('holds for all instances together over any 10 s, however the requests are split', () => {
    const fleet = fc.record({
      weights: fc.array(fc.integer({ min: 1, max: 20 }), { minLength: 1, maxLength: 390 }),
      share: fc.constantFrom(0.02, 0.05, 0.2),
      requestsPerSecond: fc.integer({ min: 100, max: 600 }),
      seed: fc.integer()
    })
    fc.assert(fc.property(fleet, ({ weights, share, requestsPerSecond, seed }) => {
      const { sends } = playFleet(weights, share, requestsPerSecond, 30, createSeededRandom(seed))
      expect(mostInWindow(sends, WINDOW_MS)).toBeLessThanOrEqual(share * requestsPerSecond * WINDOW_MS / 1000)
    }), { numRuns: 60 })
  })

  // Guards against tokens of all instances that are used at once when many responses become slow.
  test('holds when all instances use what they have at once', () => {
    fc.assert(fc.property(fc.integer({ min: 6, max: 390 }), fc.constantFrom(0.02, 0.05, 0.2), fc.integer(), (instances, share, seed) => {
      const random = createSeededRandom(seed)
      const requestsPerSecond = 4
      const shares = Array.from({ length: instances }, () => createSecondSendShare(share, random))
      const sends: number[] = []
      for (let now = 0; now < 60_000; now += 1000 / requestsPerSecond) {
        for (const own of shares) {
          own.recordRequest(SERVICE, now)
          if (now < ALL_SLOW_FROM_MS) continue
          sends.push(...useAll(own, now))
        }
      }
      const allowed = share * instances * requestsPerSecond * WINDOW_MS / 1000
      expect(mostInWindow(sends, WINDOW_MS)).toBeLessThanOrEqual(allowed)
    }), { numRuns: 60, examples: [[6, 0.02, -1695945009]] })
  })

  test('0 sends nothing a second time', () => {
    expect(playFleet([1, 2, 3], 0, 300, 10, createSeededRandom(1)).sends).toEqual([])
  })

  // Guards against a limit under which instances with few requests never send.
  test('is used by instances with few requests each', () => {
    const { sends, requests } = playFleet(Array.from({ length: 70 }, () => 1), 0.01, 280, 60, createSeededRandom(7))
    expect(sends.length).toBeGreaterThan(requests.length * 0.01 * 0.3)
  })
})

describe('the retry budget', () => {
  // Guards against second sends that leave nothing for requests that have failed.
  test('keeps what has accumulated, and half of what is added, for failures', () => {
    const now = 100_000
    const shares = createRetryShares({ ratio: 0.2, slack: 58, windowMilliseconds: WINDOW_MS }, () => 70, 0)
    shares.recordRequest(SERVICE, 1)
    expect([shares.tryAcquireSecondSend(SERVICE, now), shares.tryAcquireSecondSend(SERVICE, now)]).toEqual([true, false])
    expect(shares.tryAcquireRetry(SERVICE, now)).toBe(true)
    let seconds = 0
    let retries = 0
    for (let request = 0; request < 1000; request++) {
      shares.recordRequest(SERVICE, now)
      if (shares.tryAcquireSecondSend(SERVICE, now)) seconds++
      if (shares.tryAcquireRetry(SERVICE, now)) retries++
    }
    expect(seconds).toBeLessThanOrEqual(1000 * 0.12 / 2 + 1)
    expect(retries).toBeGreaterThanOrEqual(1000 * 0.12 / 2)
    expect(seconds + retries).toBeLessThanOrEqual(1000 * 0.12 + 2)
  })
})

/** Records `count` answers after `milliseconds` each, the last of which comes at `now`. */
function answer (times: FirstByteTimes, count: number, milliseconds: number, now: number): void {
  for (let index = 0; index < count; index++) times.begin(SERVICE, PREFILL_TOKENS, now - milliseconds).answer(now)
}

describe('the time after which a response is slow', () => {
  // Guards against second sends on the evidence of a few responses.
  test('is known from 50 responses on, by size class', () => {
    const times = createFirstByteTimes()
    answer(times, 49, FAST_MS, 1000)
    expect(times.slowAfter(SERVICE, PREFILL_TOKENS, 1000)).toBeUndefined()
    answer(times, 1, FAST_MS, 1000)
    expect(times.slowAfter(SERVICE, PREFILL_TOKENS, 1000)).toBeCloseTo(FAST_MS, 0)
    expect(times.slowAfter(SERVICE, PREFILL_TOKENS * 16, 1000)).toBeUndefined()
    expect([0, 1, 3, 4, 15, 16].map(sizeClassOf)).toEqual([0, 0, 0, 1, 1, 2])
  })

  test('is the 95th percentile, and never below 20 ms', () => {
    const times = createFirstByteTimes()
    answer(times, 94, 1, 1000)
    expect(times.slowAfter(SERVICE, PREFILL_TOKENS, 1000)).toBe(20)
    answer(times, 6, 200, 1000)
    expect(times.slowAfter(SERVICE, PREFILL_TOKENS, 1000)).toBeGreaterThan(190)
  })

  // Guards against a delay that is learned from what was usual long ago.
  test('forgets responses within 30 s', () => {
    const times = createFirstByteTimes()
    answer(times, 100, SLOW_MS, 0)
    for (let now = 0; now <= 30_000; now += 500) answer(times, 10, FAST_MS, now)
    expect(times.slowAfter(SERVICE, PREFILL_TOKENS, 30_500)).toBeLessThan(FAST_MS + 10)
    expect(times.slowAfter(SERVICE, PREFILL_TOKENS, 100_000)).toBeUndefined()
  })

  // Guards against a delay that sinks because the slowest attempts are ended by their second sends and not counted.
  test('counts attempts that were outrun', () => {
    const times = createFirstByteTimes()
    answer(times, 90, FAST_MS, 1000)
    for (let index = 0; index < 10; index++) times.begin(SERVICE, PREFILL_TOKENS, 800).end(1000, true)
    times.begin(SERVICE, PREFILL_TOKENS, 999).end(1000, false)
    expect(times.slowAfter(SERVICE, PREFILL_TOKENS, 1000)).toBeGreaterThan(190)
  })
})

describe('all backend servers of a service', () => {
  function slowRequests (fastPerSlow: number): boolean {
    const times = createFirstByteTimes()
    answer(times, 200, FAST_MS, 1000)
    const sentAt = 10_000
    const own = times.begin(SERVICE, PREFILL_TOKENS, sentAt)
    for (let index = 0; index < 4; index++) {
      times.begin(SERVICE, PREFILL_TOKENS, sentAt)
      answer(times, fastPerSlow, FAST_MS / 2, sentAt)
    }
    return times.areAllSlow(SERVICE, sentAt + 100, own)
  }

  // Guards against second sends that add to the load of backend servers that are all slow.
  test('are slow when most of the other requests are, also before they are answered', () => {
    expect(slowRequests(0)).toBe(true)
  })

  // Guards against a rule that never lets a request be sent a second time.
  test('are not slow when one of six is', () => {
    expect(slowRequests(5)).toBe(false)
  })
})

describe('the target of a second send', () => {
  const slow: SlowRequest = { hasCallerLeft: false, hasUnidentifiedEvents: false, isSuspected: false, hasAttemptLeft: true, areAllSlow: false, needsRoom: false, isCutOff: false }
  const first = createTestBackend('first', { address: '10.0.0.1:1' })
  const near = createTestBackend('near', { address: '10.0.0.2:1' })
  const far = createTestBackend('far', { address: '10.0.0.3:1', failureDomain: 'south' })
  const NOW = 1000

  test('is in another failure domain where one responds, and otherwise in the same one', () => {
    expect(findSecondTargets(slow, first, [first, near, far], NOW)).toEqual({ kind: 'some', backendIds: ['far'] })
    const silent = createTestBackend('far', { address: '10.0.0.3:1', failureDomain: 'south' })
    silent.pending.add({ sentAt: 500, prefillTokens: 0, answered: false })
    expect(findSecondTargets(slow, first, [first, near, silent], NOW)).toEqual({ kind: 'some', backendIds: ['near'] })
  })

  // Guards against a second send to the process that is slow, under another ID.
  test('is another process', () => {
    expect(findSecondTargets(slow, first, [first, createTestBackend('again', { address: '10.0.0.1:1' })], NOW)).toEqual({ kind: 'refused', reason: 'noTarget' })
  })

  // Guards against second sends that meet a backend server which they harm.
  test.each<readonly [string, (backend: ReturnType<typeof createTestBackend>) => void]>([
    ['cold', (backend) => { backend.entry = { ...backend.entry, coldUntil: NOW + 1 } }],
    ['avoided', (backend) => { backend.avoidedUntil = NOW + 1 }],
    ['lost', (backend) => { backend.lostSince = NOW - 1 }],
    ['without room', (backend) => { backend.entry = { ...backend.entry, slots: 0 } }]
  ])('is none that is %s', (_name, change) => {
    const target = createTestBackend('target', { address: '10.0.0.4:1' })
    change(target)
    expect(findSecondTargets(slow, first, [first, target], NOW)).toEqual({ kind: 'refused', reason: 'noTarget' })
  })

  test.each<readonly [Partial<SlowRequest>, string]>([
    [{ hasCallerLeft: true }, 'callerLeft'],
    [{ hasUnidentifiedEvents: true }, 'unidentifiedEvents'],
    [{ isSuspected: true }, 'suspected'],
    [{ hasAttemptLeft: false }, 'noAttemptLeft'],
    [{ areAllSlow: true }, 'allSlow'],
    [{ needsRoom: true }, 'shortOfRoom'],
    [{ isCutOff: true }, 'cutOff']
  ])('is none for a request with %p', (change, reason) => {
    expect(findSecondTargets({ ...slow, ...change }, first, [first, far], NOW)).toEqual({ kind: 'refused', reason })
  })

  test('is none where a backend server of the service names a limit', () => {
    const limited = createTestBackend('limited', { address: '10.0.0.5:1' })
    limited.limit = { ...limited.limit, requestsPerSecond: 5 }
    expect(findSecondTargets(slow, first, [first, far, limited], NOW)).toEqual({ kind: 'refused', reason: 'limited' })
  })
})
