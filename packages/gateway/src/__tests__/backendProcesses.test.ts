import { afterEach, describe, expect, test } from '@jest/globals'
import { createServer, type RequestListener, type Server } from 'node:http'
import { type AddressInfo } from 'node:net'
import { createTestBackend } from '../__fixtures__/backends.js'
import { createRecordingLog } from '../__fixtures__/recordingLog.js'
import { steadyNow } from '../clock.js'
import { backendProcessOf, type BackendState } from '../decisions/backendState.js'
import { createBackendConnections, type BackendConnections } from '../tasks/backendConnections.js'
import { createBackendProcesses, type BackendProcesses } from '../tasks/backendProcesses.js'

const STARTED_AT = 7
const LARGE_REPORT_BYTES = 2_000_000

interface Asked {
  readonly processes: BackendProcesses
  readonly backend: BackendState
  readonly counted: readonly string[]
}

let server: Server | undefined
let connections: BackendConnections | undefined

afterEach(async () => {
  connections?.closeAll()
  server?.closeAllConnections()
  await new Promise((resolve) => server === undefined ? resolve(undefined) : server.close(resolve))
  server = undefined
})

async function startBackend (respond: RequestListener): Promise<Asked> {
  const started = createServer(respond)
  server = started
  await new Promise<void>((resolve) => started.listen(0, '127.0.0.1', resolve))
  connections = createBackendConnections()
  const counted: string[] = []
  const report = { path: '/report', decodeStartTime: (body: string) => /^born (\d+)/.test(body) ? Number(body.slice('born '.length)) : undefined }
  return {
    processes: createBackendProcesses({ connections, report, log: createRecordingLog(), count: (outcome) => counted.push(outcome) }),
    backend: createTestBackend('i-1', { address: `127.0.0.1:${(started.address() as AddressInfo).port}`, startedAt: STARTED_AT }),
    counted
  }
}

function pause (milliseconds: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, milliseconds))
}

