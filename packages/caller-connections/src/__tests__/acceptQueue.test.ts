import { afterEach, beforeEach, describe, expect, test } from '@jest/globals'
import { connect, createServer, Socket, type AddressInfo, type NetConnectOpts, type Server } from 'node:net'
import { startAcceptQueue, type AcceptedConnection, type AcceptQueue } from '../acceptQueue.js'

/** Longer than the interval of the probes. */
const PROBED_MS = 1300
const ACCEPT_MS = 50
/** Those that arrive before the first probe are accepted for three seconds after it. */
const QUEUED_CONNECTIONS = 80
const FEW_CONNECTIONS = 10
const ABANDONED_AFTER_MS = 500

interface Accepted {
  readonly kind: AcceptedConnection['kind']
  readonly at: number
}

let server: Server
let queue: AcceptQueue
let accepted: Accepted[]
let sockets: Socket[]
let acceptMilliseconds: number

beforeEach(async () => {
  accepted = []
  sockets = []
  acceptMilliseconds = 0
  server = createServer((socket) => {
    keepBusy(acceptMilliseconds)
    accepted.push({ kind: queue.classify(socket).kind, at: performance.now() })
    sockets.push(socket)
  })
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
  queue = startAcceptQueue({ address: { host: '127.0.0.1', port: portOf() }, now: () => performance.now(), onWait: () => {}, onError: () => {} })
})

afterEach(async () => {
  queue.stop()
  for (const socket of sockets) socket.destroy()
  await new Promise((resolve) => server.close(resolve))
})

function portOf (): number {
  return (server.address() as AddressInfo).port
}

function open (local: { readonly localAddress?: string, readonly localPort?: number | undefined } = {}): void {
  const socket = connect({ port: portOf(), host: '127.0.0.1', ...local } as NetConnectOpts)
  socket.on('error', () => {})
  sockets.push(socket)
}

/** Tells of many requests whose callers left before their turn. */
function leaveAll (): void {
  for (let index = 0; index < QUEUED_CONNECTIONS; index++) queue.noteLeft(new Socket())
}

async function pause (milliseconds: number): Promise<void> {
  await new Promise((resolve) => setTimeout(resolve, milliseconds))
}

function keepBusy (milliseconds: number): void {
  const end = performance.now() + milliseconds
  while (performance.now() < end);
}

describe('connections in the queue of a listener', () => {
  // Guards against work for callers who gave their connections up while these waited.
  test('those that waited for long ahead of a probe are abandoned, those behind it are not', async () => {
    leaveAll()
    acceptMilliseconds = ACCEPT_MS
    const openedAt = performance.now()
    for (let index = 0; index < QUEUED_CONNECTIONS; index++) open()
    await pause(PROBED_MS + QUEUED_CONNECTIONS * ACCEPT_MS)
    const firstProbe = accepted.findIndex(({ kind }) => kind === 'probe')
    const ahead = accepted.slice(0, firstProbe)
    expect(ahead.filter(({ kind }) => kind === 'abandoned').length).toBeGreaterThan(0)
    expect(ahead.filter(({ kind, at }) => kind === 'abandoned' && at - openedAt < ABANDONED_AFTER_MS)).toEqual([])
    acceptMilliseconds = 0
    await pause(PROBED_MS)
    const before = accepted.length
    open()
    await pause(2 * ACCEPT_MS)
    expect(accepted.slice(before).filter(({ kind }) => kind !== 'probe')).toEqual([expect.objectContaining({ kind: 'caller' })])
  }, 20_000)

  // Guards against sound callers who wait longer than others, in a flood of connections that their callers keep.
  test('none are abandoned while the callers of most received requests stay', async () => {
    leaveAll()
    for (let index = 0; index < QUEUED_CONNECTIONS; index++) queue.noteStarted(new Socket())
    acceptMilliseconds = ACCEPT_MS
    for (let index = 0; index < QUEUED_CONNECTIONS; index++) open()
    await pause(PROBED_MS + QUEUED_CONNECTIONS * ACCEPT_MS)
    expect(accepted.filter(({ kind }) => kind === 'abandoned')).toEqual([])
  }, 20_000)

  // Guards against sound callers whose connections are closed because passes of the event loop take long.
  test('a few that wait for long are not abandoned', async () => {
    leaveAll()
    await pause(PROBED_MS)
    acceptMilliseconds = ABANDONED_AFTER_MS
    for (let index = 0; index < FEW_CONNECTIONS; index++) open()
    await pause(FEW_CONNECTIONS * ABANDONED_AFTER_MS)
    expect(accepted.filter(({ kind }) => kind === 'abandoned')).toEqual([])
  }, 20_000)

  test('those that are accepted at once are callers\'', async () => {
    for (let index = 0; index < 20; index++) {
      open()
      await pause(PROBED_MS / 10)
    }
    expect(accepted.filter(({ kind }) => kind === 'abandoned')).toEqual([])
    expect(accepted.filter(({ kind }) => kind === 'caller')).toHaveLength(20)
    expect(queue.milliseconds).toBeLessThan(ABANDONED_AFTER_MS)
  })

  // Guards against a caller whose connection is closed as the process's own, because it has the same port on another address.
  test('a caller on another address with the port of a probe is a caller', async () => {
    server.removeAllListeners('connection')
    const seen: Socket[] = []
    server.on('connection', (socket) => {
      sockets.push(socket)
      seen.push(socket)
    })
    while (seen.length === 0) await pause(ACCEPT_MS)
    const [probe] = seen
    open({ localAddress: '127.0.0.2', localPort: probe?.remotePort })
    while (seen.length === 1) await pause(ACCEPT_MS)
    const [, caller] = seen
    if (probe === undefined || caller === undefined) throw new Error('the connections were not accepted')
    expect(caller.remotePort).toBe(probe.remotePort)
    expect([queue.classify(caller).kind, queue.classify(probe).kind]).toEqual(['caller', 'probe'])
  })
})
