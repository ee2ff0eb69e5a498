import { assertNever } from '@quinceshunt/effects'
import { steadyNow } from '../clock.js'
import { backendProcessOf, recordObservation, type BackendState } from '../decisions/backendState.js'
import type { ConnectionOrigin } from '../decisions/processProofs.js'
import { weighStart, type ProcessFinding } from '../decisions/streamCertainty.js'
import { mayGoOnAt } from '../decisions/streamOrigins.js'
import type { ProcessReply, QuestionPurpose } from './backendProcesses.js'
import type { GatewayContext } from './gatewayContext.js'
import type { RequestState } from './requestTask.js'

/** What is known of the process at a backend server's address: the listed one, or what it replied otherwise. */
type AnsweringProcess = 'listed' | ProcessReply['kind']

/** Questions for one request; further backend servers are used only where no question is needed. */
const MAX_QUESTIONS = 3

function hasBegun ({ streamStart }: RequestState): boolean {
  return streamStart.kind !== 'notBegun'
}

/** Asks a process which one it is, for no longer than the request may last. */
async function askInTime ({ processes }: GatewayContext, { deadline }: RequestState, backend: BackendState, since: number, purpose: QuestionPurpose): Promise<ProcessReply> {
  let timer: NodeJS.Timeout | undefined
  const outOfTime = new Promise<ProcessReply>((resolve) => {
    timer = setTimeout(() => resolve({ kind: 'silent', reason: 'out of time' }), Math.max(0, deadline - steadyNow()))
  })
  return await Promise.race([processes.ask(backend, since, purpose), outOfTime]).finally(() => clearTimeout(timer))
}

/** True when processes of a service may have several versions: several are listed, or a process answers whose version is not listed yet. */
function mayVersionsDiffer ({ backends, processes, streamVersions }: GatewayContext, service: string): boolean {
  return streamVersions.isMixed(service) || backends.candidates(service, steadyNow()).some(({ entry }) => processes.isReplaced(backendProcessOf(entry)))
}

/** True when a process that names no start time, or is asked no more, may be taken for the listed one. */
function mayTrustList (context: GatewayContext, { entry }: BackendState): boolean {
  const { processes } = context
  return !processes.canTell(entry.service) || (!processes.isSuspect(backendProcessOf(entry)) && !mayVersionsDiffer(context, entry.service))
}

/** Finds out by a question whether the listed process answers at its address. */
async function findListedProcess (context: GatewayContext, state: RequestState, backend: BackendState, since: number): Promise<AnsweringProcess> {
  if (state.processQuestions >= MAX_QUESTIONS) return 'untold'
  state.processQuestions++
  const reply = await askInTime(context, state, backend, since, 'continuation')
  return reply.kind === 'told' && reply.backendProcess === backendProcessOf(backend.entry) ? 'listed' : reply.kind
}

/** True once a stream may go on at a backend server, as far as it can be told before a connection is taken. */
export async function mayContinueAt (context: GatewayContext, state: RequestState, backend: BackendState): Promise<boolean> {
  if (!hasBegun(state)) return true
  const { connections, processes } = context
  const listed = backendProcessOf(backend.entry)
  const idle = connections.idleConnections(backend.entry.address)
  const isKnown = idle.length > 0 && idle.every((establishedAt) => processes.leadsTo(listed, establishedAt))
  // The question opens the connection on which the request is sent next.
  const found = isKnown ? 'listed' : await findListedProcess(context, state, backend, steadyNow())
  context.metrics.count('stream_continuations_total', { process: isKnown ? 'known' : found })
  if (found === 'unreached') {
    recordObservation(backend, { kind: 'unreachable' }, steadyNow())
    context.reach.noteUnreachable(backend)
  }
  // The entry may have changed meanwhile.
  return mayGoOnAt(state.streamStart, backend.entry) && isUsable(context, backend, found)
}

function isUsable (context: GatewayContext, backend: BackendState, found: AnsweringProcess): boolean {
  switch (found) {
    case 'listed': return true
    case 'untold': return mayTrustList(context, backend)
    case 'silent':
    case 'closed': return !context.processes.canTell(backend.entry.service)
    case 'told':
    case 'unreached': return false
    default: return assertNever(found)
  }
}

/** Returns how an attempt confirms the connection on which it goes on with a stream; undefined for one that begins. */
export function connectionCheck (context: GatewayContext, state: RequestState, backend: BackendState): ((connection: ConnectionOrigin) => Promise<boolean>) | undefined {
  if (!hasBegun(state)) return undefined
  const listed = backendProcessOf(backend.entry)
  const isSameEntry = (): boolean => backendProcessOf(backend.entry) === listed
  return async ({ establishedAt }) => {
    if (context.processes.leadsTo(listed, establishedAt)) return true
    const found = await findListedProcess(context, state, backend, establishedAt)
    return isSameEntry() && isUsable(context, backend, found)
  }
}

/** Finds out which process began the stream of a request that is to be sent again, where that is not certain. */
export async function confirmStreamStart (context: GatewayContext, state: RequestState): Promise<void> {
  const start = context.streamVersions.confirm(state.streamStart)
  state.streamStart = start
  if (start.kind !== 'begun' || start.evidence.kind !== 'connection') return
  const finding = await findBeginner(context, state, start.backendId, start.evidence.connection)
  const isListTrusted = !context.processes.canTell(start.service) || !(start.evidence.wasSuspect || mayVersionsDiffer(context, start.service))
  state.streamStart = weighStart(start, finding, isListTrusted)
  if (finding.kind === 'other') await context.streamVersions.refute(streamIdOf(state))
  context.log.decision('streamStartWeighed', { request: state.fields.attemptId, backend: start.backendId, version: start.version, finding: finding.kind, start: state.streamStart.kind })
}

/** The caller's attempt that brought the first event of the stream. */
function streamIdOf ({ fields }: RequestState): string {
  return fields.lastEventId === '' ? fields.attemptId : fields.resumedAttemptId
}

async function findBeginner (context: GatewayContext, state: RequestState, backendId: string, { backendProcess, establishedAt }: ConnectionOrigin): Promise<ProcessFinding> {
  const backend = context.backends.find(backendId)
  if (backend === undefined || backendProcessOf(backend.entry) !== backendProcess) return { kind: 'open' }
  if (state.processQuestions >= MAX_QUESTIONS) return { kind: 'open' }
  state.processQuestions++
  const reply = await askInTime(context, state, backend, establishedAt, 'origin')
  if (reply.kind !== 'told') return { kind: 'open' }
  return { kind: reply.backendProcess === backendProcess ? 'listed' : 'other' }
}
