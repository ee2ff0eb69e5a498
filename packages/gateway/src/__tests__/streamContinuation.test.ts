import { describe, expect, jest, test } from '@jest/globals'
import { createTestBackend } from '../__fixtures__/backends.js'
import { createRecordingLog } from '../__fixtures__/recordingLog.js'
import { steadyNow } from '../clock.js'
import { backendProcessOf, type BackendState } from '../decisions/backendState.js'
import { createProcessProofs, type ConnectionOrigin } from '../decisions/processProofs.js'
import type { StreamStart } from '../decisions/streamOrigins.js'
import type { BackendServerEntry } from '../fleetConfiguration.js'
import type { ProcessReply } from '../tasks/backendProcesses.js'
import type { GatewayContext } from '../tasks/gatewayContext.js'
import type { RequestState } from '../tasks/requestTask.js'
import { confirmStreamStart, connectionCheck, mayContinueAt } from '../tasks/streamContinuation.js'

const LISTED: ProcessReply = { kind: 'told', backendProcess: 'i-1/1' }
const OTHER: ProcessReply = { kind: 'told', backendProcess: 'i-1/2' }
const UNTOLD: ProcessReply = { kind: 'untold', reason: 'the report names no start time' }
const SILENT: ProcessReply = { kind: 'silent', reason: 'no reply in time' }
const UNREACHED: ProcessReply = { kind: 'unreached', reason: 'connection refused' }
const ESTABLISHED_AT = 100

interface FakeOptions {
  readonly reply?: () => Promise<ProcessReply>
  /** When the idle connections were established. */
  readonly idle?: readonly number[]
  readonly canTell?: boolean
  readonly isMixed?: boolean
  readonly isSuspect?: boolean
  /** Another process than the listed one answers at a second backend server of the service. */
  readonly isNeighborReplaced?: boolean
  /** What the record of streams makes of a start before anything is asked. */
  readonly confirm?: (start: StreamStart) => StreamStart
}

interface Fake {
  readonly context: GatewayContext
  readonly backend: BackendState
  readonly proofs: ReturnType<typeof createProcessProofs>
  /** For each question, the time after which it had to be sent. */
  readonly asked: readonly number[]
  readonly unreachable: readonly string[]
  /** Streams that another process than the listed one began. */
  readonly refuted: readonly string[]
}

function createFake ({ reply = async () => LISTED, idle = [], canTell = true, isMixed = true, isSuspect = false, isNeighborReplaced = false, confirm = (start) => start }: FakeOptions = {}): Fake {
  const backend = createTestBackend('i-1', { startedAt: 1 })
  const proofs = createProcessProofs()
  const neighbor = createTestBackend('i-2', { startedAt: 1 })
  if (isSuspect) proofs.noteBroken('i-1/1', 50)
  if (isNeighborReplaced) proofs.noteReplaced('i-2/1', 50)
  const asked: number[] = []
  const unreachable: string[] = []
  const refuted: string[] = []
  const context = {
    connections: { idleConnections: () => idle },
    processes: {
      ...proofs,
      canTell: () => canTell,
      ask: async (_: BackendState, since: number) => {
        asked.push(since)
        return await reply()
      }
    },
    streamVersions: { isMixed: () => isMixed, confirm, refute: async (attemptId: string) => { refuted.push(attemptId) } },
    backends: { find: (id: string) => id === 'i-1' ? backend : undefined, candidates: () => [backend, neighbor] },
    reach: { noteUnreachable: ({ entry }: BackendState) => unreachable.push(entry.id) },
    metrics: { count: () => {} },
    log: createRecordingLog()
  } as unknown as GatewayContext
  return { context, backend, proofs, asked, unreachable, refuted }
}

function createRequest (changes: Partial<RequestState> = {}): RequestState {
  const streamStart: StreamStart = { kind: 'begun', service: 'model', version: 'v1', backendId: 'i-1', at: 0, evidence: { kind: 'proven' } }
  return { streamStart, processQuestions: 0, deadline: steadyNow() + 10_000, fields: { attemptId: 'a', lastEventId: '' }, ...changes } as unknown as RequestState
}

function beganOn (connection: ConnectionOrigin, wasSuspect = false): StreamStart {
  return { kind: 'begun', service: 'model', version: 'v1', backendId: 'i-1', at: 0, evidence: { kind: 'connection', connection, wasSuspect } }
}

/** A list that names another process meanwhile. */
function relist (backend: BackendState, changes: Partial<BackendServerEntry>): void {
  backend.entry = { ...backend.entry, ...changes }
}

