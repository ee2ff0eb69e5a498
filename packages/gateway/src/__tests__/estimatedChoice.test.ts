import { describe, expect, test } from '@jest/globals'
import { createLongPrompt, createTestBackend } from '../__fixtures__/backends.js'
import { createSeededRandom } from '../__fixtures__/seededRandom.js'
import { backendProcessOf, type BackendState } from '../decisions/backendState.js'
import { chooseByEstimate, hasTooFewReports, type EstimateInput } from '../decisions/estimatedChoice.js'
import type { OthersLoad } from '../decisions/fleetLoads.js'
import { createServiceTiming } from '../decisions/serviceTiming.js'
import type { PromptSize } from '../ports.js'

const NOW = 100_000
const INSTANCES = 70
const ENGINES = 42
const SLOTS = 32
const SHORT_PROMPT: PromptSize = { model: 'm', inputTokens: 826, maximumOutputTokens: 300, parts: [{ id: 'system', tokens: 119 }, { id: 'question', tokens: 79 }, { id: 'own', tokens: 628 }] }

function createEngines (count = ENGINES): BackendState[] {
  return Array.from({ length: count }, (_, index) => createTestBackend(`engine-${index}`, { slots: SLOTS }))
}

function createLoad (changes: Partial<OthersLoad> = {}): OthersLoad {
  return { requests: 8, unansweredTokens: 500, logRatio: 0, ratioCount: 0, report: undefined, asOf: NOW, ...changes }
}

interface Load {
  readonly prompt?: PromptSize | undefined
  readonly hasIdleConnection?: (address: string) => boolean
  /** Figures of single backend servers; all others have the usual load. */
  readonly others?: ReadonlyMap<string, OthersLoad>
  readonly random?: () => number
  readonly target?: number
}

function createInput ({ prompt, others = new Map(), random = createSeededRandom(7), target = 257, hasIdleConnection = () => true }: Load): EstimateInput {
  return {
    request: { prompt, isRetryable: true, failureDomain: 'north' },
    service: 'model',
    latencyTargetMilliseconds: target,
    loads: {
      othersAt: (backendProcess) => others.get(backendProcess) ?? createLoad(),
      service: () => ({ requests: 8, unansweredTokens: 500, sentPerSecond: 235, rejectedPerSecond: 0, instances: INSTANCES, asOf: NOW })
    },
    timing: createServiceTiming(),
    hasIdleConnection,
    random,
    now: NOW
  }
}

function choose (states: readonly BackendState[], input: EstimateInput): BackendState {
  const choice = chooseByEstimate(states, input)
  if (choice === undefined) throw new Error('nothing was chosen')
  return choice.state
}

/** Counts, by ID, what as many instances choose that all have the same figures. */
function countChoices (load: Load, states: readonly BackendState[], choices = 700): Map<string, number> {
  const input = createInput(load)
  const counts = new Map<string, number>()
  for (let index = 0; index < choices; index++) {
    const { id } = choose(states, input).entry
    counts.set(id, (counts.get(id) ?? 0) + 1)
  }
  return counts
}

function figuresOf (state: BackendState, changes: Partial<OthersLoad>): ReadonlyMap<string, OthersLoad> {
  return new Map([[backendProcessOf(state.entry), createLoad(changes)]])
}

