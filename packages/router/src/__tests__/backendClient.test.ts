import { afterEach, describe, expect, test } from '@jest/globals'
import { createServer, type RequestListener, type Server } from 'node:http'
import type { AddressInfo } from 'node:net'
import { readBody, sendBackendRequest, type BackendRequest, type BackendResponse } from '../backendClient.js'

const LIMIT_BYTES = 1000
const LONG_TIMEOUT_MS = 5000
let server: Server | undefined

afterEach(() => {
  server?.closeAllConnections()
  server?.close()
})

async function startServer (listener: RequestListener): Promise<string> {
  server = createServer(listener)
  await new Promise<void>((resolve) => server!.listen(0, '127.0.0.1', resolve))
  return `http://127.0.0.1:${(server.address() as AddressInfo).port}`
}

function send (address: string, changes: Partial<BackendRequest> = {}): Promise<BackendResponse> {
  return sendBackendRequest({ address, method: 'POST', path: '/', headers: { 'x-request-id': 'request' }, body: Buffer.from('body'), deadline: Date.now() + LONG_TIMEOUT_MS, signal: new AbortController().signal, freshConnection: true, ...changes })
}

/** Returns the head of the response; fails the test for any other outcome. */
async function open (address: string): Promise<Extract<BackendResponse, { kind: 'answering' }>> {
  const response = await send(address)
  if (response.kind !== 'answering') throw new Error(`unexpected outcome ${response.kind}`)
  return response
}

describe('sendBackendRequest', () => {
  // Guards against reporting a request as not run when it may have reached the backend server.
  test('reports "notSent" only when no connection was made', async () => {
    const address = await startServer((request) => request.socket.destroy())
    expect((await send(address)).kind).toBe('broken')
    server!.close()
    expect((await send(address)).kind).toBe('notSent')
  })

  test('distinguishes a request aborted after it was sent from one past its deadline', async () => {
    const address = await startServer(() => {})
    const abort = new AbortController()
    setTimeout(() => abort.abort(), 50)
    expect(await send(address, { signal: abort.signal })).toEqual({ kind: 'aborted', sent: true })
    expect((await send(address, { deadline: Date.now() + 50 })).kind).toBe('deadline')
  })
})

describe('readBody', () => {
  const writeHalf: RequestListener = (_request, response) => {
    response.setHeader('content-length', 10)
    response.write('half.')
  }

  // Guards against reading a response to its end after the caller has disconnected.
  test('stops reading when the caller aborts', async () => {
    const { message } = await open(await startServer(writeHalf))
    const abort = new AbortController()
    setTimeout(() => abort.abort(), 50)
    const startedAt = Date.now()
    expect((await readBody(message, { limitBytes: LIMIT_BYTES, deadline: startedAt + LONG_TIMEOUT_MS, signal: abort.signal })).kind).toBe('broken')
    expect(Date.now() - startedAt).toBeLessThan(LONG_TIMEOUT_MS / 2)
  })

  // Guards against returning part of a response as complete.
  test('never returns part of a response', async () => {
    const cut = await open(await startServer((request, response) => {
      writeHalf(request, response)
      setTimeout(() => request.socket.destroy(), 20)
    }))
    expect((await readBody(cut.message, { limitBytes: LIMIT_BYTES, deadline: Date.now() + LONG_TIMEOUT_MS })).kind).toBe('broken')
    server!.close()
    const late = await open(await startServer(writeHalf))
    expect((await readBody(late.message, { limitBytes: LIMIT_BYTES, deadline: Date.now() + 50 })).kind).toBe('deadline')
    server!.close()
    const large = await open(await startServer((_request, response) => { response.end('x'.repeat(LIMIT_BYTES + 1)) }))
    expect((await readBody(large.message, { limitBytes: LIMIT_BYTES, deadline: Date.now() + LONG_TIMEOUT_MS })).kind).toBe('tooLarge')
  })

  // Guards against chunks that are kept one by one, each of which takes over 300 bytes for one that is counted.
  test('takes the bytes of a response once, whatever the size of its chunks', async () => {
    const CHUNKS = 1_000_000
    const CHUNKS_A_PACKET = 10_000
    const packet = Buffer.from('1\r\nx\r\n'.repeat(CHUNKS_A_PACKET))
    const { message } = await open(await startServer(({ socket }, response) => {
      response.flushHeaders()
      for (let chunks = 0; chunks < CHUNKS; chunks += CHUNKS_A_PACKET) socket.write(packet)
      socket.write('0\r\n\r\n')
    }))
    const before = process.memoryUsage().rss
    const received = await readBody(message, { limitBytes: 2 * CHUNKS, deadline: Date.now() + 15_000 })
    const grown = process.memoryUsage().rss - before
    expect(received.kind === 'whole' && received.body.equals(Buffer.alloc(CHUNKS, 'x'))).toBe(true)
    expect(grown).toBeLessThan(150_000_000)
  }, 20_000)
})
