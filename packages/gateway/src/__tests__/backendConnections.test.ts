import { afterEach, describe, expect, test } from '@jest/globals'
import { connect, createServer, type AddressInfo, type Socket } from 'node:net'
import { createBackendConnections, type BackendConnections, type Exchange } from '../tasks/backendConnections.js'
import { startRawServer, type RawServer } from '../__fixtures__/rawServer.js'

type ExchangeOutcome = { readonly kind: 'complete', readonly body: string } | { readonly kind: 'broken', readonly sent: boolean, readonly reason: string }

let server: RawServer | undefined
let connections: BackendConnections | undefined

afterEach(async () => {
  connections?.closeAll()
  await server?.close()
})

async function exchangeWith (respond: (socket: Socket) => void): Promise<ExchangeOutcome> {
  server = await startRawServer(respond)
  connections = createBackendConnections()
  return await exchangeOnce(connections, server.address)
}

/** A connection of a caller in this process, as both ends see it. */
async function openCallerConnection (): Promise<{ readonly caller: Socket, readonly accepted: Socket }> {
  const listener = createServer()
  await new Promise<void>((resolve) => listener.listen(0, '127.0.0.1', resolve))
  const acceptedSocket = new Promise<Socket>((resolve) => listener.once('connection', resolve))
  const caller = connect({ host: '127.0.0.1', port: (listener.address() as AddressInfo).port })
  const accepted = await acceptedSocket
  listener.close()
  return { caller, accepted }
}

function exchangeOnce (pool: BackendConnections, address: string): Promise<ExchangeOutcome> {
  return new Promise((resolve) => {
    let body = ''
    pool.start({ address, method: 'GET', path: '/', headers: { host: 'example' }, body: Buffer.alloc(0), needsNewConnection: false }, {
      onHead: () => {},
      onData: (chunk) => { body += chunk.toString() },
      onEnd: () => resolve({ kind: 'complete', body }),
      onBroken: (sent, reason) => resolve({ kind: 'broken', sent, reason })
    })
  })
}

describe('responses of backend servers', () => {
  test('a response without a length is complete when the connection is closed', async () => {
    const outcome = await exchangeWith((socket) => socket.end('HTTP/1.1 200 OK\r\n\r\nwhole'))
    expect(outcome).toEqual({ kind: 'complete', body: 'whole' })
  })

  test('a response without a length is broken when the connection is reset', async () => {
    const outcome = await exchangeWith((socket) => {
      socket.write('HTTP/1.1 200 OK\r\n\r\npart')
      setTimeout(() => socket.resetAndDestroy(), 20)
    })
    expect(outcome.kind).toBe('broken')
  })

  test('a response without a length is broken when the reset directly follows its data', async () => {
    const outcome = await exchangeWith((socket) => {
      socket.write('HTTP/1.1 200 OK\r\n\r\npart', () => socket.resetAndDestroy())
    })
    expect(outcome.kind).toBe('broken')
  })

  test('a response shorter than its Content-Length is broken', async () => {
    const outcome = await exchangeWith((socket) => socket.end('HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\npart'))
    expect(outcome.kind).toBe('broken')
  })

  // Guards against a request that waits for its deadline because the backend server switched protocols.
  test('a response that switches protocols is broken at once', async () => {
    const outcome = await exchangeWith((socket) => socket.write('HTTP/1.1 101 Switching Protocols\r\nConnection: upgrade\r\nUpgrade: other\r\n\r\n'))
    expect(outcome).toMatchObject({ kind: 'broken', sent: true })
  }, 2000)

  test('a chunked response without its last chunk is broken', async () => {
    const outcome = await exchangeWith((socket) => socket.end('HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n'))
    expect(outcome.kind).toBe('broken')
  })

  test('a refused connection is reported as not sent', async () => {
    server = await startRawServer(() => {})
    const { address } = server
    await server.close()
    connections = createBackendConnections()
    const outcome = await exchangeOnce(connections, address)
    expect(outcome).toMatchObject({ kind: 'broken', sent: false })
  })

  test('a connection that received unsolicited bytes is not reused', async () => {
    server = await startRawServer((socket) => {
      socket.write('HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\none')
      setTimeout(() => socket.write('HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nextra'), 20)
    })
    connections = createBackendConnections()
    expect(await exchangeOnce(connections, server.address)).toEqual({ kind: 'complete', body: 'one' })
    await new Promise((resolve) => setTimeout(resolve, 80))
    expect(await exchangeOnce(connections, server.address)).toEqual({ kind: 'complete', body: 'one' })
    expect(server.connections).toBe(2)
  })

  test('a healthy connection is reused', async () => {
    server = await startRawServer((socket) => socket.write('HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\none'))
    connections = createBackendConnections()
    await exchangeOnce(connections, server.address)
    await exchangeOnce(connections, server.address)
    expect(server.connections).toBe(1)
  })
})

