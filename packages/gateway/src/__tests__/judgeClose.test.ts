import { createClosedResponses, type CloseVerdict } from '@quinceshunt/caller-connections'
import { describe, expect, test } from '@jest/globals'
import type { IncomingMessage } from 'node:http'
import { createTestBackend } from '../__fixtures__/backends.js'
import { createRecordingLog } from '../__fixtures__/recordingLog.js'
import { steadyNow } from '../clock.js'
import { createProcessProofs } from '../decisions/processProofs.js'
import type { ProcessReply } from '../tasks/backendProcesses.js'
import type { GatewayContext } from '../tasks/gatewayContext.js'
import { judgeClose } from '../tasks/judgeClose.js'
import type { RequestState } from '../tasks/requestTask.js'

const WRITER = 'i-1/1'
const SUCCESSOR = 'i-1/2'
const ESTABLISHED_AT = 100

interface Play {
  /** When the open connections to the address were established. */
  readonly open?: readonly number[]
  /** Until when the process that wrote the answer is known to have lived. */
  readonly aliveAt?: number
  readonly reply?: ProcessReply
  readonly canTell?: boolean
  /** Start time that the entry names. */
  readonly startedAt?: number
}

interface Judgement {
  readonly verdict: CloseVerdict['kind']
  readonly questions: number
}

/** Judges the end of a stream that came on a connection established at `ESTABLISHED_AT`. */
async function judge ({ open = [], aliveAt, reply = { kind: 'told', backendProcess: WRITER }, canTell = true, startedAt = 1 }: Play): Promise<Judgement> {
  const backend = createTestBackend('i-1', { startedAt })
  const proofs = createProcessProofs()
  if (aliveAt !== undefined) proofs.noteAlive(WRITER, aliveAt)
  let questions = 0
  const context = {
    configuration: () => ({ service: () => ({ engine: { slots: 8, tokensPerEvent: 1 } }) }),
    closedResponses: createClosedResponses({ hasOpen: () => open.length > 0, eventLoopDelay: () => 0 }),
    connections: { openConnections: () => open },
    processes: {
      ...proofs,
      canTell: () => canTell,
      ask: async (_: unknown, since: number) => {
        expect(since).toBeLessThanOrEqual(steadyNow())
        questions++
        return reply
      }
    },
    metrics: { count: () => {} },
    log: createRecordingLog()
  } as unknown as GatewayContext
  const state = { fields: { attemptId: 'a', prompt: { maximumOutputTokens: 100 } }, deliveredEvents: 3, relayedEvents: 0, lastEventId: '3' } as unknown as RequestState
  const closed = { incoming: { statusCode: 200 } as unknown as IncomingMessage, backendProcess: `i-1/${startedAt}`, connection: { backendProcess: `i-1/${startedAt}`, establishedAt: ESTABLISHED_AT } }
  return { verdict: (await judgeClose(context, state, backend, closed)).kind, questions }
}

describe('a stream without a length or chunks whose connection was closed in order', () => {
  test('is whole without a question while an older connection to its process is open', async () => {
    expect(await judge({ open: [ESTABLISHED_AT - 1] })).toEqual({ verdict: 'whole', questions: 0 })
  })

  test('is whole without a question while a newer connection is open that leads to its process', async () => {
    expect(await judge({ open: [ESTABLISHED_AT + 50], aliveAt: ESTABLISHED_AT + 60 })).toEqual({ verdict: 'whole', questions: 0 })
  })

  // Guards against connections to the successor of a killed process that are taken for signs of its life.
  test('is broken while only connections are open that lead to the successor of its process', async () => {
    expect(await judge({ open: [ESTABLISHED_AT + 50], aliveAt: ESTABLISHED_AT, reply: { kind: 'told', backendProcess: SUCCESSOR } })).toEqual({ verdict: 'broken', questions: 1 })
  })

  // Guards against forwarders that accept connections for a process that has ended.
  test.each<[ProcessReply, CloseVerdict['kind']]>([
    [{ kind: 'told', backendProcess: WRITER }, 'whole'],
    [{ kind: 'untold', reason: 'the report names no start time' }, 'broken'],
    [{ kind: 'silent', reason: 'no reply in time' }, 'broken'],
    [{ kind: 'closed', reason: 'socket hang up' }, 'broken'],
    [{ kind: 'unreached', reason: 'connection refused' }, 'broken']
  ])('is judged by the reply of its process where no connection is open: %j', async (reply, verdict) => {
    expect(await judge({ reply })).toEqual({ verdict, questions: 1 })
  })

  // Guards against sound streams that are cut off where processes can't be told apart.
  test('is whole when a process takes connections whose service reports no start times', async () => {
    expect(await judge({ reply: { kind: 'untold', reason: 'the report names no start time' }, canTell: false })).toEqual({ verdict: 'whole', questions: 1 })
    expect(await judge({ reply: { kind: 'silent', reason: 'no reply in time' }, canTell: false })).toEqual({ verdict: 'whole', questions: 1 })
    expect(await judge({ startedAt: 0, reply: { kind: 'told', backendProcess: WRITER } })).toEqual({ verdict: 'whole', questions: 1 })
  })
})
