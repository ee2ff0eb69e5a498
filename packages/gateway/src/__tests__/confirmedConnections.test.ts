import { afterEach, describe, expect, test } from '@jest/globals'
import { startRawServer, type RawServer } from '../__fixtures__/rawServer.js'
import { steadyNow } from '../clock.js'
import type { ConnectionOrigin } from '../decisions/processProofs.js'
import { createBackendConnections, type BackendConnections, type BreakCause, type Exchange, type ExchangeRequest } from '../tasks/backendConnections.js'

type Outcome = { readonly kind: 'complete' } | { readonly kind: 'broken', readonly sent: boolean, readonly cause: BreakCause }

interface Started {
  readonly exchange: Exchange
  readonly outcome: Promise<Outcome>
}

let server: RawServer
let connections: BackendConnections
let received: string
/** Exchanges that said that their request is being sent. */
let announced: number

afterEach(async () => {
  connections.closeAll()
  await server.close()
})

async function startServer (): Promise<void> {
  received = ''
  announced = 0
  server = await startRawServer((socket, requestText) => {
    received += requestText
    socket.write('HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\none')
  })
  connections = createBackendConnections()
}

function start (changes: Partial<ExchangeRequest> = {}): Started {
  const { promise, resolve } = createDeferred<Outcome>()
  const exchange = connections.start({ address: server.address, method: 'POST', path: '/', headers: { host: 'example' }, body: Buffer.from('body'), needsNewConnection: false, ...changes }, {
    onConnected: () => { announced++ },
    onHead: () => {},
    onData: () => {},
    onEnd: () => resolve({ kind: 'complete' }),
    onBroken: (sent, _, cause) => resolve({ kind: 'broken', sent, cause })
  })
  return { exchange, outcome: promise }
}

function createDeferred<T> (): { readonly promise: Promise<T>, readonly resolve: (value: T) => void } {
  let resolve: (value: T) => void = () => {}
  const promise = new Promise<T>((_resolve) => { resolve = _resolve })
  return { promise, resolve }
}

function pause (milliseconds: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, milliseconds))
}

describe('an exchange whose connection is to be confirmed', () => {
  // Guards against a request that runs at a process which was not confirmed, or that is reported as one which may have run.
  test.each([[false], [true]])('sends no byte unless it is; on an idle connection: %s', async (isReused) => {
    await startServer()
    if (isReused) await start({ method: 'GET', body: Buffer.alloc(0) }).outcome
    await pause(20)
    received = ''
    const { outcome } = start({ confirmConnection: async () => false })
    expect(await outcome).toEqual({ kind: 'broken', sent: false, cause: 'unconfirmed' })
    await pause(50)
    expect(received).toBe('')
    expect(server.connections).toBe(1)
  })

  // Guards against an exchange that waits for good, and against a failed check that lets the request through.
  test('sends no byte when the check fails', async () => {
    await startServer()
    const { outcome } = start({ confirmConnection: async () => { throw new Error('check failed') } })
    expect(await outcome).toMatchObject({ kind: 'broken', sent: false })
    await pause(50)
    expect(received).toBe('')
  })

  // Guards against a caller that left while its connection was being confirmed and whose request runs all the same.
  test('sends no byte when it is aborted meanwhile', async () => {
    await startServer()
    const asked = createDeferred<undefined>()
    const verdict = createDeferred<boolean>()
    const { exchange, outcome } = start({
      confirmConnection: async () => {
        asked.resolve(undefined)
        return await verdict.promise
      }
    })
    await asked.promise
    exchange.abort('caller left')
    expect(await outcome).toEqual({ kind: 'broken', sent: false, cause: 'connection' })
    verdict.resolve(true)
    await pause(50)
    expect(received).toBe('')
    expect(announced).toBe(0)
  })

  // Guards against a check that holds every request back.
  test('is sent once it is confirmed', async () => {
    await startServer()
    const { outcome } = start({ confirmConnection: async () => true })
    expect(await outcome).toEqual({ kind: 'complete' })
    expect(received).toContain('POST / HTTP/1.1')
  })
})

describe('the origin of a connection', () => {
  // Guards against a connection that counts as established when it was used again, and so for a process that was listed only then.
  test('keeps when it was established, and names the process that is listed when it is used', async () => {
    await startServer()
    const origins: ConnectionOrigin[] = []
    const confirmConnection = async (connection: ConnectionOrigin): Promise<boolean> => origins.push(connection) > 0
    const startedAt = steadyNow()
    const first = start({ backendProcess: 'i-1/1', confirmConnection })
    expect(first.exchange.connection).toBeUndefined()
    await first.outcome
    const firstEndedAt = steadyNow()
    await pause(20)
    expect(connections.idleConnections(server.address)).toEqual([origins[0]?.establishedAt])
    const second = start({ backendProcess: 'i-1/2', confirmConnection })
    await second.outcome
    expect(server.connections).toBe(1)
    expect(origins).toEqual([first.exchange.connection, second.exchange.connection])
    expect(origins.map(({ backendProcess }) => backendProcess)).toEqual(['i-1/1', 'i-1/2'])
    expect(origins[1]?.establishedAt).toBe(origins[0]?.establishedAt)
    expect(origins[0]?.establishedAt).toBeGreaterThanOrEqual(startedAt)
    expect(origins[0]?.establishedAt).toBeLessThanOrEqual(firstEndedAt)
  })

  // Guards against a new connection that is taken for one of before.
  test('is a new one for an exchange with a connection of its own', async () => {
    await startServer()
    await start({ backendProcess: 'i-1/1' }).outcome
    const { exchange, outcome } = start({ backendProcess: 'i-1/2', needsNewConnection: true })
    await outcome
    expect(exchange.connection?.backendProcess).toBe('i-1/2')
    expect(server.connections).toBe(2)
  })
})
