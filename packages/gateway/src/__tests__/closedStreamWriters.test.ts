import { afterEach, beforeEach, describe, expect, test } from '@jest/globals'
import { createClosedResponses, type CloseVerdict } from '@quinceshunt/caller-connections'
import { createServer, type Server, type Socket, type AddressInfo } from 'node:net'
import { createTestBackend } from '../__fixtures__/backends.js'
import { createRecordingLog } from '../__fixtures__/recordingLog.js'
import { backendProcessOf, type BackendState } from '../decisions/backendState.js'
import { createBackendConnections, type BackendConnections, type Exchange } from '../tasks/backendConnections.js'
import { createBackendProcesses, type BackendProcesses } from '../tasks/backendProcesses.js'
import type { GatewayContext } from '../tasks/gatewayContext.js'
import { judgeClose } from '../tasks/judgeClose.js'
import type { RequestState } from '../tasks/requestTask.js'

const STARTED_AT = 7
const SUCCESSOR_STARTED_AT = 8
const HEAD = 'HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n'
const STATE = { fields: { attemptId: 'stream', prompt: undefined }, lastEventId: '1', deliveredEvents: 1, relayedEvents: 0 } as unknown as RequestState

/** A process of an engine. */
interface Engine {
  readonly port: number
  /** Reports that it was asked for. */
  readonly reports: number
  /** Ends one of its streams, in the order in which they began. */
  endStream (index: number): void
  /** Its kernel closes its connections in order. */
  kill (): Promise<void>
}

let running: Engine | undefined
let connections: BackendConnections
let processes: BackendProcesses
let context: GatewayContext

/** What a process writes to a report that is asked for, and whether it closes the connection then. */
interface Report {
  readonly bytes: string
  readonly isLast?: boolean
}

function reportOf (startedAt: number): Report {
  const body = `born ${startedAt}`
  return { bytes: `HTTP/1.1 200 OK\r\nContent-Length: ${body.length}\r\n\r\n${body}` }
}

async function startEngine (report: Report, port = 0): Promise<Engine> {
  const sockets = new Set<Socket>()
  const streams: Socket[] = []
  let reports = 0
  const server: Server = createServer((socket) => {
    sockets.add(socket)
    socket.on('error', () => {})
    socket.on('close', () => sockets.delete(socket))
    socket.on('data', (chunk) => {
      const path = String(chunk).split(' ')[1] ?? ''
      if (path === '/report') {
        reports++
        socket.write(report.bytes, () => { if (report.isLast === true) socket.end() })
      } else if (path === '/plain') {
        socket.write('HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok')
      } else {
        streams.push(socket)
        socket.write(`${HEAD}id: 1\ndata: token\n\n`)
      }
    })
  })
  await new Promise<void>((resolve) => server.listen(port, '127.0.0.1', resolve))
  const engine: Engine = {
    port: (server.address() as AddressInfo).port,
    get reports () { return reports },
    endStream: (index) => { streams[index]?.end() },
    kill: async () => {
      for (const socket of sockets) socket.end()
      await new Promise<void>((resolve) => {
        server.close(() => resolve())
        setTimeout(resolve, 50)
      })
    }
  }
  running = engine
  return engine
}

function pause (milliseconds: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, milliseconds))
}

beforeEach(() => {
  connections = createBackendConnections()
  const report = { path: '/report', decodeStartTime: (body: string) => /^born (\d+)/.test(body) ? Number(body.slice('born '.length)) : undefined }
  const log = createRecordingLog()
  processes = createBackendProcesses({ connections, report, log, count: () => {} })
  context = {
    connections,
    closedResponses: createClosedResponses({ hasOpen: connections.hasOpen, eventLoopDelay: () => 0 }),
    configuration: () => ({ service: () => ({ engine: {} }) }),
    processes,
    metrics: { count: () => {} },
    log
  } as unknown as GatewayContext
})
afterEach(async () => {
  connections.closeAll()
  await running?.kill()
})

interface Stream {
  readonly exchange: Exchange
  readonly verdict: Promise<CloseVerdict>
}

