import { describe, expect, test } from '@jest/globals'
import { createTestBackend } from '../__fixtures__/backends.js'
import { createBackendAcceptance, returnAt, selectAccepting } from '../decisions/backendAcceptance.js'

const DRAIN_MS = 2000

describe('backend servers that leave', () => {
  const leaving = createTestBackend('i-1')
  const other = createTestBackend('i-2')

  // Guards against requests to a leaving backend server where another one can take them.
  test('get no requests while there is another one, also within the drain time', () => {
    const acceptance = createBackendAcceptance()
    expect(acceptance.markLeaving('i-1/0', 1000)).toBe(true)
    expect(acceptance.markLeaving('i-1/0', 1500)).toBe(false)
    expect(selectAccepting([leaving, other], acceptance, { receivedAt: 1000, drainMilliseconds: DRAIN_MS }, 4000)).toEqual([other])
  })

  // Guards against refusals while the only backend server still serves, and against requests after that, however long they waited.
  test('serve requests that were received within the drain time when there is no other one', () => {
    const acceptance = createBackendAcceptance()
    acceptance.markLeaving('i-1/0', 1000)
    acceptance.markLeaving('i-1/0', 1500)
    expect(selectAccepting([leaving], acceptance, { receivedAt: 2999, drainMilliseconds: DRAIN_MS }, 4000)).toEqual([leaving])
    expect(selectAccepting([leaving], acceptance, { receivedAt: 3000, drainMilliseconds: DRAIN_MS }, 4000)).toEqual([])
  })

  test('are told apart by their start time', () => {
    const acceptance = createBackendAcceptance()
    acceptance.markLeaving('i-1/0', 1000)
    const restarted = createTestBackend('i-1', { startedAt: 5 })
    expect(selectAccepting([restarted], acceptance, { receivedAt: 9000, drainMilliseconds: DRAIN_MS }, 4000)).toEqual([restarted])
  })

  // Guards against memory that grows with the number of backend servers that ever left.
  test('are forgotten after a thousand others', () => {
    const acceptance = createBackendAcceptance()
    for (let index = 0; index <= 1000; index++) acceptance.markLeaving(`i-${index}/0`, index)
    expect(acceptance.acceptanceOf('i-0/0', 2000)).toEqual({ kind: 'accepting' })
    expect(acceptance.acceptanceOf('i-1/0', 2000)).toEqual({ kind: 'leaving', since: 1 })
  })
})

describe('backend servers that want nothing for a time', () => {
  const paused = createTestBackend('i-1')
  const other = createTestBackend('i-2')
  const request = { receivedAt: 1000, drainMilliseconds: DRAIN_MS }

  test('get no requests until it ends, also when there is no other one', () => {
    const acceptance = createBackendAcceptance()
    const until = acceptance.pause('i-1/0', 3000, 1000) ?? 0
    expect(until).toBe(4001)
    expect(selectAccepting([paused, other], acceptance, request, until - 1)).toEqual([other])
    expect(selectAccepting([paused], acceptance, request, until - 1)).toEqual([])
    expect(selectAccepting([paused], acceptance, request, until)).toEqual([paused])
  })

  // Guards against a time that ends early because responses to concurrent requests arrive in another order.
  test('keep the latest end that they named', () => {
    const acceptance = createBackendAcceptance()
    acceptance.pause('i-1/0', 3000, 1000)
    expect(acceptance.pause('i-1/0', 500, 1100)).toBeUndefined()
    expect(acceptance.acceptanceOf('i-1/0', 4000)).toEqual({ kind: 'paused', until: 4001 })
    expect(acceptance.pause('i-1/0', 3000, 1100)).toBe(4101)
  })

  test('are told apart by their start time', () => {
    const acceptance = createBackendAcceptance()
    acceptance.pause('i-1/0', 3000, 1000)
    expect(acceptance.acceptanceOf('i-1/5', 1000)).toEqual({ kind: 'accepting' })
  })

  // Guards against a process that a time written in error excludes for as long as it runs.
  test('are left out for a day at most, and not at all for a time of 0', () => {
    const acceptance = createBackendAcceptance()
    expect(acceptance.pause('i-1/0', Infinity, 1000)).toBe(86_401_001)
    expect(acceptance.pause('i-2/0', 0, 1000)).toBeUndefined()
  })

  // Guards against callers that are told to return before a backend server wants requests, or all at the same moment.
  test('callers return from the first end on, within a quarter of the remaining time or half a second', () => {
    const acceptance = createBackendAcceptance()
    acceptance.pause('i-1/0', 999, 1000)
    acceptance.pause('i-2/0', 9999, 1000)
    expect([0, 0.5, 0.99].map((spread) => returnAt([paused, other], acceptance, 1000, spread))).toEqual([2000, 2125, 2247.5])
    expect([0, 0.5].map((spread) => returnAt([other], acceptance, 1000, spread))).toEqual([11_000, 11_250])
  })

  test('give callers no time when another one accepts requests, or when all leave', () => {
    const acceptance = createBackendAcceptance()
    acceptance.pause('i-1/0', 3000, 1000)
    expect(returnAt([paused, other], acceptance, 1000, 0)).toBeUndefined()
    acceptance.markLeaving('i-1/0', 1000)
    expect(returnAt([paused], acceptance, 1000, 0)).toBeUndefined()
    expect(selectAccepting([paused], acceptance, request, 1000)).toEqual([])
  })
})
