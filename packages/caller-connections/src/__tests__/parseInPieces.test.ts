import { afterEach, beforeEach, expect, test } from '@jest/globals'
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import { connect, type AddressInfo, type Socket } from 'node:net'
import { createPipelineLimit } from '../pipelineLimit.js'
import { parseInPieces } from '../parseInPieces.js'

const MAX_UNANSWERED = 4
const REQUEST = 'GET /1 HTTP/1.1\r\nHost: desk.example\r\n\r\n'

let server: Server
let caller: Socket
let received: string
let closed: Promise<void>
let requestCount: number

async function start (handle: (incoming: IncomingMessage, response: ServerResponse) => void): Promise<void> {
  server = createServer((incoming, response) => {
    requestCount++
    handle(incoming, response)
  })
  parseInPieces(server)
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
  caller = connect((server.address() as AddressInfo).port, '127.0.0.1')
  caller.on('data', (bytes) => { received += bytes.toString('latin1') })
  caller.on('error', () => {})
  closed = new Promise((resolve) => caller.once('close', () => resolve()))
}

beforeEach(() => {
  received = ''
  requestCount = 0
})

afterEach(() => {
  caller.destroy()
  server.close()
})

async function waitUntil (condition: () => boolean): Promise<void> {
  const deadline = Date.now() + 4000
  while (!condition()) {
    if (Date.now() > deadline) throw new Error('the condition did not hold in time')
    await new Promise((resolve) => setTimeout(resolve, 5))
  }
}

// Guards against memory that is filled by requests behind the one at which their connection was destroyed.
test('a destroyed connection has few of its pipelined requests parsed', async () => {
  const limit = createPipelineLimit(MAX_UNANSWERED)
  await start((incoming, response) => { if (limit.admit(incoming, response).kind === 'ignored') incoming.socket.destroy() })
  caller.write(REQUEST.repeat(1000))
  await closed
  expect(requestCount).toBeGreaterThan(MAX_UNANSWERED)
  expect(requestCount).toBeLessThan(30)
})

// Guards against memory that is filled by requests behind the last one that their connection may have.
test('a connection that discards its further bytes has few of its pipelined requests parsed, and its answers arrive', async () => {
  const limit = createPipelineLimit(MAX_UNANSWERED)
  const responses: ServerResponse[] = []
  await start((incoming, response) => {
    const admission = limit.admit(incoming, response)
    if (admission.kind === 'ignored') return
    if (admission.kind === 'last') response.setHeader('connection', 'close')
    responses.push(response)
  })
  caller.write(REQUEST.repeat(1000))
  await waitUntil(() => responses.length === MAX_UNANSWERED)
  for (const response of responses) response.end('answer')
  await waitUntil(() => received.split('answer').length === MAX_UNANSWERED + 1)
  expect(requestCount).toBeLessThan(30)
})

// Guards against requests that are lost or changed at the ends of pieces, or where a connection is paused.
test.each([
  ['in one packet', Infinity, '\n'],
  ['in packets of 700 bytes', 700, '\n'],
  ['with empty lines, in one packet', Infinity, '\r\n\r\n'],
  ['with empty lines, in packets of 700 bytes', 700, '\r\n\r\n']
])('all requests of an unlimited connection are answered whole, %s', async (_name, packetBytes, lineEnd) => {
  const bodies: string[] = []
  await start((incoming, response) => {
    const chunks: Buffer[] = []
    incoming.on('data', (chunk: Buffer) => chunks.push(chunk))
    incoming.on('end', () => {
      bodies.push(Buffer.concat(chunks).toString())
      // Larger than what the connection takes at once, so that it is paused.
      response.end(`${'x'.repeat(20_000)} end of ${incoming.url ?? ''}`)
    })
  })
  const sent = Array.from({ length: 40 }, (_, index) => `line ${index}${lineEnd}`.repeat(index * 40))
  const text = sent.map((body, index) => `POST /${index} HTTP/1.1\r\nHost: desk.example\r\nContent-Length: ${body.length}\r\n\r\n${body}`).join('')
  for (let start = 0; start < text.length; start += packetBytes) caller.write(text.slice(start, start + packetBytes))
  await waitUntil(() => received.includes('end of /39'))
  expect(bodies).toEqual(sent)
  expect([...received.matchAll(/end of \/(\d+)/g)].map(([, number]) => Number(number))).toEqual(sent.map((_, index) => index))
})

// Guards against bodies that cost several times the processor time, so that callers behind them wait for longer.
test.each([
  ['lines', 'a line\r\n'],
  ['empty lines', '\r\n\r\n']
])('a body of many %s is not divided', async (_name, line) => {
  const bodyBytes = 2_000_000
  let partCount = 0
  let chunkCount = 1
  await start((incoming, response) => {
    incoming.socket.on('data', () => { chunkCount++ })
    incoming.on('data', () => { partCount++ })
    incoming.on('end', () => response.end('answer'))
  })
  caller.write(`POST /1 HTTP/1.1\r\nHost: desk.example\r\nContent-Length: ${bodyBytes}\r\n\r\n`)
  caller.write(line.repeat(bodyBytes / line.length))
  await waitUntil(() => received.includes('answer'))
  // It begins in a first piece and ends in two short ones.
  expect(partCount).toBeLessThanOrEqual(chunkCount + 3)
})

// Guards against memory that is filled by requests behind a body, which are taken for its bytes.
test.each([
  ['a length', (body: string) => `Content-Length: ${body.length}\r\n\r\n${body}`],
  ['chunks', (body: string) => `Transfer-Encoding: chunked\r\n\r\n${body.length.toString(16)}\r\n${body}\r\n0\r\n\r\n`]
])('few requests behind a body with %s are parsed', async (_name, format) => {
  const limit = createPipelineLimit(MAX_UNANSWERED)
  await start((incoming, response) => {
    incoming.resume()
    if (limit.admit(incoming, response).kind === 'ignored') incoming.socket.destroy()
  })
  caller.write(`POST /1 HTTP/1.1\r\nHost: desk.example\r\n${format('x'.repeat(30_000))}${REQUEST.repeat(1000)}`)
  await closed
  expect(requestCount).toBeGreaterThan(MAX_UNANSWERED)
  expect(requestCount).toBeLessThan(40)
})
