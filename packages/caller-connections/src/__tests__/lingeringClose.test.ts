import { afterEach, beforeEach, describe, expect, test } from '@jest/globals'
import { createServer, type Server } from 'node:http'
import { connect, type AddressInfo, type Socket } from 'node:net'
import { createPipelineLimit } from '../pipelineLimit.js'

const MAX_UNANSWERED = 3
const ANSWER = 'x'.repeat(2_000_000)
const REQUEST = 'GET / HTTP/1.1\r\nHost: desk.example\r\n\r\n'
/** Longer than a connection lingers. */
const LONG_MS = 8000

let server: Server
let caller: Socket

beforeEach(async () => {
  const limit = createPipelineLimit(MAX_UNANSWERED)
  server = createServer((incoming, response) => {
    const admission = limit.admit(incoming, response)
    if (admission.kind === 'ignored') return
    if (admission.kind === 'last') response.setHeader('connection', 'close')
    setTimeout(() => response.end(ANSWER), 50)
  })
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
  caller = connect({ port: (server.address() as AddressInfo).port, host: '127.0.0.1', allowHalfOpen: true })
  caller.on('error', () => {})
})

afterEach(() => {
  caller.destroy()
  server.close()
})

describe('a connection at the limit of unanswered requests whose caller goes on sending', () => {
  // Guards against a reset, caused by requests that cross the end of the connection, which discards answers that were not read yet.
  test('brings all answers whole to a caller that reads slowly', async () => {
    let bytes = 0
    const ended = new Promise((resolve) => {
      caller.once('end', resolve)
      caller.once('close', resolve)
    })
    caller.write(REQUEST.repeat(MAX_UNANSWERED))
    const timer = setInterval(() => { if (caller.writable) caller.write(REQUEST) }, 1)
    caller.on('data', (chunk) => {
      bytes += chunk.length
      caller.pause()
      setTimeout(() => caller.resume(), 2)
    })
    await ended
    clearInterval(timer)
    expect(bytes).toBeGreaterThan(MAX_UNANSWERED * ANSWER.length)
  }, 20_000)

  // Guards against callers that keep connections open for good by sending on.
  test('is closed although its caller never closes its side', async () => {
    const closed = new Promise<string>((resolve) => caller.once('close', () => resolve('closed')))
    caller.resume()
    caller.write(REQUEST.repeat(MAX_UNANSWERED))
    const timer = setInterval(() => { if (caller.writable) caller.write(REQUEST) }, 50)
    const outcome = await Promise.race([closed, new Promise<string>((resolve) => setTimeout(() => resolve('open'), LONG_MS))])
    clearInterval(timer)
    expect(outcome).toBe('closed')
  }, 20_000)
})
