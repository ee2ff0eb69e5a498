import type { IncomingMessage, ServerResponse } from 'node:http'
import { decodeRelayEnvelope, RELAY_DECLINED_HEADER, RELAY_ELSEWHERE_HEADER, RELAY_HEADER, type RelayEnvelope } from '../decisions/relayEnvelope.js'
import { cutOffResponse } from './cutOffResponse.js'
import { connectionHeaders } from './errorResponses.js'
import type { GatewayContext } from './gatewayContext.js'

/** A process that is this late with its work takes no requests of other instances. */
const MAX_EVENT_LOOP_DELAY_MS = 250

/** Whether a relayed request is served here. */
export type RelayAdmission =
  | { readonly kind: 'taken', readonly envelope: RelayEnvelope }
  | { readonly kind: 'declined', readonly reason: string }

/** Decides whether this instance serves a request in place of another one. */
export function admitRelay (context: GatewayContext, incoming: IncomingMessage): RelayAdmission {
  const envelope = decodeRelayEnvelope(String(incoming.headers[RELAY_HEADER]))
  if (envelope === undefined) return { kind: 'declined', reason: 'unreadable envelope' }
  if (envelope.to !== context.incarnationId) return { kind: 'declined', reason: 'another process' }
  const version = context.configuration()?.configuration.version
  if (version === undefined || version < envelope.configurationVersion) return { kind: 'declined', reason: 'older configuration' }
  if (context.eventLoopDelay.milliseconds > MAX_EVENT_LOOP_DELAY_MS) return { kind: 'declined', reason: 'the instance is behind with its work' }
  if (context.occupancy.isFull) return { kind: 'declined', reason: 'the instance has more callers than it can serve' }
  return { kind: 'taken', envelope }
}

/** Tells another instance that its request was not sent to any backend server from here. `elsewhere` names a peer that takes requests. */
export function declineRelay (context: GatewayContext, response: ServerResponse, reason: string, elsewhere = ''): void {
  context.metrics.count('relays_declined_total', { reason })
  if (response.headersSent || response.destroyed) {
    cutOffResponse(response)
    return
  }
  response.writeHead(503, { [RELAY_DECLINED_HEADER]: reason, ...(elsewhere === '' ? {} : { [RELAY_ELSEWHERE_HEADER]: elsewhere }), 'content-length': '0', ...connectionHeaders(context, response) })
  response.end()
}

/** Removes the envelope, which is for this instance only. */
export function removeEnvelope (incoming: IncomingMessage): void {
  incoming.rawHeaders = incoming.rawHeaders.filter((_, index) => incoming.rawHeaders[index - index % 2]?.toLowerCase() !== RELAY_HEADER)
}
