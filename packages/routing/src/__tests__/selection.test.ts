import { describe, expect, test } from '@jest/globals'
import { RoutingPolicy } from '@quinceshunt/schemas'
import fc from 'fast-check'
import { allowsRequest, applyHealthEvent, FAILURES_TO_EJECT, initialHealth, type HealthEvent } from '../health.js'
import { estimateOtherInstancesLoad, OutstandingHistory, slotWindow } from '../loadEstimate.js'
import { policyFromSettings, rankCandidates } from '../policies.js'
import { classifyPriority } from '../priority.js'
import type { Candidate } from '../scoring.js'
import { chooseSubset } from '../subset.js'

function buildCandidate (overrides: Partial<Candidate>): Candidate {
  return { id: 'engine', sameFailureDomain: true, slots: 4, window: 4, ownRunning: 0, ownQueued: 0, ownBulkRunning: 0, othersOutstanding: 0, cachedBlocks: 0, ...overrides }
}

function bestOf (policy: RoutingPolicy, candidates: readonly Candidate[], promptBytes = 0, turn = 0): string | undefined {
  return rankCandidates(policyFromSettings(policy), candidates, { priority: 'interactive', promptBytes }, turn)[0]?.id
}

describe('rankCandidates', () => {
  const { SCORED, LEAST_OUTSTANDING, ROUND_ROBIN } = RoutingPolicy
  test.each([
    ['a cached prefix', 'cached', [buildCandidate({ id: 'cold' }), buildCandidate({ id: 'cached', cachedBlocks: 200 })]],
    ['less load of other instances', 'idle', [buildCandidate({ id: 'busy', othersOutstanding: 4 }), buildCandidate({ id: 'idle' })]],
    ['an idle server over a cached prefix behind a queue', 'idle', [buildCandidate({ id: 'cached', cachedBlocks: 200, ownRunning: 4, ownQueued: 6 }), buildCandidate({ id: 'idle' })]],
    ['its own failure domain', 'near', [buildCandidate({ id: 'far', sameFailureDomain: false }), buildCandidate({ id: 'near' })]],
    ['a free slot over a cached prefix behind its own window', 'free', [buildCandidate({ id: 'cached', cachedBlocks: 200, window: 1, ownRunning: 1 }), buildCandidate({ id: 'free' })]],
    ['a server without bulk requests', 'light', [buildCandidate({ id: 'bulk', ownRunning: 1, ownBulkRunning: 1 }), buildCandidate({ id: 'light', ownRunning: 1 })]]
  ])('scored prefers %s', (_reason, expected, candidates) => {
    expect(bestOf(SCORED, candidates, 51_200)).toBe(expected)
  })

  test('the other policies ignore the cache', () => {
    const candidates = [buildCandidate({ id: 'a', cachedBlocks: 200, ownRunning: 1 }), buildCandidate({ id: 'b' }), buildCandidate({ id: 'c' })]
    expect([0, 1, 2, 3].map((turn) => bestOf(ROUND_ROBIN, candidates, 0, turn))).toEqual(['a', 'b', 'c', 'a'])
    expect([0, 1, 2].map((turn) => bestOf(LEAST_OUTSTANDING, candidates, 0, turn))).toEqual(['b', 'b', 'c'])
  })
})

