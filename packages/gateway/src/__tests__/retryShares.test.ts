import { describe, expect, test } from '@jest/globals'
import fc from 'fast-check'
import { createRetryShares, type RetryShares } from '../decisions/retryShares.js'

const LIMITS = { ratio: 0.2, slack: 58, windowMilliseconds: 10_000 }
const STEP_MS = 500
const SERVICE = 'ledger'

interface Roll {
  readonly instances: number
  readonly requestsPerSecond: number
  /** Between the ends of two processes. */
  readonly gapSteps: number
  /** From the end of a process until its successor is on the list. */
  readonly downSteps: number
  readonly uses: 'retries' | 'retries with returns'
}

/** Uses all retries of a share that it grants now. */
function useAll (share: RetryShares, now: number, uses: Roll['uses']): number {
  for (let used = 0; ;) {
    const reserved = uses === 'retries with returns' ? share.tryAcquireWithReturn(SERVICE, now) : undefined
    reserved?.consume()
    if (reserved !== undefined) used += 2
    else if (share.tryAcquireRetry(SERVICE, now)) used++
    else return used
  }
}

/** Most retries that a fleet sends beyond its budget in any window while all instances are restarted in turn, after running for long. */
function worstExcess ({ instances, requestsPerSecond, gapSteps, downSteps, uses }: Roll): number {
  let listed = instances
  const startShare = (startedAt: number): RetryShares => createRetryShares(LIMITS, () => listed, startedAt)
  const shares = Array.from({ length: instances }, () => startShare(-10 * LIMITS.windowMilliseconds))
  const retries: number[] = []
  const windowSteps = LIMITS.windowMilliseconds / STEP_MS
  for (let step = 0; step < instances * gapSteps + downSteps + windowSteps; step++) {
    const now = step * STEP_MS
    listed = instances - shares.filter((_, index) => step >= index * gapSteps && step < index * gapSteps + downSteps).length
    let used = 0
    shares.forEach((_, index) => {
      const isDown = step >= index * gapSteps && step < index * gapSteps + downSteps
      if (step === index * gapSteps + downSteps) shares[index] = startShare(now)
      if (isDown) return
      const share = shares[index]!
      for (let request = 0; request < requestsPerSecond * STEP_MS / 1000; request++) share.recordRequest(SERVICE, now)
      used += useAll(share, now, uses)
    })
    retries.push(used)
  }
  const allowed = LIMITS.slack + LIMITS.ratio * requestsPerSecond * (instances - Math.ceil(downSteps / gapSteps)) * LIMITS.windowMilliseconds / 1000
  return Math.max(...retries.map((_, start) => retries.slice(start, start + windowSteps).reduce((sum, count) => sum + count, 0) - allowed))
}

describe('a fleet whose instances are restarted one after the other', () => {
  // Guards against a budget that is handed out anew with each change of the number of instances and with each process.
  test.each<Roll['uses']>(['retries', 'retries with returns'])('stays within its retry budget in every window (%s)', (uses) => {
    const roll = fc.record({
      instances: fc.integer({ min: 3, max: 16 }),
      requestsPerSecond: fc.integer({ min: 2, max: 40 }).map((half) => half * 2),
      gapSteps: fc.integer({ min: 1, max: 6 }),
      downSteps: fc.integer({ min: 1, max: 6 }),
      uses: fc.constant(uses)
    }).filter(({ instances, gapSteps, downSteps }) => Math.ceil(downSteps / gapSteps) < instances / 2)
    fc.assert(fc.property(roll, (plan) => { expect(worstExcess(plan)).toBeLessThanOrEqual(0) }))
  })
})

describe('a share of the retry budget', () => {
  // Guards against a debt or a reserved retry that is forgotten when the share's size changes.
  test('keeps its tokens, its debt and its reserved retries when the number of instances changes', () => {
    let instances = 6
    const now = 10 * LIMITS.windowMilliseconds
    const share = createRetryShares(LIMITS, () => instances, 0)
    const reserved = share.tryAcquireWithReturn(SERVICE, now)
    expect(reserved).toBeDefined()
    expect(useAll(share, now, 'retries')).toBeGreaterThan(0)
    for (const count of [5, 6, 5, 6]) {
      instances = count
      expect(share.tryAcquireRetry(SERVICE, now)).toBe(false)
    }
    reserved?.consume()
    // The debt is paid back before the next retry, at the share's rate: 2.9 retries in a window.
    expect(share.tryAcquireRetry(SERVICE, now + LIMITS.windowMilliseconds / 5)).toBe(false)
    expect(share.tryAcquireRetry(SERVICE, now + LIMITS.windowMilliseconds)).toBe(true)
  })

  // Guards against a process that can't retry anything for long after its start.
  test('of a new process allows retries after few requests', () => {
    const share = createRetryShares(LIMITS, () => 6, 0)
    expect(share.tryAcquireRetry(SERVICE, 0)).toBe(false)
    for (let request = 0; request < 10; request++) share.recordRequest(SERVICE, 100)
    expect(share.tryAcquireRetry(SERVICE, 100)).toBe(true)
  })
})
