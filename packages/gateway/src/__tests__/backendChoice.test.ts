import { describe, expect, test } from '@jest/globals'
import { createTestBackend, createLongPrompt } from '../__fixtures__/backends.js'
import { chooseBackend, type Choice } from '../decisions/backendChoice.js'
import { resetProcessState, recordObservation, markPartsCached, type BackendState } from '../decisions/backendState.js'

const NOW = 100_000

function createBackends (count: number): BackendState[] {
  return Array.from({ length: count }, (_, index) => createTestBackend(`server-${index}`))
}

function choosePrompt (states: readonly BackendState[], shared: string, isRetryable = true): Choice {
  const choice = chooseBackend(states, { prompt: createLongPrompt(shared, 'own'), isRetryable, failureDomain: 'north' }, NOW, 0)
  if (choice === undefined) throw new Error('nothing was chosen')
  return choice
}

function choosePlain (states: readonly BackendState[], isRetryable = true, failureDomain = 'north'): BackendState {
  const choice = chooseBackend(states, { prompt: undefined, isRetryable, failureDomain }, NOW, 0)
  if (choice === undefined) throw new Error('nothing was chosen')
  return choice.state
}

function addPending (state: BackendState, count: number, prefillTokens: number, sentAt = NOW): void {
  for (let index = 0; index < count; index++) state.pending.add({ sentAt, prefillTokens, answered: false })
}

describe('pattern: long prompts with shared parts, over instances that do not talk', () => {
  test('each shared part has one home, the same at every instance', () => {
    for (const shared of ['school', 'museum', 'festival']) {
      expect(choosePrompt(createBackends(6), shared).state.entry.id).toBe(choosePrompt(createBackends(6).reverse(), shared).state.entry.id)
    }
  })

  test('homes of many shared parts spread over the backend servers', () => {
    const states = createBackends(6)
    const counts = new Map<string, number>()
    for (let part = 0; part < 600; part++) {
      const { id } = choosePrompt(states, `part-${part}`).state.entry
      counts.set(id, (counts.get(id) ?? 0) + 1)
    }
    expect(counts.size).toBe(6)
    expect(Math.max(...counts.values())).toBeLessThan(150)
  })

  test('the loss of one backend server moves only the homes that it had', () => {
    const states = createBackends(6)
    const lost = states[2]
    for (let part = 0; part < 100; part++) {
      const before = choosePrompt(states, `part-${part}`).state
      const after = choosePrompt(states.filter((state) => state !== lost), `part-${part}`).state
      if (before !== lost) expect(after).toBe(before)
    }
  })

  test('a home with much prefill ahead loses the request', () => {
    const states = createBackends(6)
    const home = choosePrompt(states, 'school').state
    addPending(home, 12, 9000)
    expect(choosePrompt(states, 'school').state).not.toBe(home)
  })

  test('a backend server that has the parts beats one that has not', () => {
    const states = createBackends(2)
    const home = choosePrompt(states, 'school').state
    const other = states.find((state) => state !== home)
    if (other === undefined) throw new Error('no second backend server')
    markPartsCached(other, createLongPrompt('school', 'x').parts, NOW + 8000)
    addPending(home, 3, 2000)
    expect(choosePrompt(states, 'school').state).toBe(other)
    resetProcessState(other)
    expect(choosePrompt(states, 'school').prefillTokens).toBeGreaterThan(0)
  })
})

describe('pattern: backend servers in trouble', () => {
  test('one that fails is used less, least for requests that run once', () => {
    const states = createBackends(2)
    const [first] = states
    if (first === undefined) throw new Error('no backend server')
    recordObservation(first, { kind: 'broken' }, NOW)
    expect(choosePlain(states, false)).not.toBe(first)
    expect(choosePlain(states, true)).not.toBe(first)
  })

  test('one that could not be reached is avoided and tried again later', () => {
    const states = createBackends(2)
    const [first, second] = states
    if (first === undefined || second === undefined) throw new Error('no backend servers')
    recordObservation(first, { kind: 'unreachable' }, NOW)
    expect(first.avoidedUntil).toBeGreaterThan(NOW)
    expect(choosePlain(states)).toBe(second)
    expect(first.avoidedUntil).toBeLessThanOrEqual(NOW + 4000)
  })

  test('one that is silent while requests wait there is avoided although it never failed', () => {
    const states = createBackends(2)
    const [first, second] = states
    if (first === undefined || second === undefined) throw new Error('no backend servers')
    addPending(first, 1, 0, NOW - 2000)
    addPending(second, 3, 0, NOW)
    expect(choosePlain(states)).toBe(second)
  })

  test('one that answers slowly is avoided for a while', () => {
    const states = createBackends(2)
    const [first] = states
    if (first === undefined) throw new Error('no backend server')
    for (let index = 0; index < 5; index++) recordObservation(first, { kind: 'answered', delayMilliseconds: 900, expectedMilliseconds: 120 }, NOW)
    expect(choosePlain(states)).not.toBe(first)
  })

  test('all are used when none is sound', () => {
    const states = createBackends(1)
    const [only] = states
    if (only === undefined) throw new Error('no backend server')
    recordObservation(only, { kind: 'unreachable' }, NOW)
    expect(choosePlain(states)).toBe(only)
    expect(chooseBackend([], { prompt: undefined, isRetryable: true, failureDomain: 'north' }, NOW, 0)).toBeUndefined()
  })
})

describe('pattern: small services with few slots', () => {
  test('the least busy one is chosen, the own failure domain among equals', () => {
    const states = [createTestBackend('a', { failureDomain: 'south', slots: 6 }), createTestBackend('b', { failureDomain: 'north', slots: 6 })]
    expect(choosePlain(states).entry.id).toBe('b')
    const [, near] = states
    if (near === undefined) throw new Error('no backend server')
    addPending(near, 5, 0)
    expect(choosePlain(states).entry.id).toBe('a')
  })

  test('a reported load counts until it is old', () => {
    const states = createBackends(2)
    const [first, second] = states
    if (first === undefined || second === undefined) throw new Error('no backend servers')
    first.reportedLoad = { running: 8, waiting: 6, slots: 8, receivedAt: NOW, attemptsAtReceipt: 0 }
    expect(choosePlain(states)).toBe(second)
    first.reportedLoad = { ...first.reportedLoad, receivedAt: NOW - 10_000 }
    expect(choosePlain(states)).toBe(first)
  })
})
