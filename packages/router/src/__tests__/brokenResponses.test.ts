import { afterEach, beforeEach, describe, expect, test } from '@jest/globals'
import type { Socket } from 'node:net'
import { attemptCall, attemptChat, startRawBackend, type RawBackend } from '../__fixtures__/attempts.js'

const RESET_DELAY_MS = 5
const CONCURRENT_ATTEMPTS = 16

let backend: RawBackend

beforeEach(async () => { backend = await startRawBackend() })
afterEach(async () => { await backend.close() })

type End = (socket: Socket, bytes: string) => void
const ends: readonly (readonly [string, End])[] = [
  ['closed', (socket, bytes) => { socket.end(bytes) }],
  ['reset', (socket, bytes) => { socket.write(bytes, () => socket.resetAndDestroy()) }],
  ['reset later', (socket, bytes) => { socket.write(bytes, () => setTimeout(() => socket.resetAndDestroy(), RESET_DELAY_MS)) }]
]
const head = (requestId: string, more: string, status = '200 OK'): string => `HTTP/1.1 ${status}\r\nX-Request-Id: ${requestId}\r\n${more}\r\n`
const chunk = (text: string): string => `${Buffer.byteLength(text).toString(16)}\r\n${text}\r\n`
const framings: readonly (readonly [string, (requestId: string, body: string) => string])[] = [
  ['Content-Length', (id, body) => head(id, `Content-Length: ${body.length}\r\n`) + body],
  ['chunks', (id, body) => `${head(id, 'Transfer-Encoding: chunked\r\n')}${chunk(body.slice(0, 10))}${chunk(body.slice(10))}0\r\n\r\n`],
  ['the end of the connection', (id, body) => head(id, '') + body],
  ['the end of the connection, and another encoding', (id, body) => head(id, 'Transfer-Encoding: identity\r\n') + body]
]
const kinds: readonly (readonly [string, (address: string) => Promise<{ readonly kind: string }>, (requestId: string) => string])[] = [
  ['call', async (address) => await attemptCall(address, true), () => '{"receipt":"0123456789"}'],
  ['chat', async (address) => (await attemptChat(address)).result, (id) => JSON.stringify({ id: `chatcmpl-${id}`, usage: { prompt_tokens: 1, completion_tokens: 2 } })]
]

describe.each(kinds)('the response to a %s', (_kind, attempt, bodyOf) => {
  // Guards against an empty or short body that is passed on as whole.
  test.each(framings.flatMap(([framing, build]) => ends.map(([end, finish]) => [framing, end, build, finish] as const)))('framed by %s and %s at any byte is not taken for whole', async (framing, end, build, finish) => {
    let missing = 0
    const missingOf = new Map<string, number>()
    backend.respond = (socket, { requestId }) => {
      const whole = build(requestId, bodyOf(requestId))
      const bytes = whole.slice(0, Math.max(0, whole.length - (++missing)))
      missingOf.set(requestId, missing)
      // A body without a length is whole when its connection is closed.
      const isCloseDelimited = framing.startsWith('the end') && bytes.includes('\r\n\r\n')
      if (isCloseDelimited && end === 'closed') socket.resetAndDestroy()
      else finish(socket, bytes)
    }
    const length = build('request-100-1-01234567', bodyOf('request-100-1-01234567')).length
    const results: string[] = []
    await Promise.all(Array.from({ length: CONCURRENT_ATTEMPTS }, async () => {
      while (results.length < length) results.push((await attempt(backend.address)).kind)
    }))
    expect(results.filter((kind) => kind !== 'failed')).toEqual([])
  }, 20_000)

  // Guards against a whole response without an ID that is taken for one that was reset.
  test.each([['the end of the connection', ''], ['Content-Length', 'Content-Length: 200\r\n']])('is whole without an ID, framed by %s', async (_name, framing) => {
    backend.respond = (socket, { requestId }) => { socket.end(`HTTP/1.1 200 OK\r\n${framing}\r\n${bodyOf(requestId).padEnd(200)}`) }
    for (let round = 0; round < 20; round++) expect((await attempt(backend.address)).kind).toBe('answered')
  })

  // Guards against a request that waits for its deadline.
  test('that switches protocols fails at once', async () => {
    backend.respond = (socket) => { socket.write('HTTP/1.1 101 Switching Protocols\r\nConnection: upgrade\r\nUpgrade: other\r\n\r\n') }
    expect((await attempt(backend.address)).kind).toBe('failed')
  }, 2000)
})

