import { describe, expect, test } from '@jest/globals'
import { createTestBackend } from '../__fixtures__/backends.js'
import type { BackendState } from '../decisions/backendState.js'
import { createBackendAcceptance, returnAt, selectAccepting, type BackendAcceptance } from '../decisions/backendAcceptance.js'

const DRAIN_MS = 2000
/** More backend servers than any deployment lists. */
const LARGE_FLEET = 3000
/** Time after which a leaving backend server that is not listed may be forgotten. */
const REMEMBERED_MS = 600_000
const LATER = 10 * REMEMBERED_MS

/** Creates a record while no backend server is listed. */
function createAcceptance (): BackendAcceptance {
  return createBackendAcceptance(() => new Set())
}

describe('backend servers that leave', () => {
  const leaving = createTestBackend('i-1')
  const other = createTestBackend('i-2')

  // Guards against requests to a leaving backend server where another one can take them.
  test('get no requests while there is another one, also within the drain time', () => {
    const acceptance = createAcceptance()
    expect(acceptance.markLeaving('i-1/0', 1000)).toBe(true)
    expect(acceptance.markLeaving('i-1/0', 1500)).toBe(false)
    expect(selectAccepting([leaving, other], acceptance, { receivedAt: 1000, drainMilliseconds: DRAIN_MS, instances: 1 }, 4000)).toEqual([other])
  })

  // Guards against refusals while the only backend server still serves, and against requests after that, however long they waited.
  test('serve requests that were received within the drain time when there is no other one', () => {
    const acceptance = createAcceptance()
    acceptance.markLeaving('i-1/0', 1000)
    acceptance.markLeaving('i-1/0', 1500)
    expect(selectAccepting([leaving], acceptance, { receivedAt: 2999, drainMilliseconds: DRAIN_MS, instances: 1 }, 4000)).toEqual([leaving])
    expect(selectAccepting([leaving], acceptance, { receivedAt: 3000, drainMilliseconds: DRAIN_MS, instances: 1 }, 4000)).toEqual([])
  })

  test('are told apart by their start time', () => {
    const acceptance = createAcceptance()
    acceptance.markLeaving('i-1/0', 1000)
    const restarted = createTestBackend('i-1', { startedAt: 5 })
    expect(selectAccepting([restarted], acceptance, { receivedAt: 9000, drainMilliseconds: DRAIN_MS, instances: 1 }, 4000)).toEqual([restarted])
  })

  // Guards against requests to a backend server that has said that it leaves, in a fleet in which many do so at the same time.
  test('are not forgotten while they are listed, however many others leave', () => {
    const names = Array.from({ length: LARGE_FLEET }, (_, index) => `i-${index}/0`)
    const acceptance = createBackendAcceptance(() => new Set(names))
    for (const name of names) acceptance.markLeaving(name, 1000)
    expect(names.filter((name) => acceptance.acceptanceOf(name, LATER).kind !== 'leaving')).toEqual([])
    for (const name of names) acceptance.markLeaving(`${name}0`, LATER)
    expect(names.filter((name) => acceptance.acceptanceOf(name, LATER).kind !== 'leaving')).toEqual([])
  })

  // Guards against a leaving backend server that gets requests again because its entry was missing for a while.
  test('are not forgotten for some minutes after they were last listed', () => {
    const acceptance = createBackendAcceptance(() => new Set())
    for (let index = 0; index < LARGE_FLEET; index++) acceptance.markLeaving(`i-${index}/0`, 1000)
    acceptance.markLeaving('i-last/0', 1000 + REMEMBERED_MS - 1)
    expect(acceptance.acceptanceOf('i-0/0', 1000 + REMEMBERED_MS - 1)).toEqual({ kind: 'leaving', since: 1000 })
  })

  // Guards against memory that grows with the number of backend servers that ever left.
  test('are forgotten once they have been missing from the list for long', () => {
    const acceptance = createBackendAcceptance(() => new Set(['i-1/0']))
    for (let batch = 0; batch < 10; batch++) {
      for (let index = 0; index < LARGE_FLEET; index++) acceptance.markLeaving(`i-${batch * LARGE_FLEET + index}/0`, batch * REMEMBERED_MS)
    }
    expect(acceptance.size).toBeLessThan(4 * LARGE_FLEET)
    expect(acceptance.acceptanceOf('i-0/0', 0).kind).toBe('accepting')
    expect(acceptance.acceptanceOf('i-1/0', 0).kind).toBe('leaving')
  })
})

