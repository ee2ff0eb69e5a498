import { afterEach, beforeEach, describe, expect, test } from '@jest/globals'
import type { Socket } from 'node:net'
import { attemptCall, attemptChat, startRawBackend, type RawBackend } from '../__fixtures__/attempts.js'

/** Time from a copy of an earlier response to the request's own. */
const RUN_MS = 30

let backend: RawBackend

beforeEach(async () => { backend = await startRawBackend() })
afterEach(async () => { await backend.close() })

function answer (requestId: string | undefined, status: string, body: string): string {
  return `HTTP/1.1 ${status}\r\n${requestId === undefined ? '' : `X-Request-Id: ${requestId}\r\n`}Content-Length: ${Buffer.byteLength(body)}\r\n\r\n${body}`
}

const ERROR_BODY = '{"error":{"message":"earlier error"}}'
const errors = ['503 Service Unavailable', '429 Too Many Requests', '400 Bad Request', '500 Internal Server Error']
const kinds: readonly (readonly [string, (status: string) => string, (earlier: string, status: string) => string])[] = [
  ['with its ID', (status) => status, (earlier, status) => answer(earlier, status, ERROR_BODY)],
  ['without an ID', (status) => status, (_earlier, status) => answer(undefined, status, ERROR_BODY)]
]

/** Answers the first request on a connection by an error; writes a copy of it to the next request before its own answer. */
function repeatErrors (first: (requestId: string) => string, copy: (earlier: string) => string, own: (requestId: string) => string): void {
  const earlier = new WeakMap<Socket, string>()
  let isFirst = true
  backend.respond = (socket, { requestId }) => {
    if (isFirst) {
      isFirst = false
      earlier.set(socket, requestId)
      socket.write(first(requestId))
      return
    }
    const refused = earlier.get(socket)
    if (refused !== undefined) socket.write(copy(refused))
    setTimeout(() => socket.write(own(requestId)), RUN_MS)
  }
}

const completion = (requestId: string): string => answer(requestId, '200 OK', JSON.stringify({ id: `chatcmpl-${requestId}`, usage: { prompt_tokens: 1, completion_tokens: 2 } }))

describe.each(errors)('a response with status %s that an engine writes once more', (status) => {
  // Guards against "not run", an error of another request, or no bill for a request that an engine was running.
  test.each(kinds)('%s is not taken for the response to the next request on the connection', async (_kind, _status, copy) => {
    repeatErrors((requestId) => answer(requestId, status, ERROR_BODY), (earlier) => copy(earlier, status), completion)
    await attemptChat(backend.address)
    const { result } = await attemptChat(backend.address)
    expect(backend.requests).toHaveLength(2)
    expect(result).toMatchObject({ kind: 'failed', outcome: { kind: 'wrongRequestId' } })
    expect(result.charge).toBeDefined()
  })

  // An engine that names no IDs gets each request on a connection of its own, so that there is none for the copy.
  test('without an ID, like the response before it, meets no other request', async () => {
    repeatErrors(() => answer(undefined, status, ERROR_BODY), () => answer(undefined, status, ERROR_BODY), completion)
    await attemptChat(backend.address)
    const { result } = await attemptChat(backend.address)
    expect(result).toMatchObject({ kind: 'answered', charge: { completionTokens: 2 } })
  })
})

describe('the first part of a chat stream that an engine writes once more', () => {
  const event = (data: string): string => `data: ${data}\n\n`
  const token = (requestId: string, text: string): string => event(JSON.stringify({ id: `chatcmpl-${requestId}`, choices: [{ delta: { content: text } }] }))
  const stream = (requestId: string, ...events: readonly string[]): string => answer(requestId, '200 OK', events.join(''))

  // Guards against tokens that a caller gets twice: the copy carries the request's own ID, so only a new connection tells the two apart.
  test('is not taken for its rest', async () => {
    const first = (requestId: string): string => stream(requestId, token(requestId, 'one'), token(requestId, 'two'))
    repeatErrors(first, first, (requestId) => stream(requestId, token(requestId, 'three'), event('[DONE]')))
    const { result, text } = await attemptChat(backend.address, { streamed: true, resumes: true })
    expect(backend.requests.map(({ method }) => method)).toEqual(['POST', 'GET'])
    expect(text.match(/"content":"(\w+)"/g)).toEqual(['"content":"one"', '"content":"two"', '"content":"three"'])
    expect(result.kind).toBe('answered')
  })
})

describe('an error of a chat that an engine writes once more', () => {
  // Guards against a bill for the most tokens that a chat can use, where the engine says how many it has used.
  test('is not taken for the answer to the cancellation of the chat', async () => {
    const failed = new WeakSet<Socket>()
    backend.respond = (socket, { requestId }) => {
      failed.add(socket)
      socket.write(answer(requestId, '500 Internal Server Error', ERROR_BODY))
    }
    backend.respondToCancellation = (socket, { requestId }) => {
      if (failed.has(socket)) socket.write(answer(requestId, '500 Internal Server Error', ERROR_BODY))
      else socket.write(answer(requestId, '200 OK', '{"usage":{"prompt_tokens":1,"completion_tokens":2}}'))
    }
    expect((await attemptChat(backend.address)).result.charge).toEqual({ promptTokens: 1, completionTokens: 2, estimated: false })
  })
})

describe('an answer that a plain service writes once more', () => {
  const copies: readonly (readonly [string, (earlier: string | undefined) => string])[] = [
    ['with its ID', (earlier) => answer(earlier, '200 OK', 'earlier')],
    ['without an ID', () => answer(undefined, '200 OK', 'earlier')]
  ]

  // Guards against a caller that gets the answer to an earlier request of someone else.
  test.each(copies)('%s is not taken for the answer to the next request on the connection', async (_kind, copy) => {
    repeatErrors((requestId) => answer(requestId, '200 OK', 'earlier'), copy, (requestId) => answer(requestId, '200 OK', 'own'))
    await attemptCall(backend.address, true)
    const result = await attemptCall(backend.address, true)
    expect(backend.requests).toHaveLength(2)
    expect(result).toMatchObject({ kind: 'failed', outcome: { kind: 'wrongRequestId' } })
  })

  test.each([true, false])('without an ID, like the answer before it, meets no other request (idempotent: %s)', async (idempotent) => {
    repeatErrors(() => answer(undefined, '200 OK', 'earlier'), () => answer(undefined, '200 OK', 'earlier'), () => answer(undefined, '200 OK', 'own'))
    await attemptCall(backend.address, idempotent)
    const result = await attemptCall(backend.address, idempotent)
    expect(result).toMatchObject({ kind: 'answered', answer: { status: 200, body: Buffer.from('own') } })
  })
})
