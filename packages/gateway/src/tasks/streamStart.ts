import { steadyNow } from '../clock.js'
import { backendProcessOf, type BackendState } from '../decisions/backendState.js'
import { mayRemember, type StreamStart } from '../decisions/streamOrigins.js'
import type { Route } from '../fleetConfiguration.js'
import type { CallerFields } from '../ports.js'
import type { GatewayContext } from './gatewayContext.js'
import type { RequestState } from './requestTask.js'

/** Finds where the stream began that a request goes on with. `service` is the one chosen for requests without a stream. */
export async function findStreamStart (context: GatewayContext, fields: CallerFields, route: Route, service: string): Promise<StreamStart> {
  if (!isStreamRoute(route) || fields.lastEventId === '') return { kind: 'notBegun' }
  const start = await context.streamVersions.find(fields.resumedAttemptId, service)
  context.log.decision('streamTakenUp', {
    request: fields.attemptId,
    resumedAttempt: fields.resumedAttemptId,
    resumedAfter: fields.lastEventId,
    start: start.kind,
    version: start.kind === 'begun' ? start.version : undefined,
    backend: start.kind === 'begun' ? start.backendId : undefined
  })
  return start
}

function isStreamRoute ({ deliverySemantics: { kind } }: Route): boolean {
  return kind === 'resumableStream' || kind === 'onceStream'
}

/** Records at which software version the caller's stream begins, before its first bytes are passed on. */
export function recordStreamStart (context: GatewayContext, state: RequestState, backend: BackendState, backendProcess: string): void {
  if (state.streamStart.kind !== 'notBegun') return
  const { entry } = backend
  // Whether the listed process or the one before it answers can't be told.
  const isListedProcess = backendProcessOf(entry) === backendProcess
  state.streamStart = isListedProcess
    ? { kind: 'begun', service: state.service, version: entry.version, backendId: entry.id, at: steadyNow() }
    : { kind: 'unknown' }
  if (!isListedProcess || !mayRemember(state.fields.attemptId)) return
  context.streamVersions.begin({ attemptId: state.fields.attemptId, service: state.service, backendId: entry.id, version: entry.version, callerTimeoutAt: state.callerTimeoutAt })
}