describe('the response of a plain service to a call', () => {
  // Guards against bytes that the caller can't read, as it isn't told of the encoding that nobody asked for.
  test.each([['gzip', 'failed'], ['identity', 'answered']])('with the content encoding %s is %s', async (encoding, kind) => {
    backend.respond = (socket, { requestId }) => { socket.write(`${head(requestId, `Content-Encoding: ${encoding}\r\nContent-Length: 4\r\n`)}body`) }
    const result = await attemptCall(backend.address, false)
    expect(result.kind).toBe(kind)
    expect(result).toHaveProperty('charge.completionTokens', 5)
  })
})

describe('the response of an engine to a chat', () => {
  // Guards against an empty success, or "not run", where nothing shows that the chat was not run.
  test.each(['201 Created', '204 No Content', '206 Partial Content', '302 Found', '304 Not Modified'])('with status %s is a failed attempt', async (status) => {
    backend.respond = (socket, { requestId }) => { socket.write(head(requestId, 'Content-Length: 0\r\n', status)) }
    const { result } = await attemptChat(backend.address)
    expect(result).toMatchObject({ kind: 'failed', outcome: { kind: 'resetBeforeFirstByte' } })
    expect(result.charge).toBeDefined()
  })
})

const token = (requestId: string, text: string): string => `data: ${JSON.stringify({ id: `chatcmpl-${requestId}`, choices: [{ delta: { content: text } }] })}\n\n`
const EVENTS = 'Content-Type: text/event-stream\r\n'
const whole = (requestId: string, status: string, more: string, body: string): string => `${head(requestId, `${more}Content-Length: ${body.length}\r\n`, status)}${body}`
/** Responses to the resumption of a stream, of which nothing may reach the caller. */
const errors: readonly (readonly [string, End])[] = [
  ['status 500', (socket, id) => { socket.write(whole(id, '500 Internal Server Error', '', 'failure')) }],
  ['status 404', (socket, id) => { socket.write(whole(id, '404 Not Found', '', 'failure')) }],
  ['status 503', (socket, id) => { socket.write(whole(id, '503 Service Unavailable', '', 'failure')) }],
  ['status 204', (socket, id) => { socket.write(head(id, '', '204 No Content')) }],
  ['events under status 500', (socket, id) => { socket.write(whole(id, '500 Internal Server Error', EVENTS, token(id, 'failure') + 'data: [DONE]\n\n')) }],
  ['the events of another request', (socket) => { socket.write(whole('other', '200 OK', EVENTS, token('other', 'failure') + 'data: [DONE]\n\n')) }],
  ['the events of another request under its own ID', (socket, id) => { socket.write(whole(id, '200 OK', EVENTS, token('other', 'failure') + 'data: [DONE]\n\n')) }],
  ['a body that is no event stream', (socket, id) => { socket.write(whole(id, '200 OK', 'Content-Type: application/json\r\n', '{"error":"failure"}\n\n')) }],
  ['an empty body', (socket, id) => { socket.write(whole(id, '200 OK', EVENTS, '')) }],
  ['half a head', (socket) => { socket.end('HTTP/1.1 200 OK\r\nX-Req') }],
  ['bytes that are no response', (socket) => { socket.end('failure') }],
  ['a reset', (socket) => { socket.resetAndDestroy() }]
]

describe.each(ends)('a chat stream whose connection is %s after two tokens', (_name, breakOff) => {
  // Guards against an error, or another response, in the middle of a caller's stream, and against a short one that ends as complete.
  test.each(errors)('and whose resumption gets %s is not complete and holds nothing of that', async (_error, respond) => {
    backend.respond = (socket, { method, requestId }) => {
      if (method === 'GET') respond(socket, requestId)
      else breakOff(socket, head(requestId, `${EVENTS}Transfer-Encoding: chunked\r\n`) + chunk(token(requestId, 'one') + token(requestId, 'two') + 'data: {"id"'))
    }
    const { result, text } = await attemptChat(backend.address, { streamed: true, resumes: true })
    expect(backend.requests.map(({ method }) => method)).toEqual(['POST', 'GET'])
    expect(result.kind).toBe('failed')
    expect(text.match(/"content":"(\w+)"/g)).toEqual(['"content":"one"', '"content":"two"'])
    expect(text).not.toContain('failure')
    expect(text).not.toContain('[DONE]')
  })
})
