import { steadyNow } from '../clock.js'
import { processName } from '../decisions/backendState.js'
import type { ConnectionOrigin } from '../decisions/processProofs.js'
import type { BackendConnections } from '../tasks/backendConnections.js'
import { createBackendProcesses, type BackendProcesses } from '../tasks/backendProcesses.js'
import { createTestBackend } from './backends.js'
import { createRecordingLog } from './recordingLog.js'

const BACKEND_ID = 'i-1'

interface TrueConnection {
  readonly acceptedBy: string
  /** The process that was listed when it was opened. */
  readonly listed: string
  /** Undefined until this instance has noticed that it is established. */
  establishedAt: number | undefined
}

/** A request or a question; the process reads it at some time after it was sent, and its answer arrives later. */
interface PendingCall {
  readonly acceptedBy: string
  readonly sentAt: number
  isServed: boolean
  receive (): void
}

interface Entry {
  readonly backendProcess: string
  readonly sequence: number
}

/** Processes that follow one another at an address under one ID, and what an instance learns of them. `index` chooses among what is there. */
export interface ProcessHistory extends Record<HistoryStep, (index: number) => void> {
  readonly processes: BackendProcesses
  names (): readonly string[]
  /** Connections that the instance knows, and whether the process that accepted them lives. */
  connections (): readonly { readonly origin: ConnectionOrigin, readonly acceptedBy: string, readonly isAlive: boolean }[]
}

/** What may happen. */
export type HistoryStep = 'replace' | 'open' | 'notice' | 'break' | 'write' | 'applyWrite' | 'sendRead' | 'serveRead' | 'receiveRead' | 'request' | 'answer' | 'receiveAnswer' | 'ask' | 'serveQuestion' | 'receiveQuestion'

function choose<T> (items: readonly T[], index: number): T | undefined {
  return items[index % Math.max(1, items.length)]
}

/** Starts with one process that is listed. */
export function createProcessHistory (): ProcessHistory {
  let startedAt = 1
  let listed: Entry = { backendProcess: processName(BACKEND_ID, startedAt), sequence: 0 }
  let stored = listed
  /** Entries that were sent and that the store has not applied, also of a process that has ended. A process sends one after the other. */
  const writes: Entry[] = []
  let sequence = 0
  let read: { readonly sentAt: number, seen: Entry | undefined } | undefined
  let lastReadAt = -Infinity
  const opened: TrueConnection[] = []
  const requests: PendingCall[] = []
  const questions: PendingCall[] = []

  const current = (): string => processName(BACKEND_ID, startedAt)
  const isAlive = (name: string): boolean => name === current()
  const known = (): readonly (TrueConnection & { establishedAt: number })[] => opened.flatMap((connection) => connection.establishedAt === undefined ? [] : [{ ...connection, establishedAt: connection.establishedAt }])
  const originOf = (connection: TrueConnection & { establishedAt: number }): ConnectionOrigin => ({ backendProcess: connection.listed, establishedAt: connection.establishedAt })

  const start: BackendConnections['start'] = (_, listener) => {
    let isFinished = false
    const finish = (report: () => void): void => {
      if (isFinished) return
      isFinished = true
      report()
    }
    const acceptedBy = current()
    const born = startedAt
    questions.push({
      acceptedBy,
      sentAt: steadyNow(),
      isServed: false,
      receive: () => finish(() => {
        listener.onData(Buffer.from(String(born)))
        listener.onEnd('length')
      })
    })
    return { abort: (reason) => finish(() => listener.onBroken(true, reason, 'connection')), pause: () => {}, resume: () => {}, reusedConnection: false, connection: undefined }
  }
  const processes = createBackendProcesses({ connections: { start, hasIdle: () => true }, report: { path: '/report', decodeStartTime: Number }, log: createRecordingLog(), count: () => {} })

  function serve (calls: readonly PendingCall[], index: number): void {
    const call = choose(calls.filter(({ acceptedBy, isServed }) => !isServed && isAlive(acceptedBy)), index)
    if (call !== undefined) call.isServed = true
  }

  function receive (calls: PendingCall[], index: number): void {
    const call = choose(calls.filter(({ isServed }) => isServed), index)
    if (call === undefined) return
    calls.splice(calls.indexOf(call), 1)
    call.receive()
  }

  return {
    processes,
    names: () => Array.from({ length: startedAt }, (_, index) => processName(BACKEND_ID, index + 1)),
    connections: () => known().map((connection) => ({ origin: originOf(connection), acceptedBy: connection.acceptedBy, isAlive: isAlive(connection.acceptedBy) })),
    replace: () => {
      startedAt++
      sequence = 0
    },
    open: () => { opened.push({ acceptedBy: current(), listed: listed.backendProcess, establishedAt: undefined }) },
    notice: () => { for (const connection of opened) connection.establishedAt ??= steadyNow() },
    break: () => processes.noteBroken(listed.backendProcess, steadyNow()),
    write: () => { if (!writes.some(({ backendProcess }) => isAlive(backendProcess))) writes.push({ backendProcess: current(), sequence: ++sequence }) },
    applyWrite: (index) => {
      const applied = choose(writes, index)
      if (applied === undefined) return
      writes.splice(writes.indexOf(applied), 1)
      stored = applied
    },
    sendRead: () => { read ??= { sentAt: steadyNow(), seen: undefined } },
    serveRead: () => { if (read !== undefined) read.seen ??= stored },
    receiveRead: () => {
      if (read?.seen === undefined) return
      const { sentAt, seen } = read
      if (seen.backendProcess === listed.backendProcess && seen.sequence > listed.sequence) processes.noteRenewed(seen.backendProcess, lastReadAt)
      listed = seen
      lastReadAt = sentAt
      read = undefined
    },
    request: (index) => {
      const connection = choose(known(), index)
      const sentAt = steadyNow()
      if (connection !== undefined) requests.push({ acceptedBy: connection.acceptedBy, sentAt, isServed: false, receive: () => processes.noteAnswer(originOf(connection), sentAt) })
    },
    answer: (index) => serve(requests, index),
    receiveAnswer: (index) => receive(requests, index),
    ask: () => { processes.ask(createTestBackend(BACKEND_ID, { startedAt: Number(listed.backendProcess.split('/')[1]) }), steadyNow(), 'continuation').catch(() => {}) },
    serveQuestion: (index) => serve(questions, index),
    receiveQuestion: (index) => receive(questions, index)
  }
}
