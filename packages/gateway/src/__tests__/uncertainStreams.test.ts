import { afterEach, beforeEach, describe, expect, jest, test } from '@jest/globals'
import { CALLER_TIMEOUT_MS, findVersion, homesOf, INSTANCES, startStreamFleet, type StreamFleet } from '../__fixtures__/streamFleet.js'
import { steadyNow } from '../clock.js'
import type { StartEvidence, StreamOrigin, StreamStart } from '../decisions/streamOrigins.js'
import type { StreamReport } from '../decisions/streamReport.js'

const TELL_MS = 300

let fleet: StreamFleet
/** Processes that are proven to be at the end of their connections. */
let proven: Set<string>
let messages: number

beforeEach(() => {
  jest.useFakeTimers()
  proven = new Set()
  messages = 0
  fleet = startStreamFleet(() => {
    messages++
    return { kind: 'none' }
  }, ({ backendProcess }) => proven.has(backendProcess))
  fleet.list('old', 'v1')
})
afterEach(() => { jest.useRealTimers() })

async function listSecondVersion (): Promise<void> {
  fleet.list('new', 'v2')
  await jest.advanceTimersByTimeAsync(1000)
  messages = 0
}

function createEvidence (wasSuspect: boolean): StartEvidence {
  return { kind: 'connection', connection: { backendProcess: 'old/1', establishedAt: steadyNow() }, wasSuspect }
}

function createStart (evidence: StartEvidence, at = steadyNow()): StreamStart {
  return { kind: 'begun', service: 'model', version: 'v1', backendId: 'old', at, evidence }
}

/** What the homes know of a stream, apart from the instance that serves it. */
function knownAtHomes (attemptId: string): readonly (StreamOrigin | undefined)[] {
  return homesOf(fleet, attemptId).filter((index) => index !== 0).map((index) => fleet.instances[index]?.streams.originOf(attemptId))
}

function certaintiesAtHomes (attemptId: string): readonly StreamOrigin['certainty'][] {
  return knownAtHomes(attemptId).map((origin) => origin?.certainty)
}

describe('a stream on a connection that is not proven', () => {
  // Guards against homes that bind a stream to the version of a predecessor of the process which began it.
  test('is told to its homes only once it is, and then as certain', async () => {
    await listSecondVersion()
    fleet.begin(0, 'stream', 'old', createEvidence(false))
    await jest.advanceTimersByTimeAsync(5000)
    expect(knownAtHomes('stream').filter((origin) => origin !== undefined)).toEqual([])
    expect(messages).toBe(0)
    proven.add('old/1')
    await jest.advanceTimersByTimeAsync(TELL_MS)
    expect(new Set(certaintiesAtHomes('stream'))).toEqual(new Set(['certain']))
    fleet.kill(0)
    for (let index = 1; index < INSTANCES; index++) expect(await findVersion(fleet, index, 'stream')).toBe('v1')
  })

  // Guards against a caller that takes the stream up at an instance which has not read of the restart, and binds it to the listed version.
  test('goes on nowhere once it is known that another process than the listed one began it', async () => {
    fleet.begin(0, 'stream', 'old', createEvidence(false))
    const refuted = fleet.instances[0]?.streams.refute('stream')
    await jest.advanceTimersByTimeAsync(10)
    await refuted
    expect(new Set(certaintiesAtHomes('stream'))).toEqual(new Set(['uncertain']))
    // A later proof of the connection is that of the process which is listed by then.
    proven.add('old/1')
    await jest.advanceTimersByTimeAsync(1000)
    for (let index = 0; index < INSTANCES; index++) expect(await findVersion(fleet, index, 'stream')).toBeUndefined()
    // An instance that does not know of certainty finds no backend server of this version.
    expect(new Set(knownAtHomes('stream').map((origin) => origin?.version))).toEqual(new Set(['(unknown)']))
  })

  // Guards against many uncertain streams whose homes are found again and again, without a pause.
  test('costs no further search for its homes while nothing new is known of it', async () => {
    await listSecondVersion()
    for (let index = 0; index < 200; index++) fleet.begin(0, `stream${index}`, 'old', createEvidence(index % 2 === 0))
    await jest.advanceTimersByTimeAsync(1000)
    const before = fleet.homeSearches
    await jest.advanceTimersByTimeAsync(5000)
    expect(fleet.homeSearches).toBe(before)
  })

  // Guards against an answer of the process that reaches the homes only with the next try.
  test('is told at once when its process was asked', async () => {
    await listSecondVersion()
    fleet.begin(0, 'stream', 'old', createEvidence(false))
    await jest.advanceTimersByTimeAsync(10)
    proven.add('old/1')
    fleet.instances[0]?.streams.noteProcessAsked()
    await jest.advanceTimersByTimeAsync(10)
    expect(new Set(certaintiesAtHomes('stream'))).toEqual(new Set(['certain']))
  })

  // Guards against streams that end with their instance, though nothing speaks against their only version.
  test('goes on at the only version while versions do not differ', async () => {
    fleet.begin(0, 'stream', 'old', createEvidence(false))
    await jest.advanceTimersByTimeAsync(1000)
    expect(messages).toBe(0)
    fleet.kill(0)
    for (let index = 1; index < INSTANCES; index++) expect(await findVersion(fleet, index, 'stream')).toBe('v1')
  })

  // Guards against another instance that takes the listed version for that of the stream while versions differ.
  test('is unknown to the other instances while versions differ', async () => {
    await listSecondVersion()
    fleet.begin(0, 'stream', 'old', createEvidence(false))
    for (let index = 1; index < INSTANCES; index++) expect(await findVersion(fleet, index, 'stream')).toBeUndefined()
    expect(await fleet.instances[0]?.streams.find('stream', 'model')).toMatchObject({ kind: 'begun', version: 'v1', evidence: { kind: 'connection' } })
  })
})

