import type { ServerResponse } from 'node:http'
import { steadyNow } from '../clock.js'
import { sendError, sendNotRun } from './errorResponses.js'
import type { GatewayContext } from './gatewayContext.js'
import { declineRelay } from './relayReception.js'
import type { RelayEnvelope } from '../decisions/relayEnvelope.js'
import type { RequestState } from './requestTask.js'

/** Another instance may have memory for the account at once. */
const NO_MEMORY_RETRY_MS = 250
const REASON = 'requests and unread answers of this account use all of its memory here'

/** A request that is refused before it was sent anywhere. */
export interface RefusedRequest {
  readonly response: ServerResponse
  readonly relay: RelayEnvelope | undefined
  readonly requestId: string
  readonly account: string | undefined
  readonly route: string
}

/**
 * Refuses a request whose holder may have no more memory. The rest of its body is read and dropped: closing a connection with
 * unread bytes resets it, and with it the refusal that the caller has not read yet.
 */
export function refuseRequest (context: GatewayContext, { response, relay, requestId, account, route }: RefusedRequest, refused: 'request' | 'body'): void {
  context.metrics.count('memory_refusals_total', { refused })
  context.log.decision('memoryRefused', { request: requestId, account, route, refused, heldBytes: context.callersMemory.heldBytes })
  if (relay === undefined) sendNotRun(context, response, REASON, steadyNow() + NO_MEMORY_RETRY_MS)
  else declineRelay(context, response, REASON)
}

/** Tells a caller that its request has run, but that its answer does not fit into its holder's memory. */
export function refuseAnswer (context: GatewayContext, { response, fields, account, route }: RequestState, bytes: number): void {
  context.metrics.count('memory_refusals_total', { refused: 'answer' })
  context.log.decision('memoryRefused', { request: fields.attemptId, account: account?.name, route: route.name, refused: 'answer', bytes, heldBytes: context.callersMemory.heldBytes })
  sendError(context, response, { status: 502, code: 'outcome_unknown', message: `the answer was dropped: ${REASON}`, run: 'unknown' })
}