describe('backend servers that want nothing for a time', () => {
  const paused = createTestBackend('i-1')
  const other = createTestBackend('i-2')
  const request = { receivedAt: 1000, drainMilliseconds: DRAIN_MS, instances: 1 }

  test('get no requests until it ends, also when there is no other one', () => {
    const acceptance = createAcceptance()
    const until = acceptance.pause('i-1/0', 3000, 1000) ?? 0
    expect(until).toBe(4001)
    expect(selectAccepting([paused, other], acceptance, request, until - 1)).toEqual([other])
    expect(selectAccepting([paused], acceptance, request, until - 1)).toEqual([])
    expect(selectAccepting([paused], acceptance, request, until)).toEqual([paused])
  })

  // Guards against a time that ends early because responses to concurrent requests arrive in another order.
  test('keep the latest end that they named', () => {
    const acceptance = createAcceptance()
    acceptance.pause('i-1/0', 3000, 1000)
    expect(acceptance.pause('i-1/0', 500, 1100)).toBeUndefined()
    expect(acceptance.acceptanceOf('i-1/0', 4000)).toEqual({ kind: 'paused', until: 4001 })
    expect(acceptance.pause('i-1/0', 3000, 1100)).toBe(4101)
  })

  test('are told apart by their start time', () => {
    const acceptance = createAcceptance()
    acceptance.pause('i-1/0', 3000, 1000)
    expect(acceptance.acceptanceOf('i-1/5', 1000)).toEqual({ kind: 'accepting' })
  })

  // Guards against instances that all send what has accumulated in the named time to the first backend server that wants requests again.
  test('get no more than an even share of their slots for as long again', () => {
    const acceptance = createAcceptance()
    const resuming = createTestBackend('i-1')
    const until = acceptance.pause('i-1/0', 3000, 1000) ?? 0
    const isSelected = (now: number, instances: number): boolean => selectAccepting([resuming], acceptance, { ...request, instances }, now).length > 0
    const send = (): void => { resuming.pending.add({ sentAt: until, prefillTokens: 0, answered: false }) }
    expect(isSelected(until, 100)).toBe(true)
    send()
    expect(isSelected(until, 100)).toBe(false)
    for (let sent = 1; sent < 4; sent++) send()
    expect([isSelected(until, 1), isSelected(until, 2), isSelected(until + 2999, 2), isSelected(until + 3000, 2)]).toEqual([true, false, false, true])
    expect(selectAccepting([resuming, other], acceptance, { ...request, instances: 2 }, until)).toEqual([other])
    expect(returnAt([resuming], acceptance, 2, until, 0)).toBe(until + 600)
  })

  // Guards against a long resumption, in which instances with more callers than others are held to an even share, after a short time.
  test('are used as before after a short time', () => {
    const acceptance = createAcceptance()
    const until = acceptance.pause('i-1/0', 100, 1000) ?? 0
    expect([0, 99, 100].map((later) => acceptance.acceptanceOf('i-1/0', until + later).kind)).toEqual(['resuming', 'resuming', 'accepting'])
    const longUntil = acceptance.pause('i-2/0', 60_000, 1000) ?? 0
    expect([4999, 5000].map((later) => acceptance.acceptanceOf('i-2/0', longUntil + later).kind)).toEqual(['resuming', 'accepting'])
  })

  // Guards against a process that a time written in error excludes for as long as it runs.
  test('are left out for a day at most, and not at all for a time of 0', () => {
    const acceptance = createAcceptance()
    expect(acceptance.pause('i-1/0', Infinity, 1000)).toBe(86_401_001)
    expect(acceptance.pause('i-2/0', 0, 1000)).toBeUndefined()
  })

  // Guards against requests in the named time, in a fleet in which many backend servers want nothing at the same time.
  test('are not forgotten before the end, however many others want nothing', () => {
    const names = Array.from({ length: LARGE_FLEET }, (_, index) => `i-${index}/0`)
    const acceptance = createAcceptance()
    for (const name of names) acceptance.pause(name, 3000, 1000)
    expect(names.filter((name) => acceptance.acceptanceOf(name, 3999).kind !== 'paused')).toEqual([])
  })

  // Guards against memory that grows with the number of backend servers that ever wanted nothing.
  test('are forgotten after the end', () => {
    const acceptance = createAcceptance()
    for (let index = 0; index < 10 * LARGE_FLEET; index++) acceptance.pause(`i-${index}/0`, 1000, index * 10)
    expect(acceptance.size).toBeLessThan(2 * LARGE_FLEET)
  })

  // Guards against callers that are told to return before a backend server wants requests, or in a wave just after that.
  test('callers return from the first end on, over half of the time in which they were refused', () => {
    const acceptance = createAcceptance()
    acceptance.pause('i-1/0', 999, 1000)
    acceptance.pause('i-2/0', 9999, 1000)
    const returns = (candidates: readonly BackendState[], now: number, spread: number): number | undefined => returnAt(candidates, acceptance, 1, now, spread)
    expect([0, 0.5].map((spread) => returns([paused, other], 1000, spread))).toEqual([2500, 2600])
    expect([1000, 1200, 1400, 1600, 1800, 1999].map((now) => returns([paused, other], now, 0))).toEqual([2500, 2400, 2300, 2200, 2100, 2000.5])
    expect(returns([other], 1000, 0)).toBe(16_000)
  })

  // Guards against callers that are told to return half an hour after a backend server wants requests again.
  test('callers return from the first end on, over the longest resumption after a long time', () => {
    const acceptance = createAcceptance()
    acceptance.pause('i-1/0', 3_599_999, 0)
    const returns = (now: number, spread: number): number | undefined => returnAt([paused], acceptance, 1, now, spread)
    expect([0, 0.5, 0.99].map((spread) => returns(0, spread))).toEqual([3_600_000, 3_602_500, 3_604_950])
    expect(returns(3_590_000, 0)).toBe(3_605_000)
  })

  test('give callers no time when another one accepts requests, or when all leave', () => {
    const acceptance = createAcceptance()
    acceptance.pause('i-1/0', 3000, 1000)
    expect(returnAt([paused, other], acceptance, 1, 1000, 0)).toBeUndefined()
    acceptance.markLeaving('i-1/0', 1000)
    expect(returnAt([paused], acceptance, 1, 1000, 0)).toBeUndefined()
    expect(selectAccepting([paused], acceptance, request, 1000)).toEqual([])
  })
})