/** Begins a stream whose end is judged; resolves once its first event has come. */
async function beginStream (backend: BackendState): Promise<Stream> {
  const backendProcess = backendProcessOf(backend.entry)
  let onVerdict: (verdict: CloseVerdict) => void = () => {}
  const verdict = new Promise<CloseVerdict>((resolve) => { onVerdict = resolve })
  const exchange = await new Promise<Exchange>((resolve) => {
    const begun: Exchange = connections.start({
      address: backend.entry.address,
      method: 'POST',
      path: '/chat/',
      headers: { host: 'example' },
      body: Buffer.alloc(0),
      needsNewConnection: false,
      backendProcess,
      judgeClose: async () => {
        const found = await judgeClose(context, STATE, backend, { incoming: { statusCode: 200 } as never, backendProcess, connection: begun.connection })
        onVerdict(found)
        return found
      }
    }, { onHead: () => {}, onData: () => resolve(begun), onEnd: () => {}, onBroken: (_, reason) => onVerdict({ kind: 'broken', because: reason }) })
  })
  return { exchange, verdict }
}

/** Sends a request whose connection is kept. */
async function sendPlain (backend: BackendState): Promise<void> {
  await new Promise<void>((resolve, reject) => {
    connections.start({ address: backend.entry.address, method: 'GET', path: '/plain', headers: { host: 'example' }, body: Buffer.alloc(0), needsNewConnection: false, backendProcess: backendProcessOf(backend.entry) }, {
      onHead: () => {}, onData: () => {}, onEnd: () => resolve(), onBroken: (_, reason) => reject(new Error(reason))
    })
  })
}

function listed ({ port }: Engine): BackendState {
  return createTestBackend('i-1', { address: `127.0.0.1:${port}`, startedAt: STARTED_AT })
}

describe('the end of a stream without a length or chunks', () => {
  // Guards against a stream whose caller reads slowly, so that its end is read when a successor, not listed yet, has open connections.
  test('is broken when its process was killed while the stream was not read, and its successor has an open connection', async () => {
    const engine = await startEngine(reportOf(STARTED_AT))
    const backend = listed(engine)
    const { exchange, verdict } = await beginStream(backend)
    exchange.pause()
    await engine.kill()
    await startEngine(reportOf(SUCCESSOR_STARTED_AT), engine.port)
    await sendPlain(backend)
    await pause(50)
    exchange.resume()
    expect(await verdict).toMatchObject({ kind: 'broken' })
  })

  // Guards against sound streams that are doubted, and against a question for each of them.
  test('is whole without a question while a stream is open that began before', async () => {
    const engine = await startEngine(reportOf(STARTED_AT))
    const backend = listed(engine)
    await beginStream(backend)
    const { verdict } = await beginStream(backend)
    await pause(20)
    engine.endStream(1)
    expect([await verdict, engine.reports]).toEqual([{ kind: 'whole', because: 'another connection is open' }, 0])
  })

  test('is whole after one question for several that end one after the other, while a stream is open that began after them', async () => {
    const engine = await startEngine(reportOf(STARTED_AT))
    const backend = listed(engine)
    const verdicts: unknown[] = []
    const ended: Stream[] = []
    for (let index = 0; index < 2; index++) {
      ended.push(await beginStream(backend))
      // So that the later connections are established after this one.
      await pause(5)
    }
    await beginStream(backend)
    await pause(20)
    for (const [index, { verdict }] of ended.entries()) {
      engine.endStream(index)
      verdicts.push(await verdict)
    }
    expect([verdicts, engine.reports]).toEqual([[{ kind: 'whole', because: 'its process replies' }, { kind: 'whole', because: 'another connection is open' }], 1])
  })

  // Guards against a reply without a start time, or half of one, that is taken for a sign of life of a process which has told its start.
  test.each<[string, Report]>([
    ['a forwarder answers in its place', { bytes: 'HTTP/1.1 502 Bad Gateway\r\nContent-Length: 0\r\n\r\n' }],
    ['a reply ends in its middle', { bytes: 'HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nborn ', isLast: true }],
    ['a successor names no start time', { bytes: 'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}' }]
  ])('is broken when %s, once its process has told its start', async (_, report) => {
    const engine = await startEngine(reportOf(STARTED_AT))
    const backend = listed(engine)
    const { verdict } = await beginStream(backend)
    await processes.ask(backend, 0, 'origin')
    const killing = engine.kill()
    await startEngine(report, engine.port).catch(async () => {
      await killing
      await startEngine(report, engine.port)
    })
    expect(await verdict).toMatchObject({ kind: 'broken' })
  })
})
