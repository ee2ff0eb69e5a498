import { beforeEach, describe, expect, test } from '@jest/globals'
import { createTestBackend } from '../__fixtures__/backends.js'
import { createRecordingLog } from '../__fixtures__/recordingLog.js'
import type { BackendState } from '../decisions/backendState.js'
import { createProcessProofs, type ConnectionOrigin, type ProcessProofs } from '../decisions/processProofs.js'
import type { StartEvidence, StreamStart } from '../decisions/streamOrigins.js'
import type { GatewayContext } from '../tasks/gatewayContext.js'
import type { RequestState } from '../tasks/requestTask.js'
import { recordStreamStart } from '../tasks/streamStart.js'
import type { BegunStream } from '../tasks/streamVersions.js'

const ESTABLISHED_AT = 100

let proofs: ProcessProofs
let backend: BackendState
let begun: BegunStream[]
let asked: number[]

beforeEach(() => {
  proofs = createProcessProofs()
  backend = createTestBackend('i-1', { startedAt: 2, version: 'v2' })
  begun = []
  asked = []
})

/** The stream begins with an answer on a connection that was opened while `listedThen` was listed. */
function begin (listedThen: string, { isMixed = true, entry = backend.entry } = {}): StreamStart {
  const context = {
    processes: {
      ...proofs,
      isProven: ({ backendProcess, establishedAt }: ConnectionOrigin) => proofs.leadsTo(backendProcess, establishedAt),
      ask: async (_: BackendState, since: number) => {
        asked.push(since)
        return { kind: 'silent', reason: 'no reply in time' }
      }
    },
    streamVersions: { isMixed: () => isMixed, isListCurrent: () => true, begin: (stream: BegunStream) => begun.push(stream), noteProcessAsked: () => {} },
    log: createRecordingLog()
  } as unknown as GatewayContext
  const state = { streamStart: { kind: 'notBegun' }, service: 'model', fields: { attemptId: 'a' }, callerTimeoutAt: 0 } as unknown as RequestState
  recordStreamStart(context, state, backend, { entry, connection: { backendProcess: listedThen, establishedAt: ESTABLISHED_AT } })
  return state.streamStart
}

function evidenceOf (start: StreamStart): StartEvidence | undefined {
  return start.kind === 'begun' ? start.evidence : undefined
}

describe('the start of a stream', () => {
  // Guards against questions about a process that is known.
  test('is proven on a connection that leads to the listed process', () => {
    proofs.noteAlive('i-1/2', ESTABLISHED_AT)
    expect(begin('i-1/2')).toMatchObject({ kind: 'begun', version: 'v2', backendId: 'i-1', evidence: { kind: 'proven' } })
    expect(begun).toMatchObject([{ attemptId: 'a', version: 'v2', evidence: { kind: 'proven' } }])
    expect(asked).toEqual([])
  })

  // Guards against streams that can't be taken up because their connection was opened before its process was listed.
  test('is proven on a connection that was opened before its process was listed, once that is known to have lived then', () => {
    proofs.noteAlive('i-1/2', ESTABLISHED_AT)
    expect(evidenceOf(begin('i-1/1'))).toEqual({ kind: 'proven' })
  })

  // Guards against the version of the listed process that is told as certain because its predecessor was known to live.
  test('rests on whether the process leads there whose version it is, not the one that was listed before', () => {
    proofs.noteAlive('i-1/1', ESTABLISHED_AT)
    expect(evidenceOf(begin('i-1/1'))).toEqual({ kind: 'connection', connection: { backendProcess: 'i-1/2', establishedAt: ESTABLISHED_AT }, wasSuspect: false })
    expect(asked).toEqual([ESTABLISHED_AT])
  })

  // Guards against questions that matter only while versions differ or a process may have been replaced.
  test.each([[false, false, 0], [true, false, 1], [false, true, 1]])('is asked for while versions differ: %s, or with signs of a restart: %s', (isMixed, isSuspect, questions) => {
    if (isSuspect) proofs.noteBroken('i-1/2', 50)
    expect(evidenceOf(begin('i-1/2', { isMixed }))).toMatchObject({ kind: 'connection', wasSuspect: isSuspect })
    expect(asked.length).toBe(questions)
  })

  // Guards against a version of either of two processes of which one was listed while the other may have answered.
  test('is unknown when another process was listed while the answer was awaited', () => {
    const entry = { ...backend.entry, startedAt: 1, version: 'v1' }
    expect(begin('i-1/1', { entry })).toEqual({ kind: 'unknown' })
    expect(begun).toEqual([])
  })

  // Guards against a service whose entries name no start time and whose streams are all uncertain.
  test('rests on the list when the entry names no start time', () => {
    expect(evidenceOf(begin('i-1/0', { entry: { ...backend.entry, startedAt: 0 } }))).toBeUndefined()
    backend.entry = { ...backend.entry, startedAt: 0 }
    expect(evidenceOf(begin('i-1/0'))).toEqual({ kind: 'listed' })
  })
})