describe('load estimate', () => {
  // Guards against counting this instance's requests twice, or subtracting requests sent after the report was made.
  test('subtracts own requests as of the time of the report', () => {
    const history = new OutstandingHistory()
    history.recordChange(1, 100)
    history.recordChange(1, 200)
    history.recordChange(1, 300)
    const report = { asOf: 250, running: 4, queued: 1, slots: 8 }
    expect(estimateOtherInstancesLoad(undefined, report, history.outstandingAt(report.asOf)).outstanding).toBe(3)
    expect(estimateOtherInstancesLoad({ asOf: 260, outstanding: 7, observed: 7 }, report, 2).outstanding).toBe(7)
  })

  // Guards against instances under overload starving each other or together using many times the slots.
  test('windows converge on a total near the number of slots when all instances are busy', () => {
    fc.assert(fc.property(fc.integer({ min: 1, max: 9 }), fc.integer({ min: 1, max: 32 }), (instances, slots) => {
      const windows: number[] = Array(instances).fill(slots)
      for (let report = 0; report < 20; report++) {
        const total = windows.reduce((sum, window) => sum + window, 0)
        windows.forEach((window, index) => { windows[index] = slotWindow(slots, { asOf: report, outstanding: total - window, observed: total - window }, instances) })
      }
      const share = Math.max(1, Math.ceil(slots / instances))
      expect(windows.reduce((sum, window) => sum + window, 0)).toBeLessThanOrEqual(share * instances)
      expect(Math.min(...windows)).toBeGreaterThanOrEqual(share)
    }))
  })
})

describe('health', () => {
  const apply = (...kinds: HealthEvent['kind'][]) => kinds.reduce((state, kind, index) => applyHealthEvent(state, { kind, at: index } as HealthEvent), initialHealth())
  const failures = (kind: HealthEvent['kind']): HealthEvent['kind'][] => Array(FAILURES_TO_EJECT).fill(kind)

  // Guards against successful load polls masking failed requests.
  test('consecutive failures of one kind eject a backend server', () => {
    expect(allowsRequest(apply(...failures('requestFailed').flatMap((kind) => [kind, 'pollSucceeded' as const])))).toBe(false)
    expect(allowsRequest(apply('requestFailed', 'requestFailed', 'requestSucceeded', 'requestFailed'))).toBe(true)
    expect(allowsRequest(apply(...failures('pollFailed')))).toBe(false)
    expect(allowsRequest(apply('crashed'))).toBe(false)
    expect(allowsRequest(apply('crashed', 'restarted'))).toBe(true)
  })

  test('after a successful probe, one request at a time is allowed', () => {
    const ejected = apply('crashed')
    if (ejected.kind !== 'ejected') throw new Error(ejected.kind)
    expect(allowsRequest(applyHealthEvent(ejected, { kind: 'pollSucceeded', at: ejected.probeAt - 1 }))).toBe(false)
    const halfOpen = applyHealthEvent(ejected, { kind: 'pollSucceeded', at: ejected.probeAt })
    const trial = applyHealthEvent(halfOpen, { kind: 'requestStarted', at: ejected.probeAt })
    expect([allowsRequest(halfOpen), allowsRequest(trial)]).toEqual([true, false])
    expect(applyHealthEvent(trial, { kind: 'requestFailed', at: 5000 })).toMatchObject({ kind: 'ejected', probeAt: 7000 })
    expect(applyHealthEvent(trial, { kind: 'requestSucceeded', at: 5000 }).kind).toBe('healthy')
  })
})

describe('subset and classification', () => {
  test('subsets have a bounded size, change little and spread evenly over the servers', () => {
    const servers = Array.from({ length: 48 }, (_, index) => `engine-${index}`)
    const used = new Map<string, number>()
    for (let instance = 0; instance < 390; instance++) {
      const subset = chooseSubset(`router-${instance}`, servers, 8)
      expect(subset.size).toBe(8)
      const fewer = chooseSubset(`router-${instance}`, servers.slice(1), 8)
      expect([...fewer].filter((id) => !subset.has(id)).length).toBeLessThanOrEqual(1)
      for (const id of subset) used.set(id, (used.get(id) ?? 0) + 1)
    }
    // Expected: 65 instances per backend server with a standard deviation of 7.4; the bounds are five deviations on either side.
    expect(Math.min(...used.values())).toBeGreaterThan(65 - 37)
    expect(Math.max(...used.values())).toBeLessThan(65 + 37)
  })

  test.each([[4095, 'interactive'], [4096, 'standard'], [32_767, 'standard'], [32_768, 'bulk']] as const)('a prompt of %d bytes is %s', (bytes, priority) => {
    expect(classifyPriority(bytes, 32_768)).toBe(priority)
  })
})