describe('a stream that goes on at a backend server', () => {
  // Guards against questions, which take time, for requests that bring no stream with them, and on connections that are known.
  test('asks nothing when it has not begun, or when all idle connections are known to lead to the listed process', async () => {
    const unasked = createFake()
    expect(await mayContinueAt(unasked.context, createRequest({ streamStart: { kind: 'notBegun' } }), unasked.backend)).toBe(true)
    expect(unasked.asked).toEqual([])
    const known = createFake({ idle: [ESTABLISHED_AT, 90] })
    known.proofs.noteAlive('i-1/1', ESTABLISHED_AT)
    expect(await mayContinueAt(known.context, createRequest(), known.backend)).toBe(true)
    expect(known.asked).toEqual([])
  })

  // Guards against a connection that is used unasked because another one is known.
  test.each([[[]], [[ESTABLISHED_AT, ESTABLISHED_AT + 1]]])('asks with idle connections of %j', async (idle) => {
    const { context, backend, proofs, asked } = createFake({ idle })
    proofs.noteAlive('i-1/1', ESTABLISHED_AT)
    expect(await mayContinueAt(context, createRequest(), backend)).toBe(true)
    expect(asked.length).toBe(1)
  })

  // Guards against events of a successor behind those of the listed process, and against streams that end at services whose processes never name themselves.
  test.each<[ProcessReply, Omit<FakeOptions, 'reply'>, boolean]>([
    [LISTED, { isSuspect: true }, true],
    [OTHER, { canTell: true, isMixed: false }, false],
    [UNTOLD, { isMixed: true }, false],
    [UNTOLD, { isMixed: false, isSuspect: true }, false],
    [UNTOLD, { isMixed: false }, true],
    [UNTOLD, { isMixed: false, isNeighborReplaced: true }, false],
    [UNTOLD, { canTell: false, isSuspect: true, isNeighborReplaced: true }, true],
    [SILENT, { isMixed: false }, false],
    [SILENT, { canTell: false }, true],
    [UNREACHED, { canTell: false, isMixed: false }, false]
  ])('after the reply %j with %j: %s', async (reply, options, expected) => {
    const { context, backend, unreachable } = createFake({ ...options, reply: async () => reply })
    expect(await mayContinueAt(context, createRequest(), backend)).toBe(expected)
    // A process that does not reply is not taken for lost by the question.
    expect(unreachable).toEqual(reply.kind === 'unreached' ? ['i-1'] : [])
  })

  // Guards against a stream that goes on at the version which was listed before the question.
  test('is refused when its backend server was listed at another version meanwhile', async () => {
    const { context, backend } = createFake({
      reply: async () => {
        relist(backend, { startedAt: 2, version: 'v2' })
        return OTHER
      }
    })
    expect(await mayContinueAt(context, createRequest(), backend)).toBe(false)
  })

  // Guards against a request that waits for one process after the other.
  test.each([[false, true], [true, false]])('asks three processes at most, and then trusts the list unless versions differ: %s', async (isMixed, expected) => {
    const { context, backend, asked } = createFake({ isMixed })
    const request = createRequest()
    const allowed: boolean[] = []
    for (let index = 0; index < 5; index++) allowed.push(await mayContinueAt(context, request, backend))
    expect(allowed).toEqual([true, true, true, expected, expected])
    expect(asked.length).toBe(3)
  })

  // Guards against events of a new version behind a proven start: after two replaced backend servers, a third one was trusted unasked.
  test('does not trust the list after three questions while the process of another backend server is known to be replaced', async () => {
    const { context, backend, asked } = createFake({ isMixed: false, isNeighborReplaced: true })
    const request = createRequest()
    const allowed: boolean[] = []
    for (let index = 0; index < 4; index++) allowed.push(await mayContinueAt(context, request, backend))
    const confirmed = await connectionCheck(context, request, backend)?.({ backendProcess: 'i-1/1', establishedAt: ESTABLISHED_AT })
    expect([...allowed, confirmed]).toEqual([true, true, true, false, false])
    expect(asked.length).toBe(3)
  })

  // Guards against a question that outlasts its request.
  test('does not wait for a reply beyond its deadline', async () => {
    jest.useFakeTimers()
    try {
      const { context, backend } = createFake({ reply: async () => await new Promise<ProcessReply>(() => {}) })
      let verdict: boolean | undefined
      mayContinueAt(context, createRequest({ deadline: steadyNow() + 100 }), backend).then((allowed) => { verdict = allowed }, () => {})
      await jest.advanceTimersByTimeAsync(90)
      expect(verdict).toBeUndefined()
      await jest.advanceTimersByTimeAsync(20)
      expect(verdict).toBe(false)
    } finally {
      jest.useRealTimers()
    }
  })
})

