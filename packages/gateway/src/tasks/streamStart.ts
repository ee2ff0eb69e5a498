import type { IncomingMessage } from 'node:http'
import { steadyNow } from '../clock.js'
import { backendProcessOf, type BackendState } from '../decisions/backendState.js'
import type { ConnectionOrigin } from '../decisions/processProofs.js'
import { mayGoOnAtVersion, mayRemember, type StartEvidence, type StreamStart } from '../decisions/streamOrigins.js'
import type { BackendServerEntry, Route } from '../fleetConfiguration.js'
import type { CallerFields } from '../ports.js'
import { decodeStreamReport, encodeStreamReport, STREAM_REPORT_HEADER } from '../decisions/streamReport.js'
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

/** The answer with which a stream begins: the entry that was listed when the request was sent, and the connection that brought it. */
export interface BeginningAnswer {
  readonly entry: BackendServerEntry
  readonly connection: ConnectionOrigin | undefined
}

/** Records at which software version the caller's stream begins, before its first bytes are passed on. */
export function recordStreamStart (context: GatewayContext, state: RequestState, backend: BackendState, { entry, connection }: BeginningAnswer): void {
  if (state.streamStart.kind !== 'notBegun') return
  const evidence = evidenceOf(context, entry, connection)
  // Whether the listed process or the one before it answers can't be told.
  const isUnclear = evidence.kind !== 'proven' && backendProcessOf(backend.entry) !== backendProcessOf(entry)
  state.streamStart = isUnclear
    ? { kind: 'unknown' }
    : { kind: 'begun', service: state.service, version: entry.version, backendId: entry.id, at: steadyNow(), evidence }
  if (isUnclear || !mayRemember(state.fields.attemptId)) return
  context.streamVersions.begin({ attemptId: state.fields.attemptId, service: state.service, backendId: entry.id, version: entry.version, evidence, callerTimeoutAt: state.callerTimeoutAt })
  const isVersionInDoubt = context.streamVersions.isMixed(state.service) || context.processes.isSuspect(backendProcessOf(entry))
  if (evidence.kind === 'connection' && isVersionInDoubt) askBeginner(context, backend, evidence.connection)
}

function evidenceOf ({ processes, streamVersions }: GatewayContext, entry: BackendServerEntry, connection: ConnectionOrigin | undefined): StartEvidence {
  // Without a start time, a process can't be told from its predecessor.
  if (connection === undefined || entry.startedAt === 0) return { kind: 'listed' }
  if (processes.isProven(connection)) return { kind: 'proven' }
  return { kind: 'connection', connection, wasSuspect: processes.isSuspect(backendProcessOf(entry)) || !streamVersions.isListCurrent() }
}

/** Asks for the process behind a connection on which a stream begins, so that the homes of the stream can be told its version. */
function askBeginner ({ processes, streamVersions, log }: GatewayContext, backend: BackendState, { establishedAt }: ConnectionOrigin): void {
  processes.ask(backend, establishedAt).then(streamVersions.noteProcessAsked).catch((error: unknown) => log.warning('processNotAsked', { backend: backend.entry.id, reason: String(error) }))
}

/** Headers that report to the instance that relayed the request where its stream began, as names and values in turn. */
export function streamReportHeaders (context: GatewayContext, { relay, streamStart }: RequestState): string[] {
  if (relay?.wantsStreamReport !== true) return []
  return [STREAM_REPORT_HEADER, encodeStreamReport(context.streamVersions.report(streamStart))]
}

/**
 * Takes over where the stream of a peer's response began, before its first bytes are passed on. Returns false when the caller has
 * events of another version.
 */
export function adoptStreamReport (context: GatewayContext, state: RequestState, incoming: IncomingMessage): boolean {
  const report = decodeStreamReport(incoming.headers[STREAM_REPORT_HEADER])
  if (report === undefined) return true
  if (state.streamStart.kind !== 'notBegun') return report.kind === 'begun' && mayGoOnAtVersion(state.streamStart, report.version)
  const start = context.streamVersions.adopt(report, { attemptId: state.fields.attemptId, callerTimeoutAt: state.callerTimeoutAt })
  // The peer chose among the route's services by itself; here the request goes on at its own one only.
  state.streamStart = start.kind === 'begun' && start.service !== state.service ? { kind: 'unknown' } : start
  return true
}

/** Finds where a stream began that a peer of an earlier version passed on without a report. */
export async function findUnreportedStart (context: GatewayContext, state: RequestState): Promise<void> {
  if (!state.headersSent || state.streamStart.kind !== 'notBegun') return
  state.streamStart = await context.streamVersions.find(state.fields.attemptId, state.service)
  context.log.decision('unreportedStream', { request: state.fields.attemptId, start: state.streamStart.kind })
}
