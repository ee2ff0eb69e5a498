import { steadyNow } from '../clock.js'
import { selectAccepting } from '../decisions/backendAcceptance.js'
import type { BackendState } from '../decisions/backendState.js'
import type { ResponseFields } from '../ports.js'
import type { GatewayContext } from './gatewayContext.js'

/** Retry time suggested to callers when no backend server is available. */
const NO_BACKEND_RETRY_MS = 700

/** Backend servers that a request may be sent to, or why there is none. `retryAt` by `steadyNow`. */
export type AvailableBackends =
  | { readonly kind: 'some', readonly backends: readonly BackendState[] }
  | { readonly kind: 'none', readonly reason: string, readonly retryAt: number }

/** A request that looks for a backend server. */
export interface SearchingRequest {
  readonly service: string
  readonly receivedAt: number
}

/** Finds the backend servers of a service that are listed, take the request and are not excluded by their IDs. */
export function findAvailableBackends (context: GatewayContext, { service, receivedAt }: SearchingRequest, excluded: readonly string[]): AvailableBackends {
  const now = steadyNow()
  const candidates = context.backends.candidates(service, now).filter((candidate) => !excluded.includes(candidate.entry.id))
  const backends = selectAccepting(candidates, context.acceptance, { receivedAt, drainMilliseconds: context.settings.drainMilliseconds })
  if (backends.length > 0) return { kind: 'some', backends }
  return { kind: 'none', reason: candidates.length === 0 ? 'no backend server' : 'all backend servers leave', retryAt: now + NO_BACKEND_RETRY_MS }
}

/** A response that was attributed to its attempt. */
export interface AttributedResponse {
  readonly backend: BackendState
  /** The process that was listed when the request was sent. */
  readonly backendProcess: string
  readonly fields: ResponseFields
  readonly requestId: string
}

/** Takes over what a response says about further requests. */
export function recordAcceptance (context: GatewayContext, { backend, backendProcess, fields, requestId }: AttributedResponse): void {
  // Another process answers with 421, and nothing shows who made a response that is neither signed nor a refusal to run.
  if (fields.isMisdirected || !(fields.isSigned || fields.isNotRun)) return
  if (!fields.isLeaving || !context.acceptance.markLeaving(backendProcess, steadyNow())) return
  context.metrics.count('backends_leaving_total', { service: backend.entry.service })
  context.log.event('backendLeaving', { backend: backend.entry.id, service: backend.entry.service, state: backend.entry.state, request: requestId })
}
