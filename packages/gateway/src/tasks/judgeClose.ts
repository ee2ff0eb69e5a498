import type { CloseVerdict, FoundProcess, WriterEvidence } from '@quinceshunt/caller-connections'
import { assertNever } from '@quinceshunt/effects'
import type { IncomingMessage } from 'node:http'
import { steadyNow } from '../clock.js'
import { backendProcessOf, type BackendState } from '../decisions/backendState.js'
import type { ConnectionOrigin } from '../decisions/processProofs.js'
import type { GatewayContext } from './gatewayContext.js'
import { hasEventForEachToken } from './hasEventForEachToken.js'
import { probeBackend } from './probeBackend.js'
import type { RequestState } from './requestTask.js'

/** A backend server that is full answers a question for its health as late as a request. */
const HEALTH_TIMEOUT_MS = 400

/** A response that has ended, and the process to which its request was sent, as named by `backendProcessOf`. */
export interface ClosedResponse {
  readonly incoming: IncomingMessage | undefined
  readonly backendProcess: string
  readonly connection: ConnectionOrigin | undefined
}

/** Judges a response without a length or chunks whose connection was closed in order. */
export async function judgeClose (context: GatewayContext, state: RequestState, backend: BackendState, closed: ClosedResponse): Promise<CloseVerdict> {
  const log = (verdict: CloseVerdict): CloseVerdict => logged(context, state, closed, verdict)
  if (hasEventForEachToken(state)) return log({ kind: 'whole', because: 'all tokens were delivered' })
  // Of a refusal or failure only the status counts, and one that was not run may be sent again.
  if (!isSuccess(closed.incoming?.statusCode ?? 0)) return { kind: 'whole', because: 'the head tells the outcome' }
  return log(await judgeSuccess(context, backend, closed))
}

function logged (context: GatewayContext, state: RequestState, { backendProcess }: ClosedResponse, verdict: CloseVerdict): CloseVerdict {
  context.metrics.count('closed_responses_total', { verdict: verdict.kind })
  context.log.decision('closeJudged', { request: state.fields.attemptId, backend: backendProcess, verdict: verdict.kind, because: verdict.because, lastEventId: state.lastEventId, events: state.deliveredEvents + state.relayedEvents })
  return verdict
}

/** Connections that are open now may be those of the successor of the process that wrote the response. */
async function judgeSuccess (context: GatewayContext, backend: BackendState, closed: ClosedResponse): Promise<CloseVerdict> {
  const { address, service } = backend.entry
  const settings = context.configuration()?.service(service)
  // Only engines report which process they are.
  const evidence = settings?.engine === undefined ? plainEvidence(context, address, settings?.healthPath ?? '') : writerEvidence(context, backend, closed)
  const verdict = await context.closedResponses.judge(address, evidence)
  return backendProcessOf(backend.entry) === closed.backendProcess ? verdict : { kind: 'broken', because: 'another process is listed' }
}

/**
 * What can be told of the process that wrote a response. Two processes don't accept connections at one address, so that a connection
 * which was established before that of the response, and is still open, leads to its process.
 */
function writerEvidence (context: GatewayContext, backend: BackendState, { backendProcess, connection }: ClosedResponse): WriterEvidence {
  const { connections, processes } = context
  const closedAt = steadyNow()
  const leadsToWriter = (establishedAt: number): boolean => establishedAt <= (connection?.establishedAt ?? -Infinity) || processes.leadsTo(backendProcess, establishedAt)
  return {
    hasOpen: () => connections.openConnections(backend.entry.address).some(leadsToWriter),
    find: async () => await findWriter(context, backend, backendProcess, closedAt)
  }
}

/** What can be told of a process that reports nothing: whether anything but a forwarder answers at its address. */
function plainEvidence ({ connections }: GatewayContext, address: string, healthPath: string): WriterEvidence {
  return {
    hasOpen: () => connections.hasOpen(address),
    find: async () => {
      const outcome = await probeBackend(address, healthPath, HEALTH_TIMEOUT_MS)
      return outcome.kind === 'reached' || outcome.isSilent === true ? { kind: 'any' } : { kind: 'gone', because: outcome.reason }
    }
  }
}

/** Finds out whether the process that wrote a response lives after its end. A new connection alone may lead to its successor, or to a forwarder. */
async function findWriter ({ processes }: GatewayContext, backend: BackendState, backendProcess: string, closedAt: number): Promise<FoundProcess> {
  // An entry without a start time names no process.
  const isNamed = backend.entry.startedAt !== 0
  const reply = await processes.ask(backend, closedAt, 'origin')
  switch (reply.kind) {
    case 'told':
      if (!isNamed) return { kind: 'any' }
      return reply.backendProcess === backendProcess ? { kind: 'same' } : { kind: 'gone', because: 'another process replies' }
    // Once a process of the service has told its start, a reply without one may be that of a forwarder or of other software.
    case 'untold':
    case 'silent': return processes.canTell(backend.entry.service) ? { kind: 'gone', because: reply.reason } : { kind: 'any' }
    case 'closed':
    case 'unreached': return { kind: 'gone', because: reply.reason }
    default: return assertNever(reply)
  }
}

function isSuccess (status: number): boolean {
  return status >= 200 && status <= 299
}
