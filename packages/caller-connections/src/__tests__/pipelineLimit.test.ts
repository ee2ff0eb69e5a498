import { afterEach, beforeEach, describe, expect, test } from '@jest/globals'
import { createServer, type Server, type ServerResponse } from 'node:http'
import { connect, type AddressInfo, type Socket } from 'node:net'
import { createPipelineLimit } from '../pipelineLimit.js'

const MAX_UNANSWERED = 4
const BODY = 'x'.repeat(100_000)

let server: Server
let caller: Socket
let connection: Socket | undefined
let received: string
let closed: Promise<void>
let responses: ServerResponse[]
let lastUrls: string[]

beforeEach(async () => {
  received = ''
  responses = []
  lastUrls = []
  const limit = createPipelineLimit(MAX_UNANSWERED)
  server = createServer((incoming, response) => {
    connection = incoming.socket
    const admission = limit.admit(incoming, response)
    if (admission.kind === 'ignored') return
    incoming.resume()
    if (admission.kind === 'last') {
      lastUrls.push(incoming.url ?? '')
      response.setHeader('connection', 'close')
    }
    responses.push(response)
  })
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
  caller = connect((server.address() as AddressInfo).port, '127.0.0.1')
  caller.on('data', (text) => { received += text.toString() })
  caller.on('error', () => {})
  closed = new Promise((resolve) => caller.once('close', () => resolve()))
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

/** Requests with the given numbers, as text. */
function requests (first: number, count: number): string {
  return Array.from({ length: count }, (_, index) => `GET /${first + index} HTTP/1.1\r\nHost: desk.example\r\n\r\n`).join('')
}

function bodies (): readonly string[] {
  return [...received.matchAll(/answer to \/\d+/g)].map(([text]) => text)
}

function answerAll (): void {
  for (const response of responses) response.end(`answer to ${response.req.url ?? ''}`)
}

describe('a connection with pipelined requests', () => {
  // Guards against a caller that fills the process's memory with requests, without waiting for responses.
  test('has no more than the limit served, in order, and ends with the last response', async () => {
    caller.write(requests(0, 500))
    await waitUntil(() => responses.length === MAX_UNANSWERED)
    caller.write(requests(500, 500))
    await new Promise((resolve) => setTimeout(resolve, 100))
    expect(responses).toHaveLength(MAX_UNANSWERED)
    answerAll()
    await closed
    expect(lastUrls).toEqual([`/${MAX_UNANSWERED - 1}`])
    expect(bodies()).toEqual(Array.from({ length: MAX_UNANSWERED }, (_, index) => `answer to /${index}`))
    expect(received.match(/connection: close/gi)).toHaveLength(1)
  })

  // Guards against responses that are lost because a sound caller sends more requests than the limit on one connection in time.
  test('stays open for any number of requests of which few are unanswered', async () => {
    for (let sent = 0; sent < 5 * MAX_UNANSWERED; sent += 2) {
      caller.write(requests(sent, 2))
      await waitUntil(() => responses.length === 2)
      answerAll()
      await waitUntil(() => bodies().length === sent + 2)
      responses = []
    }
    expect(caller.closed).toBe(false)
    expect(lastUrls).toEqual([])
  })

  // Guards against a last request whose body is lost with the requests behind it.
  test('gets the whole body of its last request', async () => {
    let bytes = 0
    server.on('request', (incoming) => incoming.on('data', (chunk: Buffer) => { bytes += chunk.length }))
    caller.write(requests(0, MAX_UNANSWERED - 1))
    caller.write(`POST /last HTTP/1.1\r\nHost: desk.example\r\nContent-Length: ${BODY.length}\r\n\r\n${BODY.slice(0, 10)}`)
    await waitUntil(() => responses.length === MAX_UNANSWERED)
    caller.write(BODY.slice(10) + requests(100, 1000))
    await waitUntil(() => bytes === BODY.length)
    answerAll()
    await closed
    expect(lastUrls).toEqual(['/last'])
    expect(bodies()).toHaveLength(MAX_UNANSWERED - 1)
  })

  // Guards against work that goes on for a caller that has left, as the end of its connection is not read.
  test.each(['destroy', 'resetAndDestroy'] as const)('shows that its caller has left by %s while it is at the limit', async (leave) => {
    caller.write(requests(0, 1000))
    await waitUntil(() => responses.length === MAX_UNANSWERED)
    caller.write(requests(1000, 1000))
    await new Promise((resolve) => setTimeout(resolve, 50))
    caller[leave]()
    await waitUntil(() => connection?.destroyed === true)
  })
})
