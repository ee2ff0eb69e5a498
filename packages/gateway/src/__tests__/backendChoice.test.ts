import { describe, expect, test } from '@jest/globals'
import { createLongPrompt, createTestBackend } from '../__fixtures__/backends.js'
import { chooseBackend, type Choice } from '../decisions/backendChoice.js'
import { markPartsCached, recordObservation, resetProcessState, type BackendState } from '../decisions/backendState.js'

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

describe('long prompts with shared parts at instances that do not coordinate', () => {
  // Guards against prompts that are read anew at each request because their part is at home where only a few requests may go.
  test('a backend server that denied a permit a moment ago is no home of parts', () => {
    const states = createBackends(4)
    const { state: home } = choosePrompt(states, 'subject')
    home.lastDeniedAt = NOW - 1999
    expect(choosePrompt(states, 'subject').state).not.toBe(home)
    home.lastDeniedAt = NOW - 2000
    expect(choosePrompt(states, 'subject').state).toBe(home)
  })

  test('all instances select the same backend server for a shared part', () => {
    for (const shared of ['school', 'museum', 'festival']) {
      expect(choosePrompt(createBackends(6), shared).state.entry.id).toBe(choosePrompt(createBackends(6).reverse(), shared).state.entry.id)
    }
  })

  test('many shared parts are distributed over all backend servers', () => {
    const states = createBackends(6)
    const counts = new Map<string, number>()
    for (let part = 0; part < 600; part++) {
      const { id } = choosePrompt(states, `part-${part}`).state.entry
      counts.set(id, (counts.get(id) ?? 0) + 1)
    }
    expect(counts.size).toBe(6)
    expect(Math.max(...counts.values())).toBeLessThan(150)
  })

  test('the loss of one backend server reassigns only the shared parts that it served', () => {
    const states = createBackends(6)
    const lost = states[2]
    for (let part = 0; part < 100; part++) {
      const before = choosePrompt(states, `part-${part}`).state
      const after = choosePrompt(states.filter((state) => state !== lost), `part-${part}`).state
      if (before !== lost) expect(after).toBe(before)
    }
  })

  test('a large prefill backlog at the affinity backend server sends the request elsewhere', () => {
    const states = createBackends(6)
    const affinityBackend = choosePrompt(states, 'school').state
    addPending(affinityBackend, 12, 9000)
    expect(choosePrompt(states, 'school').state).not.toBe(affinityBackend)
  })

  test('a backend server with the parts in its cache is preferred until it restarts', () => {
    const states = createBackends(2)
    const affinityBackend = choosePrompt(states, 'school').state
    const other = states.find((state) => state !== affinityBackend)
    if (other === undefined) throw new Error('no second backend server')
    markPartsCached(other, createLongPrompt('school', 'x').parts, NOW + 8000)
    addPending(affinityBackend, 3, 2000)
    expect(choosePrompt(states, 'school').state).toBe(other)
    resetProcessState(other)
    expect(choosePrompt(states, 'school').prefillTokens).toBeGreaterThan(0)
  })
})

describe('failing backend servers', () => {
  test('a backend server with a recent failure is not selected over a healthy one', () => {
    const states = createBackends(2)
    const [first] = states
    if (first === undefined) throw new Error('no backend server')
    recordObservation(first, { kind: 'broken' }, NOW)
    expect(choosePlain(states, false)).not.toBe(first)
    expect(choosePlain(states, true)).not.toBe(first)
  })

  test('an unreachable backend server is avoided for a limited time', () => {
    const states = createBackends(2)
    const [first, second] = states
    if (first === undefined || second === undefined) throw new Error('no backend servers')
    recordObservation(first, { kind: 'unreachable' }, NOW)
    expect(first.avoidedUntil).toBeGreaterThan(NOW)
    expect(choosePlain(states)).toBe(second)
    expect(first.avoidedUntil).toBeLessThanOrEqual(NOW + 4000)
  })

  test('a backend server that leaves requests unanswered is avoided although none has failed', () => {
    const states = createBackends(2)
    const [first, second] = states
    if (first === undefined || second === undefined) throw new Error('no backend servers')
    addPending(first, 1, 0, NOW - 2000)
    addPending(second, 3, 0, NOW)
    expect(choosePlain(states)).toBe(second)
  })

  test('a backend server that answers slowly is avoided', () => {
    const states = createBackends(2)
    const [first] = states
    if (first === undefined) throw new Error('no backend server')
    for (let index = 0; index < 5; index++) recordObservation(first, { kind: 'answered', delayMilliseconds: 900, expectedMilliseconds: 120 }, NOW)
    expect(choosePlain(states)).not.toBe(first)
  })

  test('an avoided backend server is still selected when there is no other', () => {
    const states = createBackends(1)
    const [only] = states
    if (only === undefined) throw new Error('no backend server')
    recordObservation(only, { kind: 'unreachable' }, NOW)
    expect(choosePlain(states)).toBe(only)
    expect(chooseBackend([], { prompt: undefined, isRetryable: true, failureDomain: 'north' }, NOW, 0)).toBeUndefined()
  })
})

describe('small services with few slots', () => {
  test('the least busy backend server is selected, among equals one in the same failure domain', () => {
    const states = [createTestBackend('a', { failureDomain: 'south', slots: 6 }), createTestBackend('b', { failureDomain: 'north', slots: 6 })]
    expect(choosePlain(states).entry.id).toBe('b')
    const [, near] = states
    if (near === undefined) throw new Error('no backend server')
    addPending(near, 5, 0)
    expect(choosePlain(states).entry.id).toBe('a')
  })

  test('a reported load is ignored once it is outdated', () => {
    const states = createBackends(2)
    const [first, second] = states
    if (first === undefined || second === undefined) throw new Error('no backend servers')
    first.reportedLoad = { running: 8, waiting: 6, slots: 8, workPercent: 100, receivedAt: NOW, attemptsAtReceipt: 0 }
    expect(choosePlain(states)).toBe(second)
    first.reportedLoad = { ...first.reportedLoad, receivedAt: NOW - 10_000 }
    expect(choosePlain(states)).toBe(first)
  })
})
