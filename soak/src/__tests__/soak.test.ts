import { describe, expect, test } from '@jest/globals'
import { planFaults } from '../faultPlan.js'
import { checkPromises, wholeBody, type CallerRecord, type Observations } from '../promises.js'
import { runSoak } from '../soakRun.js'

/** Seeds played at each landing. With a guard taken out, the first finds an overspent budget and a cut stop, the second a second run. */
const SEEDS = [1000, 1011] as const
const EVENTS = 3

function createRecord (changes: Partial<CallerRecord> = {}): CallerRecord {
  const kind = changes.kind ?? 'once'
  return { attempt: 'attempt-1', kind, sentAt: 100, gateway: 0, lifetime: 0, configurationPath: undefined, answeredAt: 200, status: 200, body: wholeBody(kind, 'attempt-1', EVENTS), complete: true, ...changes }
}

function findBroken (callers: readonly CallerRecord[], changes: Partial<Observations> = {}): readonly string[] {
  const seen: Observations = { callers, runs: [], prepaidTokens: 1000, promptTokens: 100, tokensPerEvent: 5, eventsOfStream: EVENTS, plannedStops: [], harmed: [], ...changes }
  return [...checkPromises(seen)].map(({ promise }) => promise)
}

describe('the checks of the soak', () => {
  const run = { attempt: 'attempt-1', at: 150, backend: 0 }

  test('what is as promised passes', () => {
    expect(findBroken([createRecord(), createRecord({ kind: 'stream' })], { runs: [run] })).toEqual([])
  })

  test('an overspent budget is found', () => {
    expect(findBroken([createRecord({ kind: 'stream' })], { runs: [run], prepaidTokens: 114 })).toEqual(['budget'])
    expect(findBroken([createRecord({ kind: 'stream' })], { runs: [run], prepaidTokens: 115 })).toEqual([])
  })

  test('a second run is found, and a run behind a refusal', () => {
    expect(findBroken([createRecord()], { runs: [run, run] })).toEqual(['once'])
    expect(findBroken([createRecord({ status: 503 })], { runs: [run] })).toEqual(['refusal'])
  })

  test('an answer of another request is found, and a shortened one that looks whole', () => {
    expect(findBroken([createRecord({ body: 'answer to attempt-2' })])).toEqual(['whole'])
    expect(findBroken([createRecord({ kind: 'stream', body: wholeBody('stream', 'attempt-1', EVENTS - 1) })])).toEqual(['whole'])
  })

  test('an answer that a planned stop cuts is found unless something else was harmed', () => {
    const plannedStops = [{ gateway: 0, lifetime: 0, from: 150 }]
    expect(findBroken([createRecord({ complete: false })], { plannedStops })).toEqual(['plannedStop'])
    expect(findBroken([createRecord({ complete: false })], { plannedStops, harmed: [{ from: 140, to: 300, cutsAnswers: true }] })).toEqual([])
  })

  test('a configuration that goes back is found', () => {
    const served = createRecord({ kind: 'repeatable', configurationPath: 2 })
    expect(findBroken([served, { ...served, sentAt: 300, answeredAt: 310, status: 404 }])).toEqual(['configuration'])
    expect(findBroken([served, { ...served, sentAt: 300, answeredAt: 310, status: 404, lifetime: 1 }])).toEqual([])
  })

  test('a fleet that does not recover is found', () => {
    expect(findBroken(Array.from({ length: 20 }, () => createRecord({ sentAt: 9000, status: 504 })))).toEqual(['recovery'])
  })
})

describe('plans', () => {
  test('the same seed gives the same plan, in order of time', () => {
    expect(planFaults(7)).toEqual(planFaults(7))
    expect(planFaults(7)).not.toEqual(planFaults(8))
    const times = planFaults(7).map(({ at }) => at)
    expect(times).toEqual([...times].sort((left, right) => left - right))
  })
})

describe('real processes under faults', () => {
  test.each(SEEDS)('seed %d keeps all promises', async (seed) => {
    const report = await runSoak(planFaults(seed))
    expect(report.broken).toEqual([])
    expect(report.statuses['200']).toBeGreaterThan(0)
  }, 40_000)
})
