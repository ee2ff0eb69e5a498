import { afterEach, describe, expect, test } from '@jest/globals'
import { createServer, type AddressInfo, type Socket } from 'node:net'
import { createBackendReader, type BackendLoad, type BackendReader } from '../backendReader.js'
import { createProcessQuestions, type ProcessQuestions } from '../processQuestions.js'

/** Of a question that gets no reply, with the delays of a busy machine. */
const MAX_QUESTION_MS = 2000
/** Longer than the wait for a reply. */
const STANDS_STILL_MS = 1200
/** In time for a poll. */
const SLOW_REPLY_MS = 600

interface Backend {
  readonly address: string
  /** Load reports that were asked for. */
  readonly reports: number
  readonly connections: number
  respond: (socket: Socket) => void
  /** Answers on connections that are opened from now on. */
  respondOnNew: ((socket: Socket) => void) | undefined
  closeConnections (): void
  close (): Promise<void>
}

let backend: Backend
let reader: BackendReader
let reports: { readonly address: string, readonly load: BackendLoad }[]

function createQuestions (): ProcessQuestions {
  return createProcessQuestions({ reader, onReport: (address, load) => reports.push({ address, load }) })
}

function writeReport (socket: Socket, incarnation = 'p1'): void {
  const report = JSON.stringify({ id: 'service', incarnation, state: 'live', asOf: 0, running: 0, queued: 0, slots: 2 })
  socket.write(`HTTP/1.1 200 OK\r\nContent-Length: ${report.length}\r\n\r\n${report}`)
}

async function start (): Promise<void> {
  const sockets = new Set<Socket>()
  let reportsAsked = 0
  let connections = 0
  const server = createServer((socket) => {
    connections++
    const respond = backend.respondOnNew
    sockets.add(socket)
    socket.on('error', () => {})
    socket.on('close', () => sockets.delete(socket))
    socket.on('data', () => {
      reportsAsked++
      if (respond === undefined) backend.respond(socket)
      else respond(socket)
    })
  })
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
  const closeConnections = (): void => { for (const socket of sockets) socket.destroy() }
  backend = {
    address: `http://127.0.0.1:${(server.address() as AddressInfo).port}`,
    get reports () { return reportsAsked },
    get connections () { return connections },
    respond: (socket) => writeReport(socket),
    respondOnNew: undefined,
    closeConnections,
    close: async () => {
      closeConnections()
      if (server.listening) await new Promise((resolve) => server.close(resolve))
    }
  }
  reader = createBackendReader()
  reports = []
}

afterEach(async () => {
  reader.close()
  await backend.close()
})

describe('the question which process a backend server is', () => {
  // Guards against a question for each answer of many that end at once.
  test('is shared by those who ask for a reply that is new enough, and sent again for others', async () => {
    await start()
    const { ask } = createQuestions()
    const since = performance.now()
    const replies = await Promise.all([ask(backend.address, since), ask(backend.address, since)])
    expect(replies).toEqual([{ kind: 'told', incarnation: 'p1' }, { kind: 'told', incarnation: 'p1' }])
    await ask(backend.address, since)
    expect(backend.reports).toBe(1)
    await ask(backend.address, performance.now())
    expect(backend.reports).toBe(2)
  })

  // Guards against a predecessor that doesn't listen any more, but replies on a connection that a poll has kept, and is taken for the process at the address.
  test('is sent on a new connection, also while an idle one is open', async () => {
    await start()
    await reader.load(backend.address, MAX_QUESTION_MS)
    // Only then the connection is idle.
    await new Promise((resolve) => setImmediate(resolve))
    backend.respondOnNew = (socket) => writeReport(socket, 'p2')
    expect(await createQuestions().ask(backend.address, 0)).toEqual({ kind: 'told', incarnation: 'p2' })
    expect(backend.connections).toBe(2)
  })

  // Guards against a restart that is known only from the next poll on, so that sound answers of the successor fail until then.
  test('has its reply read like that to a poll', async () => {
    await start()
    await createQuestions().ask(backend.address, 0)
    expect(reports).toEqual([{ address: backend.address, load: expect.objectContaining({ incarnation: 'p1' }) }])
  })

  // Guards against sound answers that fail because their backend server is slow, but not too slow for a poll.
  test('is told by a reply that is in time for a poll', async () => {
    await start()
    backend.respond = (socket) => { setTimeout(() => writeReport(socket), SLOW_REPLY_MS) }
    expect(await createQuestions().ask(backend.address, 0)).toEqual({ kind: 'told', incarnation: 'p1' })
  })

  // Guards against sound answers that fail because a load poll is late at that moment.
  test('does not wait for polls', async () => {
    await start()
    backend.respond = () => {}
    const polls = Array.from({ length: 2 }, async () => await reader.load(backend.address, MAX_QUESTION_MS).catch(() => {}))
    while (backend.reports < polls.length) await new Promise((resolve) => setTimeout(resolve, 1))
    backend.respond = (socket) => writeReport(socket)
    expect(await createQuestions().ask(backend.address, 0)).toEqual({ kind: 'told', incarnation: 'p1' })
    backend.closeConnections()
    await Promise.all(polls)
  })

  // Guards against a forwarder that is taken for the process, and against an answer that waits for its deadline.
  test.each<[string, (socket: Socket) => void]>([
    ['nothing', () => {}],
    ['the error of a forwarder', (socket) => { socket.write('HTTP/1.1 502 Bad Gateway\r\nContent-Length: 0\r\n\r\n') }],
    ['half a report', (socket) => { socket.end('HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n{"incarnation":"p1"') }],
    ['the end of its connection', (socket) => { socket.end() }]
  ])('is not told in time when the reply is %s', async (_, respond) => {
    await start()
    backend.respond = respond
    const askedAt = performance.now()
    expect(await createQuestions().ask(backend.address, 0)).toMatchObject({ kind: 'untold' })
    expect(performance.now() - askedAt).toBeLessThan(MAX_QUESTION_MS)
  })

  test('is not told when nothing listens', async () => {
    await start()
    await backend.close()
    expect(await createQuestions().ask(backend.address, 0)).toMatchObject({ kind: 'untold' })
  })

  // Guards against a sound answer that fails because this process stood still while the reply came.
  test('is told when the reply came while this process stood still', async () => {
    await start()
    backend.respond = (socket) => {
      writeReport(socket)
      const until = performance.now() + STANDS_STILL_MS
      while (performance.now() < until);
    }
    expect(await createQuestions().ask(backend.address, 0)).toEqual({ kind: 'told', incarnation: 'p1' })
  })
})