describe('the reply of a process that is asked which one it is', () => {
  // Guards against a proof that covers connections which were opened after the question was sent.
  test('names it and proves the connections that were open before', async () => {
    const { processes, backend, counted } = await startBackend((_, response) => response.end(`born ${STARTED_AT}`))
    const openBefore = { backendProcess: backendProcessOf(backend.entry), establishedAt: steadyNow() }
    expect(processes.isProven(openBefore)).toBe(false)
    expect(await processes.ask(backend, steadyNow(), 'continuation')).toEqual({ kind: 'told', backendProcess: backendProcessOf(backend.entry) })
    expect(processes.isProven(openBefore)).toBe(true)
    expect(processes.isProven({ ...openBefore, establishedAt: steadyNow() + 1000 })).toBe(false)
    expect(counted).toEqual(['told'])
  })

  // Guards against connections to a backend server in trouble that stay open because of a question, and against a second connection for the request that follows one.
  test.each([['continuation', true], ['origin', false]] as const)('leaves a connection for what follows a question for a %s: %s', async (purpose, isKept) => {
    const { processes, backend } = await startBackend((_, response) => response.end(`born ${STARTED_AT}`))
    await processes.ask(backend, steadyNow(), purpose)
    await pause(20)
    expect(connections?.hasIdle(backend.entry.address)).toBe(isKept)
  })

  // Guards against a successor whose reply is taken for that of the listed process.
  test('proves nothing of the listed process when it names another one', async () => {
    const { processes, backend } = await startBackend((_, response) => response.end('born 8'))
    const openBefore = { backendProcess: backendProcessOf(backend.entry), establishedAt: steadyNow() }
    expect(await processes.ask(backend, steadyNow(), 'continuation')).toEqual({ kind: 'told', backendProcess: 'i-1/8' })
    expect(processes.isProven(openBefore)).toBe(false)
    expect(processes.isProven({ ...openBefore, backendProcess: 'i-1/8' })).toBe(true)
  })

  // Guards against a service without reports that is refused for good, and against a report that fills the memory.
  test.each<[string, RequestListener]>([
    ['its status is 404', (_, response) => response.writeHead(404).end('born 7')],
    ['it holds no start time', (_, response) => response.end('{}')],
    ['it is too large', (_, response) => response.end(`born 7${' '.repeat(LARGE_REPORT_BYTES)}`)]
  ])('names no process when %s', async (_, respond) => {
    const { processes, backend, counted } = await startBackend(respond)
    expect(await processes.ask(backend, steadyNow(), 'continuation')).toMatchObject({ kind: 'untold' })
    expect(processes.canTell('model')).toBe(false)
    expect(processes.isProven({ backendProcess: backendProcessOf(backend.entry), establishedAt: 0 })).toBe(false)
    expect(counted).toEqual(['untold'])
  })

  // Guards against a request that waits for a process which does not reply.
  test('is silent when none comes in time', async () => {
    const { processes, backend } = await startBackend(() => {})
    const askedAt = steadyNow()
    expect(await processes.ask(backend, steadyNow(), 'continuation')).toMatchObject({ kind: 'silent' })
    expect(steadyNow() - askedAt).toBeLessThan(2000)
  })

  // Guards against a process that is taken for gone because a kept connection was closed by its idle timeout just then.
  test('is read on a new connection when a kept one is closed', async () => {
    let asked = 0
    const { processes, backend } = await startBackend((incoming, response) => {
      if (++asked === 2) incoming.socket.destroy()
      else response.end(`born ${STARTED_AT}`)
    })
    await processes.ask(backend, steadyNow(), 'continuation')
    await pause(20)
    expect(await processes.ask(backend, steadyNow(), 'origin')).toMatchObject({ kind: 'told' })
    expect(asked).toBe(3)
  })

  test('is closed when a new connection ends before it comes', async () => {
    const { processes, backend } = await startBackend((incoming) => incoming.socket.destroy())
    expect(await processes.ask(backend, steadyNow(), 'origin')).toMatchObject({ kind: 'closed' })
  })

  // Guards against a process that can't be reached and is tried as if it only did not name itself.
  test('is unreached when no connection is established', async () => {
    const { processes, backend } = await startBackend(() => {})
    await new Promise((resolve) => server?.close(resolve))
    expect(await processes.ask(backend, steadyNow(), 'continuation')).toMatchObject({ kind: 'unreached' })
  })

  // Guards against a list that is trusted although its processes could be asked, and one that is not although none ever tells.
  test('shows that the processes of its service can tell, and no others', async () => {
    const { processes, backend } = await startBackend((_, response) => response.end('born 8'))
    expect(processes.canTell('model')).toBe(false)
    await processes.ask(backend, steadyNow(), 'continuation')
    expect(processes.canTell('model')).toBe(true)
    expect(processes.canTell('other')).toBe(false)
  })
})

describe('a question that waits for its reply', () => {
  // Guards against a reply that is older than the connection whose process it is to prove.
  test('is shared with those whose connection was established before it was asked', async () => {
    let asked = 0
    const { processes, backend } = await startBackend((_, response) => {
      asked++
      setTimeout(() => response.end(`born ${STARTED_AT}`), 100)
    })
    const first = processes.ask(backend, steadyNow(), 'continuation')
    const askedBy = steadyNow()
    await pause(20)
    const before = processes.ask(backend, askedBy - 1000, 'continuation')
    const establishedAt = steadyNow()
    const later = processes.ask(backend, establishedAt, 'continuation')
    await Promise.all([first, before, later])
    expect(asked).toBe(2)
    expect(processes.isProven({ backendProcess: backendProcessOf(backend.entry), establishedAt })).toBe(true)
    await processes.ask(backend, establishedAt, 'continuation')
    expect(asked).toBe(3)
  })
})

describe('an answer to a request', () => {
  // Guards against an answer on a connection whose process is not certain and that proves the listed one.
  test('proves later connections only on a connection that is proven itself', async () => {
    const { processes, backend } = await startBackend((_, response) => response.end(`born ${STARTED_AT}`))
    const backendProcess = backendProcessOf(backend.entry)
    const early = { backendProcess, establishedAt: steadyNow() }
    const later = { backendProcess, establishedAt: steadyNow() + 1000 }
    processes.noteAnswer(early, later.establishedAt)
    processes.noteAnswer(undefined, later.establishedAt)
    expect(processes.isProven(later)).toBe(false)
    await processes.ask(backend, steadyNow(), 'continuation')
    processes.noteAnswer(early, later.establishedAt)
    expect(processes.isProven(later)).toBe(true)
  })
})