describe('the connection on which a stream is to go on', () => {
  const connection = { backendProcess: 'i-1/1', establishedAt: ESTABLISHED_AT }

  // Guards against questions for requests that begin a stream, and on a connection that is proven.
  test('is not asked for without a stream, or when it is proven', async () => {
    const { context, backend, proofs, asked } = createFake()
    expect(connectionCheck(context, createRequest({ streamStart: { kind: 'notBegun' } }), backend)).toBeUndefined()
    proofs.noteAlive('i-1/1', ESTABLISHED_AT)
    expect(await connectionCheck(context, createRequest(), backend)?.(connection)).toBe(true)
    expect(asked).toEqual([])
  })

  // Guards against a reply that is older than the connection.
  test.each<[ProcessReply, boolean]>([[LISTED, true], [OTHER, false], [UNTOLD, false], [SILENT, false], [UNREACHED, false]])('is judged by a question that is sent after it was established: %j, %s', async (reply, expected) => {
    const { context, backend, asked } = createFake({ reply: async () => reply })
    expect(await connectionCheck(context, createRequest(), backend)?.(connection)).toBe(expected)
    expect(asked).toEqual([ESTABLISHED_AT])
  })

  // Guards against a request that is sent as one to the process which was listed when it was chosen.
  test('is refused when another process was listed meanwhile, even if it replies', async () => {
    const { context, backend } = createFake({
      reply: async () => {
        relist(backend, { startedAt: 2 })
        return OTHER
      }
    })
    expect(await connectionCheck(context, createRequest(), backend)?.(connection)).toBe(false)
  })
})

describe('where a stream began that is sent again', () => {
  const connection = { backendProcess: 'i-1/1', establishedAt: ESTABLISHED_AT }
  const began = beganOn(connection)
  const trusted = { ...began, evidence: { kind: 'listed' } } as StreamStart

  async function weigh (fake: Fake, streamStart: StreamStart = began): Promise<StreamStart> {
    const request = createRequest({ streamStart })
    await confirmStreamStart(fake.context, request)
    return request.streamStart
  }

  // Guards against questions about a start that is certain, or that nobody can make certain.
  test('is not asked for when it rests on no connection, or is proven meanwhile', async () => {
    const fake = createFake({ confirm: (start) => start === began ? { ...began, evidence: { kind: 'proven' } } as StreamStart : start })
    expect(await weigh(fake)).toMatchObject({ kind: 'begun', evidence: { kind: 'proven' } })
    expect(await weigh(fake, { kind: 'unknown' })).toEqual({ kind: 'unknown' })
    expect(await weigh(fake, { kind: 'notBegun' })).toEqual({ kind: 'notBegun' })
    expect(fake.asked).toEqual([])
  })

  // Guards against a stream that is bound to the version of another process than the one which began it.
  test.each<[ProcessReply, Omit<FakeOptions, 'reply'>, StreamStart]>([
    [LISTED, {}, { ...began, evidence: { kind: 'proven' } } as StreamStart],
    [OTHER, { isMixed: false }, { kind: 'unknown' }],
    [UNTOLD, { isMixed: true }, { kind: 'unknown' }],
    [SILENT, { isMixed: true }, { kind: 'unknown' }],
    [UNREACHED, { isMixed: true }, { kind: 'unknown' }],
    [UNREACHED, { isMixed: false }, trusted],
    [UNREACHED, { isMixed: false, isNeighborReplaced: true }, { kind: 'unknown' }],
    [UNTOLD, { canTell: false }, trusted]
  ])('after the reply %j with %j', async (reply, options, expected) => {
    const fake = createFake({ ...options, reply: async () => reply })
    expect(await weigh(fake)).toEqual(expected)
    expect(fake.asked).toEqual([ESTABLISHED_AT])
    // Other instances would take the stream for one of the listed version.
    expect(fake.refuted).toEqual(reply === OTHER ? ['a'] : [])
  })

  // Guards against a start with signs of a restart that is trusted because one version is listed.
  test.each([[true, 'unknown'], [false, 'begun']])('with signs of a restart, and processes that can tell: %s, is %s without a reply', async (canTell, kind) => {
    const fake = createFake({ canTell, isMixed: false, reply: async () => UNREACHED })
    expect((await weigh(fake, beganOn(connection, true))).kind).toBe(kind)
  })

  // Guards against the reply of a successor that is taken for that of the process which began the stream.
  test('is open without a question when another process is listed, or none', async () => {
    const replaced = createFake()
    relist(replaced.backend, { startedAt: 2 })
    const gone = createFake()
    const elsewhere = { ...began, backendId: 'i-2' } as StreamStart
    expect([await weigh(replaced), await weigh(gone, elsewhere)]).toEqual([{ kind: 'unknown' }, { kind: 'unknown' }])
    expect([...replaced.asked, ...gone.asked]).toEqual([])
    expect(backendProcessOf(replaced.backend.entry)).toBe('i-1/2')
  })
})
