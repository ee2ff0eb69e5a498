import type { CloseVerdict } from '@quinceshunt/caller-connections'
import type { IncomingMessage } from 'node:http'
import { backendProcessOf, type BackendState } from '../decisions/backendState.js'
import type { GatewayContext } from './gatewayContext.js'
import { hasEventForEachToken } from './hasEventForEachToken.js'
import type { RequestState } from './requestTask.js'

/** A response that has ended, and the process to which its request was sent, as named by `backendProcessOf`. */
export interface ClosedResponse {
  readonly incoming: IncomingMessage | undefined
  readonly backendProcess: string
}

/** Judges a response without a length or chunks whose connection was closed in order. */
export async function judgeClose (context: GatewayContext, state: RequestState, backend: BackendState, { incoming, backendProcess }: ClosedResponse): Promise<CloseVerdict> {
  const { entry } = backend
  if (hasEventForEachToken(state)) return logged(context, state, entry.id, { kind: 'whole', because: 'all tokens were delivered' })
  // Of a refusal or failure only the status counts, and one that was not run may be sent again.
  if (!isSuccess(incoming?.statusCode ?? 0)) return { kind: 'whole', because: 'the head tells the outcome' }
  return logged(context, state, entry.id, await judgeSuccess(context, backend, backendProcess))
}

function logged (context: GatewayContext, state: RequestState, backendId: string, verdict: CloseVerdict): CloseVerdict {
  context.metrics.count('closed_responses_total', { verdict: verdict.kind })
  context.log.decision('closeJudged', { request: state.fields.attemptId, backend: backendId, verdict: verdict.kind, because: verdict.because, lastEventId: state.lastEventId, events: state.deliveredEvents + state.relayedEvents })
  return verdict
}

/** Connections that are open now may be those of the successor of the process that wrote the response. */
async function judgeSuccess ({ closedResponses }: GatewayContext, backend: BackendState, backendProcess: string): Promise<CloseVerdict> {
  const verdict = await closedResponses.judge(backend.entry.address)
  return backendProcessOf(backend.entry) === backendProcess ? verdict : { kind: 'broken', because: 'another process is listed' }
}

function isSuccess (status: number): boolean {
  return status >= 200 && status <= 299
}
