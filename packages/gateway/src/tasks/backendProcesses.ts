import { handleArrivedEvents } from '@quinceshunt/caller-connections'
import { steadyNow } from '../clock.js'
import { backendProcessOf, processName, type BackendState } from '../decisions/backendState.js'
import { createProcessProofs, type ConnectionOrigin, type ProcessProofs } from '../decisions/processProofs.js'
import type { ProcessReportFormat } from '../ports.js'
import type { BackendConnections } from './backendConnections.js'
import type { DecisionLog } from './decisionLog.js'

/** A request waits for the reply; one that comes later still counts for requests that come after it. */
const REPLY_TIMEOUT_MS = 400
const MAX_REPORT_BYTES = 1_048_576
const OK = 200

/** Reply of a process that was asked which one it is. */
export type ProcessReply =
  | { readonly kind: 'told', readonly backendProcess: string }
  /** Its reply names no process. */
  | { readonly kind: 'untold', readonly reason: string }
  | { readonly kind: 'silent', readonly reason: string }
  /** The connection ended before a reply came. */
  | { readonly kind: 'closed', readonly reason: string }
  /** No connection was established. */
  | { readonly kind: 'unreached', readonly reason: string }

/** Why a process is asked: a request follows on the connection that a question opens, or none does and it is closed. */
export type QuestionPurpose = 'continuation' | 'origin'

/** Knows which processes of backend servers answer this instance, and asks them. */
export interface BackendProcesses extends ProcessProofs {
  /** True when the process that was listed when a request was sent is certainly the one at the other end of its connection. */
  isProven (connection: ConnectionOrigin): boolean
  /** A process has answered a request that was sent then. */
  noteAnswer (connection: ConnectionOrigin | undefined, sentAt: number): void
  /** True once a process of a service has told which one it is; until then processes of the service are told apart by the list alone. */
  canTell (service: string): boolean
  /** Asks the process behind an entry which one it is; a question counts that was sent after `since`. */
  ask (backend: BackendState, since: number, purpose: QuestionPurpose): Promise<ProcessReply>
}

/** Dependencies of the task. */
export interface BackendProcessesOptions {
  readonly connections: Pick<BackendConnections, 'start' | 'hasIdle'>
  readonly report: ProcessReportFormat
  readonly log: DecisionLog
  readonly count: (outcome: ProcessReply['kind']) => void
}

interface Question {
  readonly askedAt: number
  readonly reply: Promise<ProcessReply>
}

/** Creates the record of an instance that has heard of no process. */
export function createBackendProcesses ({ connections, report, log, count }: BackendProcessesOptions): BackendProcesses {
  const proofs = createProcessProofs()
  const questions = new Map<string, Question>()
  const tellingServices = new Set<string>()

  function isProven ({ backendProcess, establishedAt }: ConnectionOrigin): boolean {
    return proofs.leadsTo(backendProcess, establishedAt)
  }

  /** Reads the report of a process, on a new connection if a kept one is closed by its idle timeout meanwhile. */
  async function readReport (backend: BackendState, purpose: QuestionPurpose): Promise<ProcessReply> {
    const { reply, wasKept } = await readReportOnce(backend, purpose === 'origin' && !connections.hasIdle(backend.entry.address))
    return reply.kind === 'closed' && wasKept ? (await readReportOnce(backend, true)).reply : reply
  }

  function readReportOnce ({ entry }: BackendState, needsNewConnection: boolean): Promise<{ readonly reply: ProcessReply, readonly wasKept: boolean }> {
    return new Promise((resolve) => {
      const chunks: Buffer[] = []
      let hasReplied = false
      let isGivenUp = false
      let timer: NodeJS.Timeout | undefined
      let bytes = 0
      const exchange = connections.start({ address: entry.address, method: 'GET', path: report.path, headers: { host: entry.address }, body: Buffer.alloc(0), needsNewConnection, backendProcess: backendProcessOf(entry) }, {
        onConnected: () => { timer = setTimeout(giveUp, REPLY_TIMEOUT_MS) },
        onHead: ({ statusCode }) => {
          hasReplied = true
          if (statusCode !== OK) exchange.abort(`status ${statusCode ?? 0}`)
        },
        onData: (chunk) => {
          bytes += chunk.length
          if (bytes > MAX_REPORT_BYTES) exchange.abort('report too large')
          else chunks.push(chunk)
        },
        onEnd: () => {
          const startedAt = report.decodeStartTime(Buffer.concat(chunks).toString())
          finish(startedAt === undefined ? { kind: 'untold', reason: 'the report names no start time' } : { kind: 'told', backendProcess: processName(entry.id, startedAt) })
        },
        onBroken: (sent, reason) => finish({ kind: hasReplied ? 'untold' : !sent ? 'unreached' : isGivenUp ? 'silent' : 'closed', reason })
      })
      /** After a pause of this process, a reply that had arrived is read only now. */
      function giveUp (): void {
        handleArrivedEvents().then(() => {
          isGivenUp = true
          exchange.abort('no reply in time')
        }, (error: unknown) => exchange.abort(String(error)))
      }
      function finish (reply: ProcessReply): void {
        clearTimeout(timer)
        resolve({ reply, wasKept: exchange.reusedConnection })
      }
    })
  }

  async function askNow (backend: BackendState, askedAt: number, purpose: QuestionPurpose): Promise<ProcessReply> {
    const { service } = backend.entry
    const listed = backendProcessOf(backend.entry)
    const reply = await readReport(backend, purpose)
    if (reply.kind === 'told') {
      proofs.noteAlive(reply.backendProcess, askedAt)
      if (reply.backendProcess !== listed) proofs.noteReplaced(listed, steadyNow())
      tellingServices.add(service)
    }
    count(reply.kind)
    log.decision('processAsked', { backend: backend.entry.id, listed, ...reply, milliseconds: steadyNow() - askedAt })
    return reply
  }

  function ask (backend: BackendState, since: number, purpose: QuestionPurpose): Promise<ProcessReply> {
    const { id } = backend.entry
    const current = questions.get(id)
    if (current !== undefined && current.askedAt >= since) return current.reply
    const askedAt = steadyNow()
    const question = { askedAt, reply: askNow(backend, askedAt, purpose).finally(() => { if (questions.get(id) === question) questions.delete(id) }) }
    questions.set(id, question)
    return question.reply
  }

  return {
    ...proofs,
    isProven,
    canTell: (service) => tellingServices.has(service),
    noteAnswer: (connection, sentAt) => { if (connection !== undefined && isProven(connection)) proofs.noteAlive(connection.backendProcess, sentAt) },
    ask
  }
}
