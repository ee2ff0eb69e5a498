import { assertNever } from '@quinceshunt/effects'
import { steadyNow } from '../clock.js'
import { returnAt, selectAccepting } from '../decisions/backendAcceptance.js'
import type { BackendState } from '../decisions/backendState.js'
import { mayGoOnAt, type StreamStart } from '../decisions/streamOrigins.js'
import type { ResponseFields } from '../ports.js'
import type { GatewayContext } from './gatewayContext.js'

/** Retry time suggested to callers when no backend server is available. */
const NO_BACKEND_RETRY_MS = 700
/** The end of an evacuation isn't known. */
const EVACUATED_RETRY_MS = 2000
/** Evacuated failure domains that a reason names. */
const MAX_NAMED_DOMAINS = 5

/** Backend servers that a request may be sent to, or why there is none. `retryAt` by `steadyNow`. `isEvacuated`: all that could serve it are in evacuated failure domains. */
export type AvailableBackends =
  | { readonly kind: 'some', readonly backends: readonly BackendState[] }
  | { readonly kind: 'none', readonly reason: string, readonly retryAt: number, readonly isEvacuated?: true }

/** A request that looks for a backend server. */
export interface SearchingRequest {
  readonly service: string
  readonly receivedAt: number
  readonly streamStart: StreamStart
}

/** Finds the backend servers of a service that are listed, take the request, have its stream's version and are not excluded by their IDs. */
export function findAvailableBackends (context: GatewayContext, { service, receivedAt, streamStart }: SearchingRequest, excluded: readonly string[]): AvailableBackends {
  const now = steadyNow()
  const { acceptance, settings, fleet: { instances } } = context
  const start = context.streamVersions.confirm(streamStart)
  if (start.kind === 'unknown') return { kind: 'none', reason: 'the software version at which the stream began is not known', retryAt: now + NO_BACKEND_RETRY_MS }
  const able = context.backends.candidates(service, now).filter(({ entry }) => mayGoOnAt(start, entry))
  const listed = able.filter(({ entry }) => !context.evacuations.isEvacuated(entry.failureDomain))
  if (listed.length === 0 && able.length > 0) return { kind: 'none', reason: evacuationReason(able), retryAt: now + EVACUATED_RETRY_MS, isEvacuated: true }
  const candidates = listed.filter((candidate) => !excluded.includes(candidate.entry.id))
  const backends = selectAccepting(candidates, acceptance, { receivedAt, drainMilliseconds: settings.drainMilliseconds, instances }, now)
  if (backends.length > 0) return { kind: 'some', backends }
  const wantedAt = returnAt(listed, acceptance, instances, now, Math.random())
  if (wantedAt !== undefined) return { kind: 'none', reason: 'no backend server wants requests now', retryAt: wantedAt }
  const wanted = start.kind === 'begun' ? ` of version ${start.version}` : ''
  return { kind: 'none', reason: candidates.length === 0 ? `no backend server${wanted}` : `all backend servers${wanted} leave`, retryAt: now + NO_BACKEND_RETRY_MS }
}

/** Names the failure domains of backend servers that are all evacuated. */
function evacuationReason (backends: readonly BackendState[]): string {
  const domains = [...new Set(backends.map(({ entry }) => entry.failureDomain))].sort()
  const further = domains.length > MAX_NAMED_DOMAINS ? ` and ${domains.length - MAX_NAMED_DOMAINS} more` : ''
  return `all backend servers are in evacuated failure domains: ${domains.slice(0, MAX_NAMED_DOMAINS).join(', ')}${further}`
}

/** Counts a request that is rejected because all backend servers that could serve it are in evacuated failure domains. */
export function countEvacuationRefusal (context: GatewayContext, service: string, available: AvailableBackends): void {
  if (available.kind === 'none' && available.isEvacuated === true) context.metrics.count('evacuation_refusals_total', { service })
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
export function recordAcceptance (context: GatewayContext, response: AttributedResponse): void {
  // Another process answers with 421.
  if (response.fields.isMisdirected) return
  context.coldBackends.noteResponse(response.backend, response.backendProcess, response.fields.cold)
  recordPause(context, response)
  if (response.fields.isLeaving) recordLeaving(context, response)
}

function recordLeaving (context: GatewayContext, { backend, backendProcess, requestId }: AttributedResponse): void {
  if (!context.acceptance.markLeaving(backendProcess, steadyNow())) return
  context.metrics.count('backends_leaving_total', { service: backend.entry.service })
  context.log.event('backendLeaving', { backend: backend.entry.id, service: backend.entry.service, state: backend.entry.state, request: requestId })
}

function recordPause (context: GatewayContext, { backend, backendProcess, fields: { pause }, requestId }: AttributedResponse): void {
  switch (pause.kind) {
    case 'none': return
    case 'unreadable':
      context.log.decision('retryTimeUnreadable', { backend: backend.entry.id, value: pause.value.slice(0, 100), request: requestId })
      return
    case 'named': {
      const until = context.acceptance.pause(backendProcess, pause.milliseconds, steadyNow())
      if (until === undefined) return
      context.metrics.count('backend_pauses_total', { service: backend.entry.service })
      context.log.decision('backendPaused', { backend: backend.entry.id, service: backend.entry.service, until, request: requestId })
      return
    }
    default: assertNever(pause)
  }
}
