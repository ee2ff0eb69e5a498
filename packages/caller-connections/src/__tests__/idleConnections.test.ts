import { afterEach, beforeEach, describe, expect, test } from '@jest/globals'
import { createServer, type Server } from 'node:http'
import { connect, type AddressInfo, type Socket } from 'node:net'
import { keepConnectionsWithUnreadRequests } from '../idleConnections.js'

const KEEP_ALIVE_TIMEOUT_MS = 200
/** Node closes an idle connection a second after the timeout that it announces. */
const IDLE_TIMEOUT_MS = KEEP_ALIVE_TIMEOUT_MS + 1000

let server: Server
let caller: Socket
let received: string
let closed: Promise<void>

beforeEach(async () => {
  server = createServer({ keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS }, (incoming, response) => {
    incoming.resume()
    response.end('well done')
  })
  keepConnectionsWithUnreadRequests(server)
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
  received = ''
  caller = connect((server.address() as AddressInfo).port, '127.0.0.1')
  caller.on('data', (text) => { received += text.toString() })
  caller.on('error', () => {})
  closed = new Promise((resolve) => caller.once('close', () => resolve()))
  sendRequest('keep-alive')
  await new Promise((resolve) => setTimeout(resolve, KEEP_ALIVE_TIMEOUT_MS))
})

afterEach(() => {
  caller.destroy()
  server.close()
})

function sendRequest (connection: string): void {
  caller.write(`GET / HTTP/1.1\r\nHost: desk.example\r\nConnection: ${connection}\r\n\r\n`)
}

function countResponses (): number {
  return received.match(/HTTP\/1\.1 200/g)?.length ?? 0
}

/** Keeps the process from handling events, as other work would. */
function blockFor (milliseconds: number): void {
  Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, milliseconds)
}

describe('a kept connection whose idle timeout passes', () => {
  // Guards against a whole request that is neither read nor answered because the process was behind with its work.
  test('is not closed with a request on it that arrived while the process was busy', async () => {
    expect(countResponses()).toBe(1)
    // From here on, timers run before connections are read.
    await new Promise((resolve) => setImmediate(resolve))
    sendRequest('close')
    blockFor(IDLE_TIMEOUT_MS)
    await closed
    expect(countResponses()).toBe(2)
  })

  // Guards against connections that stay open for callers that send nothing more.
  test('is closed when nothing has arrived', async () => {
    await closed
    expect(countResponses()).toBe(1)
  })
})