const withLength = 'HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole'
const inChunks = 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n'

describe.each([['a length', withLength], ['chunks', inChunks]])('bytes after a whole response with %s', (_framing, whole) => {
  const surplus: readonly (readonly [string, string])[] = [
    ['bytes that are no response', 'x'.repeat(100)],
    ['many bytes that are no response', '\0'.repeat(1_000_000)],
    ['a copy of it', whole],
    ['two copies of it', whole + whole]
  ]
  const halfHead = ['half a head', 'HTTP/1.1 200 OK\r\nContent-'] as const
  const LATER_MS = 5

  // Guards against a whole answer that is taken for a broken one because of bytes that belong to no request.
  test.each(surplus)('%s, in the same packet, leave it whole and close the connection', async (_name, bytes) => {
    const outcome = await exchangeWith((socket) => { socket.write(whole + bytes) })
    expect(outcome).toEqual({ kind: 'complete', body: 'whole' })
    await expectClosed()
  })

  test.each([...surplus, halfHead])('%s, a few milliseconds later, leave it whole and close the connection', async (_name, bytes) => {
    const outcome = await exchangeWith((socket) => {
      socket.write(whole)
      setTimeout(() => socket.write(bytes), LATER_MS)
    })
    expect(outcome).toEqual({ kind: 'complete', body: 'whole' })
    await expectClosed()
  })

  // Guards against an exchange that waits for its end, or a pause that loses the part which has come.
  test('leave it whole when it was paused meanwhile', async () => {
    server = await startRawServer((socket) => { socket.write(`${whole}surplus`) })
    const pool = connections = createBackendConnections()
    const { address } = server
    const outcome = await new Promise<ExchangeOutcome>((resolve) => {
      let body = ''
      const exchange = pool.start({ address, method: 'GET', path: '/', headers: { host: 'example' }, body: Buffer.alloc(0), needsNewConnection: false }, {
        onHead: () => {
          exchange.pause()
          setTimeout(() => exchange.resume(), 50)
        },
        onData: (chunk) => { body += chunk.toString() },
        onEnd: () => resolve({ kind: 'complete', body }),
        onBroken: (sent, reason) => resolve({ kind: 'broken', sent, reason })
      })
    })
    expect(outcome).toEqual({ kind: 'complete', body: 'whole' })
    await expectClosed()
  })

  /** The next request uses another connection, and its response is not mixed up with the surplus bytes. */
  async function expectClosed (): Promise<void> {
    // The surplus bytes come some milliseconds after the answer, and later on a busy machine.
    const deadline = Date.now() + 2000
    while (connections?.hasIdle(server?.address ?? '') === true && Date.now() < deadline) await new Promise((resolve) => setTimeout(resolve, 20))
    await new Promise((resolve) => setTimeout(resolve, 60))
    expect(connections?.hasIdle(server?.address ?? '')).toBe(false)
    await exchangeOnce(connections!, server!.address)
    expect(server?.connections).toBe(2)
  }
})