describe('a stream that began with signs that its process was replaced', () => {
  // Guards against instances that know of one version only, and take it for that of a stream of a successor.
  test('is told as uncertain at once and refused elsewhere, also while one version is listed', async () => {
    fleet.begin(0, 'stream', 'old', createEvidence(true))
    await jest.advanceTimersByTimeAsync(10)
    expect(new Set(certaintiesAtHomes('stream'))).toEqual(new Set(['uncertain']))
    fleet.kill(0)
    for (let index = 1; index < INSTANCES; index++) expect(await findVersion(fleet, index, 'stream')).toBeUndefined()
  })

  // Guards against a stream that stays uncertain for its homes although its process has told which one it is.
  test('is told again as certain once its connection is proven, and each home once as either', async () => {
    fleet.begin(0, 'stream', 'old', createEvidence(true))
    await jest.advanceTimersByTimeAsync(3000)
    const others = knownAtHomes('stream').length
    expect(messages).toBe(others)
    proven.add('old/1')
    await jest.advanceTimersByTimeAsync(3000)
    expect(messages).toBe(2 * others)
    expect(new Set(certaintiesAtHomes('stream'))).toEqual(new Set(['certain']))
    fleet.kill(0)
    for (let index = 1; index < INSTANCES; index++) expect(await findVersion(fleet, index, 'stream')).toBe('v1')
  })
})

describe('a record of an instance of an earlier version', () => {
  function receive (attemptId: string): void {
    const begunAt = steadyNow()
    fleet.instances[0]?.streams.receive([{ attemptId, service: 'model', backendId: 'old', version: 'v1', begunAt, expiresAt: begunAt + CALLER_TIMEOUT_MS }])
  }

  // Guards against a rollout of this program during which streams of the earlier version end.
  test('which names no certainty is that of the listed entry', async () => {
    await listSecondVersion()
    receive('stream')
    expect(await fleet.instances[0]?.streams.find('stream', 'model')).toMatchObject({ kind: 'begun', version: 'v1', evidence: { kind: 'listed' } })
  })

  // Guards against such a record that is believed although its backend server was listed at another version right after.
  test('is doubtful when its backend server is listed at another version right after', async () => {
    receive('stream')
    await jest.advanceTimersByTimeAsync(1000)
    fleet.list('old', 'v3')
    expect(await fleet.instances[0]?.streams.find('stream', 'model')).toEqual({ kind: 'unknown' })
  })
})

describe('what is reported of a stream that is relayed', () => {
  function reportOf (start: StreamStart): StreamReport | undefined {
    return fleet.instances[0]?.streams.report(start)
  }

  // Guards against a peer that binds its caller's stream to a version which the process at work may not have.
  test.each([[false, false, 'begun'], [false, true, 'unknown'], [true, false, 'unknown'], [true, true, 'unknown']])('without proof, with signs of a restart: %s, while versions differ: %s, it is %s', async (wasSuspect, isMixed, kind) => {
    if (isMixed) await listSecondVersion()
    const report = reportOf(createStart(createEvidence(wasSuspect)))
    expect(report).toMatchObject(kind === 'begun' ? { kind, version: 'v1', isCertain: false } : { kind })
  })

  // Guards against a proven stream that its caller can't take up elsewhere.
  test('on a proven connection it is certain, whatever signs there were', async () => {
    await listSecondVersion()
    proven.add('old/1')
    for (const wasSuspect of [false, true]) expect(reportOf(createStart(createEvidence(wasSuspect)))).toMatchObject({ kind: 'begun', version: 'v1', isCertain: true })
  })

  // Guards against a relayed stream that is doubted although its process was certain, and against one of an earlier version that is not.
  test.each([[true, 'begun'], [false, 'unknown'], [undefined, 'unknown']])('a peer that is told it is certain: %s takes it, once another version is listed, for %s', async (isCertain, kind) => {
    const begunAt = steadyNow()
    const report: StreamReport = { kind: 'begun', service: 'model', version: 'v1', backendId: 'old', begunAt, ...(isCertain === undefined ? {} : { isCertain }) }
    const peer = fleet.instances[1]?.streams
    const start = peer?.adopt(report, { attemptId: 'stream', callerTimeoutAt: begunAt + CALLER_TIMEOUT_MS })
    expect(start).toMatchObject({ kind: 'begun', version: 'v1', evidence: { kind: isCertain === true ? 'proven' : 'listed' } })
    await jest.advanceTimersByTimeAsync(1000)
    fleet.list('old', 'v3')
    expect(await peer?.find('stream', 'model')).toMatchObject({ kind })
  })
})