describe('many instances that receive a response from each engine every ten seconds', () => {
  // Guards against one popular prompt that all instances send to one engine until its slots are taken and its requests wait for seconds.
  test('a prompt leaves the engine that has its parts when other instances have taken its slots', () => {
    const states = createEngines()
    const preferred = choose(states, createInput({ prompt: SHORT_PROMPT, random: () => 0.999 }))
    const counts = countChoices({ prompt: SHORT_PROMPT, others: figuresOf(preferred, { requests: 55, unansweredTokens: 12_000 }) }, states)
    expect(counts.get(preferred.entry.id) ?? 0).toBe(0)
  })

  // Guards against long prompts that are read again at another engine each time, although the one that has them can answer in time.
  test('a long prompt goes where its shared parts are while it is answered there in time', () => {
    const states = createEngines()
    const prompt = createLongPrompt('score', 'own')
    const counts = countChoices({ prompt, target: 1215 }, states)
    expect(Math.max(...counts.values())).toBe(700)
  })

  // Guards against a popular long prompt that spreads over all engines, each of which reads it anew, when one has too much to do.
  test('a long prompt whose engine is too busy goes to the same few others from all instances', () => {
    const states = createEngines()
    const prompt = createLongPrompt('score', 'own')
    const preferred = choose(states, createInput({ prompt, target: 1215 }))
    const counts = countChoices({ prompt, target: 1215, others: figuresOf(preferred, { requests: 40, unansweredTokens: 90_000 }) }, states)
    expect(counts.get(preferred.entry.id) ?? 0).toBe(0)
    expect(counts.size).toBeLessThanOrEqual(2)
  })

  // Guards against short requests that wait behind long prompts although other engines read none.
  test('a short request avoids engines that have long prompts before them', () => {
    const states = createEngines()
    const reading = new Map(states.slice(0, 14).map((state) => [backendProcessOf(state.entry), createLoad({ unansweredTokens: 18_000 })]))
    const counts = countChoices({ prompt: SHORT_PROMPT, others: reading }, states)
    const atReading = states.slice(0, 14).reduce((sum, { entry }) => sum + (counts.get(entry.id) ?? 0), 0)
    expect(atReading / 700).toBeLessThan(0.05)
  })

  // Guards against all instances that send to the one engine which was idle when the shared figures were taken.
  test('an engine that looks idle to all instances gets a small part of the requests', () => {
    const states = createEngines()
    const idle = states[5]
    if (idle === undefined) throw new Error('no engine')
    const counts = countChoices({ prompt: { ...SHORT_PROMPT, parts: [] }, others: figuresOf(idle, { requests: 0, unansweredTokens: 0 }) }, states)
    expect((counts.get(idle.entry.id) ?? 0) / 700).toBeLessThan(0.2)
  })

  // Guards against slow engines that get as much as fast ones, or nothing at all.
  test('engines that take three times as long get less than others, but not nothing', () => {
    const states = createEngines()
    const slow = new Map(states.slice(0, 14).map((state) => [backendProcessOf(state.entry), createLoad({ logRatio: Math.log(3), ratioCount: 20 })]))
    const counts = countChoices({ prompt: { ...SHORT_PROMPT, parts: [] }, others: slow }, states, 4000)
    const atSlow = states.slice(0, 14).reduce((sum, { entry }) => sum + (counts.get(entry.id) ?? 0), 0) / 4000
    expect(atSlow).toBeGreaterThan(0)
    expect(atSlow).toBeLessThan(1 / 6)
  })

  // Guards against a new connection for nearly each short request, whose handshake takes longer than reading its few shared tokens.
  test('a short request goes to an engine to which a connection is open, while others are compared too', () => {
    const states = createEngines().map((state, index) => Object.assign(state, { entry: { ...state.entry, address: `127.0.0.1:${index}` } }))
    const connected = new Set(states.slice(0, 10).map(({ entry }) => entry.address))
    const counts = countChoices({ prompt: SHORT_PROMPT, hasIdleConnection: (address) => connected.has(address) }, states)
    const atConnected = states.slice(0, 10).reduce((sum, { entry }) => sum + (counts.get(entry.id) ?? 0), 0)
    expect(atConnected / 700).toBeGreaterThan(0.9)
    const busy = new Map(states.slice(0, 10).map((state) => [backendProcessOf(state.entry), createLoad({ requests: 40 })]))
    const whileBusy = countChoices({ prompt: SHORT_PROMPT, others: busy, hasIdleConnection: (address) => connected.has(address) }, states)
    expect(states.slice(0, 10).reduce((sum, { entry }) => sum + (whileBusy.get(entry.id) ?? 0), 0) / 700).toBeLessThan(0.3)
  })

  // Guards against engines of which nothing is known that are taken for idle.
  test('an engine without figures counts as one with the mean load', () => {
    const states = createEngines(2)
    const input = createInput({ prompt: { ...SHORT_PROMPT, parts: [] } })
    const known = states[0]
    if (known === undefined) throw new Error('no engine')
    const loads = { ...input.loads, othersAt: (backendProcess: string) => backendProcess === backendProcessOf(known.entry) ? createLoad({ requests: 2, unansweredTokens: 0 }) : undefined }
    expect(choose(states, { ...input, loads })).toBe(known)
  })
})

describe('plain services with few slots before many instances', () => {
  // Guards against requests of all instances that swing from one server to the next with each set of figures.
  test('the server with the fewest requests does not get those of all instances', () => {
    const states = Array.from({ length: 3 }, (_, index) => createTestBackend(`server-${index}`, { slots: 6 }))
    const others = new Map(states.map((state, index) => [backendProcessOf(state.entry), createLoad({ requests: index * 3, unansweredTokens: 0 })]))
    const counts = countChoices({ others }, states, 3000)
    expect((counts.get('server-0') ?? 0) / 3000).toBeLessThan(0.7)
    expect(counts.get('server-2') ?? 0).toBeLessThan(counts.get('server-0') ?? 0)
    expect(counts.get('server-2') ?? 0).toBeGreaterThan(0)
  })

  // Guards against small fleets that leave the choice by their own responses, which are newer than shared figures.
  test('shared figures are used only where an instance knows too little itself', () => {
    const states = Array.from({ length: 3 }, (_, index) => createTestBackend(`server-${index}`, { slots: 6 }))
    const input = createInput({})
    const small = { ...input, loads: { ...input.loads, service: () => ({ requests: 2, unansweredTokens: 0, sentPerSecond: 20, rejectedPerSecond: 0, instances: 9, asOf: NOW }) } }
    expect(hasTooFewReports(states, input)).toBe(true)
    expect(hasTooFewReports(states, small)).toBe(false)
    expect(hasTooFewReports(states, { ...input, loads: { ...input.loads, service: () => undefined } })).toBe(false)
  })
})