// Guards against an answer that is not whole and taken for whole because of bytes that are no response.
test.each([
  ['shorter than its length', 'HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\npart', ''],
  ['without its last chunk', 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n', 'surplus'],
  ['with half of its last chunk', 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n0\r\n', 'surplus'],
  ['without a length', 'HTTP/1.1 200 OK\r\n\r\npart', 'more']
])('a response %s is broken when its connection is reset after further bytes', async (_name, response, bytes) => {
  const outcome = await exchangeWith((socket) => {
    socket.write(response + bytes)
    setTimeout(() => socket.resetAndDestroy(), 20)
  })
  expect(outcome.kind).toBe('broken')
})

// Guards against a sound backend server that is taken for unreachable because this process was paused or behind.
test('a connection that was established while this process stood still is used', async () => {
  server = await startRawServer((socket) => { socket.write(withLength) })
  connections = createBackendConnections()
  const outcome = exchangeOnce(connections, server.address)
  await new Promise((resolve) => setImmediate(resolve))
  const standsStillUntil = Date.now() + 450
  while (Date.now() < standsStillUntil);
  expect(await outcome).toEqual({ kind: 'complete', body: 'whole' })
})

// Guards against work for callers that left while the connection was being established, which takes long in a process that is paused or behind.
test('a request whose caller left before the connection was established is not sent', async () => {
  let receivedBytes = 0
  const { caller, accepted } = await openCallerConnection()
  // The connection is accepted before this process handles that it is established, and the end of the caller's is read after both.
  const backend = createServer((socket) => {
    caller.destroy()
    socket.on('data', (chunk) => { receivedBytes += chunk.length })
    socket.on('error', () => {})
  })
  await new Promise<void>((resolve) => backend.listen(0, '127.0.0.1', resolve))
  const pool = connections = createBackendConnections()
  const outcome = await new Promise((resolve) => {
    const exchange = pool.start({ address: `127.0.0.1:${(backend.address() as AddressInfo).port}`, method: 'GET', path: '/', headers: { host: 'example' }, body: Buffer.alloc(0), needsNewConnection: false }, {
      onHead: () => {},
      onData: () => {},
      onEnd: () => resolve('complete'),
      onBroken: (sent, reason) => resolve({ sent, reason })
    })
    accepted.resume().once('end', () => exchange.abort('the caller left'))
  })
  await new Promise((resolve) => backend.close(resolve))
  expect({ outcome, receivedBytes }).toEqual({ outcome: { sent: false, reason: 'the caller left' }, receivedBytes: 0 })
})

describe('a connection in use as a sign that a backend server lives', () => {
  /** Starts an exchange whose response goes on as `respond` says; resolves once its head has come. */
  async function startExchange (respond: (socket: Socket) => void): Promise<{ readonly exchange: Exchange, readonly hasOpen: () => boolean }> {
    const started = server = await startRawServer((socket) => {
      socket.write('HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n')
      respond(socket)
    })
    const pool = connections = createBackendConnections()
    const exchange = await new Promise<Exchange>((resolve) => {
      const begun = pool.start({ address: started.address, method: 'GET', path: '/', headers: { host: 'example' }, body: Buffer.alloc(0), needsNewConnection: false }, {
        onHead: () => resolve(begun),
        onData: () => {},
        onEnd: () => {},
        onBroken: () => {}
      })
    })
    await new Promise((resolve) => setTimeout(resolve, 60))
    return { exchange, hasOpen: () => pool.hasOpen(started.address) }
  }

  test('counts while nothing comes on it', async () => {
    const { hasOpen } = await startExchange(() => {})
    expect(hasOpen()).toBe(true)
  })

  // Guards against a forwarder that has accepted the connection for a backend server which was killed.
  test('does not count before anything has come on it', async () => {
    const started = server = await startRawServer(() => {})
    const pool = connections = createBackendConnections()
    await new Promise<void>((resolve) => {
      pool.start({ address: started.address, method: 'GET', path: '/', headers: { host: 'example' }, body: Buffer.alloc(0), needsNewConnection: false }, { onConnected: resolve, onHead: () => {}, onData: () => {}, onEnd: () => {}, onBroken: () => {} })
    })
    await new Promise((resolve) => setTimeout(resolve, 60))
    expect(pool.hasOpen(started.address)).toBe(false)
  })

  // Guards against the bytes that a killed process has left, behind which the end of its connection is still to be read.
  test('does not count while bytes come on it', async () => {
    const { hasOpen } = await startExchange((socket) => {
      const timer = setInterval(() => socket.write('1\r\nx\r\n'), 2)
      socket.on('close', () => clearInterval(timer))
    })
    expect(hasOpen()).toBe(false)
  })

  // Guards against an end that is not read because the caller is slow.
  test('does not count while its exchange is paused', async () => {
    const { exchange, hasOpen } = await startExchange(() => {})
    exchange.pause()
    expect(hasOpen()).toBe(false)
    exchange.resume()
    expect(hasOpen()).toBe(true)
  })

  test('does not count once the backend server has closed it', async () => {
    const { hasOpen } = await startExchange((socket) => socket.end())
    expect(hasOpen()).toBe(false)
  })
})
