import { afterEach, beforeEach, describe, expect, jest, test } from '@jest/globals'
import { createTestBackend } from '../__fixtures__/backends.js'
import { createRecordingLog, type RecordingLog } from '../__fixtures__/recordingLog.js'
import { steadyNow } from '../clock.js'
import { backendProcessOf, resetProcessState, type BackendState } from '../decisions/backendState.js'
import type { ColdStart, FleetConfiguration, NamedCold } from '../fleetConfiguration.js'
import { startColdBackends, type ColdBackends } from '../tasks/coldBackends.js'

const REVIEW_MS = 300
const COLD_START_MS = 8000

let log: RecordingLog
let backend: BackendState
let start: ColdStart | undefined
let coldBackends: ColdBackends

beforeEach(() => {
  jest.useFakeTimers()
  log = createRecordingLog()
  backend = createTestBackend('server', { startedAt: 7, sequence: 1, cold: { kind: 'named', milliseconds: 0 } })
  start = { kind: 'named', milliseconds: COLD_START_MS, requestsPerSecond: 3 }
  coldBackends = startColdBackends({
    log,
    findBackend: () => backend,
    listedBackends: () => [backend],
    findService: (name) => ({ name, maximumConnections: 1, engine: undefined, healthPath: '', cold: start })
  })
})
afterEach(() => {
  coldBackends.stop()
  jest.useRealTimers()
})

/** Lists the entry with a cold period, as the backend task does. */
function list (cold: NamedCold, changes: Partial<BackendState['entry']> = {}): void {
  const previous = backend.entry
  if (changes.startedAt !== undefined) resetProcessState(backend)
  backend.entry = { ...previous, sequence: (previous.sequence ?? 0) + 1, cold, ...changes }
  coldBackends.noteListed(backend.entry, previous)
}

const isLimited = (): boolean => coldBackends.limitOf(backend, steadyNow()) !== undefined
const named = (milliseconds: number): NamedCold => ({ kind: 'named', milliseconds })
const logged = (name: string): readonly unknown[] => log.lines.filter((line) => line.name === name).map(({ fields }) => fields)

describe('a backend server whose entry says that it is cold', () => {
  // Guards against requests without limit until a timer has noticed the cold period, and in the second after it.
  test('is limited at once and for a second after the cold period, and its start and end are logged', async () => {
    list(named(5000))
    expect(coldBackends.limitOf(backend, steadyNow())).toEqual({ requestsPerSecond: 3, until: steadyNow() + 5000 })
    for (const isGranted of [true, true, false]) coldBackends.notePermit(backend, isGranted)
    await jest.advanceTimersByTimeAsync(5990)
    expect(isLimited()).toBe(true)
    await jest.advanceTimersByTimeAsync(20)
    expect(isLimited()).toBe(false)
    await jest.advanceTimersByTimeAsync(REVIEW_MS)
    expect(logged('backendCold')).toMatchObject([{ backend: 'server', requestsPerSecond: 3 }])
    expect(logged('backendWarm')).toMatchObject([{ backend: 'server', granted: 2, denied: 1 }])
  })

  test('is limited again when it turns cold again under the same start time', async () => {
    list(named(1000))
    await jest.advanceTimersByTimeAsync(5000)
    expect(isLimited()).toBe(false)
    list(named(1000))
    expect(isLimited()).toBe(true)
    await jest.advanceTimersByTimeAsync(REVIEW_MS)
    expect(logged('backendCold').length).toBe(2)
  })

  test('keeps the latest end, also when a later entry names an earlier one', () => {
    list(named(5000))
    list(named(1000))
    list(named(0))
    expect(coldBackends.limitOf(backend, steadyNow())?.until).toBe(steadyNow() + 5000)
  })

  // Guards against an entry that was written once and is read again after each outage of the store.
  test('is not cold for longer when the same entry is read again', async () => {
    list(named(5000))
    await jest.advanceTimersByTimeAsync(4000)
    coldBackends.noteListed(backend.entry, backend.entry)
    expect(coldBackends.limitOf(backend, steadyNow())?.until).toBe(steadyNow() + 1000)
  })

  test('is not limited as a new process that is warm', () => {
    list(named(50_000))
    list(named(0), { startedAt: 9 })
    expect(isLimited()).toBe(false)
  })

  test('is limited by the time that its service names when the entry of a new process names none', async () => {
    list({ kind: 'none' }, { startedAt: steadyNow() - 2000 })
    expect(coldBackends.limitOf(backend, steadyNow())?.until).toBe(steadyNow() + COLD_START_MS - 2000)
    // A clock that is ahead makes it no longer than usual.
    list({ kind: 'none' }, { startedAt: steadyNow() + 1_000_000 })
    expect(coldBackends.limitOf(backend, steadyNow())?.until).toBe(steadyNow() + COLD_START_MS)
  })

  test('takes all requests when its service has no limit', async () => {
    list(named(5000))
    for (const without of [undefined, { kind: 'named', milliseconds: COLD_START_MS, requestsPerSecond: 0 }, { kind: 'unreadable', value: '-1' }] as const) {
      start = without
      expect(isLimited()).toBe(false)
    }
  })
})

describe('a response', () => {
  test('of the process that was asked makes it cold', () => {
    coldBackends.noteResponse(backend, 'server/6', named(5000))
    expect(isLimited()).toBe(false)
    coldBackends.noteResponse(backend, backendProcessOf(backend.entry), named(5000))
    expect(isLimited()).toBe(true)
  })
})

// Guards against a value that is no time and makes a backend server cold, ends its cold period or fills the log.
test('an invalid cold period or rate is logged once and changes nothing', () => {
  list(named(5000))
  for (let round = 0; round < 2; round++) {
    list({ kind: 'unreadable', value: '-3' })
    coldBackends.noteResponse(backend, backendProcessOf(backend.entry), { kind: 'unreadable', value: 'soon' })
    coldBackends.noteConfiguration({ services: [{ name: 'model', maximumConnections: 1, engine: undefined, healthPath: '', cold: { kind: 'unreadable', value: 'cold_per_s -1' } }] } as unknown as FleetConfiguration)
  }
  expect(logged('coldPeriodInvalid')).toMatchObject([{ value: '-3' }, { value: 'soon' }, { value: 'cold_per_s -1' }])
  expect(coldBackends.limitOf(backend, steadyNow())?.until).toBe(steadyNow() + 5000)
})
