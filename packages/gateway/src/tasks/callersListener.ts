import { createCallerWatch, createConnectionErrors, createPipelineLimit, interceptConnections, keepConnectionsWithUnreadRequests, parseInPieces, type CallerPresence } from '@quinceshunt/caller-connections'
import { assertNever } from '@quinceshunt/effects'
import { steadyNow } from '../clock.js'
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import { Server as NetServer, type Socket } from 'node:net'
import { cutOffAtHalfClose, cutOffConnection } from './cutOffResponse.js'
import type { GatewayContext } from './gatewayContext.js'
import { sendError, sendErrorAndClose, sendNotRun } from './errorResponses.js'
import { refuseRequest, type RefusedRequest } from './memoryRefusals.js'
import { receiveBody } from './receiveBody.js'
import { admitRelay, declineRelay, removeEnvelope } from './relayReception.js'
import type { RelayEnvelope } from '../decisions/relayEnvelope.js'
import { DEFAULT_CALLER_TIMEOUT_MS, serveRequest } from './requestTask.js'

/** Unanswered requests of one connection; sound callers wait for each answer or send a few requests ahead. */
const MAX_UNANSWERED_REQUESTS = 32
/** Limit of the HTTP parser. */
const MAX_HEADER_BYTES = 32_768
/** Retry time suggested to callers while no configuration is loaded. */
const NO_CONFIGURATION_RETRY_MS = 500

/** Callers connect to another instance at once. */
const STOPPING_RETRY_MS = 50

/** Callers on open connections come back at once: refused after 250 ms, 400 of them had fewer requests served. */
const MAX_STANDING_WAIT_MS = 500
/** Part of a caller's remaining time for which its request waits in a queue that stands, so that another instance can still serve it. */
const MAX_STANDING_SHARE = 1 / 3
/** The same in a burst, whose end is near. */
const MAX_BURST_SHARE = 1 / 2
/** Another instance may start it at once. */
const LATE_RETRY_MS = 100

/** HTTP server for callers. */
export interface CallersListener {
  readonly server: Server
  /** Requests in progress. */
  readonly activeRequests: number
  readonly openConnections: number
  /** Connections accepted since the start. */
  readonly acceptedConnections: number
  /** Connections closed unread since the start, as their callers had given them up. */
  readonly abandonedConnections: number
  /** Accepted connections that were forwarded to peers. */
  readonly forwardedConnections: number
  /** Connections that peers have forwarded. */
  readonly receivedConnections: number
  /** Unix milliseconds at which the last connection was accepted. */
  readonly lastConnectionAt: number
  /** Stops accepting connections; those that are open stay open. */
  stopListening (): void
  /** Closes the connections that have no request or response in progress. */
  closeIdleConnections (): void
  /** Serves a request that another instance relays. */
  handleRelayed (incoming: IncomingMessage, response: ServerResponse): void
}

/** Creates the server without binding it. */
export function createCallersListener (context: GatewayContext): CallersListener {
  let activeRequests = 0
  let openConnections = 0
  let acceptedConnections = 0
  let abandonedConnections = 0
  let lastConnectionAt = 0
  const callerOf = createCallerWatch(steadyNow)
  const pipelineLimit = createPipelineLimit(MAX_UNANSWERED_REQUESTS)
  const connectionErrors = createConnectionErrors((error, socket) => {
    socket.end(`HTTP/1.1 ${statusLineOf(error)}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`)
  })

  function handle (incoming: IncomingMessage, response: ServerResponse, relay: RelayEnvelope | undefined): void {
    // The caller sends a request again that crosses the end of its connection; passed on, it would run without an answer.
    const pipelined = pipelineLimit.admit(incoming, response)
    if (pipelined.kind === 'ignored' || !context.openResponses.add(response)) return
    // The peer that forwarded the connection can't end it between two requests.
    if (context.reception.isReceived(incoming.socket)) context.openResponses.endConnection(response)
    if (pipelined.kind === 'last') {
      context.openResponses.endConnection(response)
      context.metrics.count('pipelines_ended_total')
      context.log.decision('pipelineEnded', { request: context.wire.decodeRequestHeaders(incoming.headers).attemptId, unanswered: MAX_UNANSWERED_REQUESTS })
    }
    activeRequests++
    let isCounted = true
    const release = (): void => {
      if (!isCounted) return
      isCounted = false
      activeRequests--
    }
    connectionErrors.track(incoming, response)
    cutOffAtHalfClose(response)
    const caller = callerOf(incoming.socket)
    const stopWatchingCaller = caller.onLeft(release)
    response.on('close', () => {
      release()
      stopWatchingCaller()
    })
    handleRequest(context, { incoming, response, caller, relay }).catch((error: unknown) => {
      context.log.warning('requestFailed', { request: context.wire.decodeRequestHeaders(incoming.headers).attemptId, reason: error instanceof Error ? `${error.message} ${error.stack ?? ''}` : String(error) })
      sendError(context, response, { status: 500, code: 'internal_error', message: 'the response could not be processed', run: 'unknown' })
    })
  }

  function noteOpened (socket: Socket): void {
    lastConnectionAt = steadyNow()
    openConnections++
    socket.on('close', () => openConnections--)
  }

  const server = createServer({ maxHeaderSize: MAX_HEADER_BYTES, keepAliveTimeout: 15_000, noDelay: true, connectionsCheckingInterval: 1000 }, (incoming, response) => handle(incoming, response, undefined))
  parseInPieces(server)
  keepConnectionsWithUnreadRequests(server)
  interceptConnections(server, (socket, serve) => {
    context.intake.noteConnection()
    if (context.reception.isReceived(socket)) {
      noteOpened(socket)
      return serve()
    }
    const accepted = context.acceptQueue.classify(socket)
    switch (accepted.kind) {
      case 'probe':
        socket.destroy()
        return
      case 'abandoned':
        // A caller that still waits may send any request again elsewhere, as this connection is closed before it is read.
        abandonedConnections++
        socket.destroy()
        return
      case 'caller':
        acceptedConnections++
        noteOpened(socket)
        context.forwarding.accept(socket, serve)
        return
      default: assertNever(accepted)
    }
  })
  server.on('clientError', (error, socket) => {
    if (connectionErrors.handle(error, socket)) context.log.decision('callerConnectionFailed', { reason: error.message })
  })

  /** Node takes a connection as idle once its response was ended, also while its bytes wait for a caller that reads slowly. */
  function closeIdleConnections (): void {
    if (!context.openResponses.hasUnwritten) server.closeIdleConnections()
  }

  return {
    server,
    // The method of the HTTP server also closes the connections that Node takes as idle.
    stopListening: () => { NetServer.prototype.close.call(server) },
    closeIdleConnections,
    handleRelayed: (incoming, response) => {
      const admission = admitRelay(context, incoming)
      if (admission.kind === 'taken') {
        removeEnvelope(incoming)
        handle(incoming, response, admission.envelope)
        return
      }
      incoming.resume()
      context.log.decision('relayDeclined', { request: context.wire.decodeRequestHeaders(incoming.headers).attemptId, reason: admission.reason })
      declineRelay(context, response, admission.reason)
    },
    get activeRequests () { return activeRequests + context.forwarding.activeConnections },
    get openConnections () { return openConnections },
    get acceptedConnections () { return acceptedConnections },
    get abandonedConnections () { return abandonedConnections },
    get forwardedConnections () { return context.forwarding.forwardedConnections },
    get receivedConnections () { return context.reception.receivedConnections },
    get lastConnectionAt () { return lastConnectionAt }
  }
}

/** A request and the connection on which it came. */
interface ReceivedRequest {
  readonly incoming: IncomingMessage
  readonly response: ServerResponse
  readonly caller: CallerPresence
  /** Of a request that another instance relays. */
  readonly relay: RelayEnvelope | undefined
}

async function handleRequest (context: GatewayContext, { incoming, response, caller, relay }: ReceivedRequest): Promise<void> {
  const receivedAt = steadyNow()
  const index = context.configuration()
  if (index === undefined) {
    incoming.resume()
    sendNotRun(context, response, 'no configuration is loaded yet', receivedAt + NO_CONFIGURATION_RETRY_MS)
    return
  }
  const fields = context.wire.decodeRequestHeaders(incoming.headers)
  const path = incoming.url ?? '/'
  const admission = index.admit(incoming.headers.host ?? '', path, fields.apiKey)
  const limit = index.configuration.limits.maximumBodyBytes
  if (admission.kind !== 'allowed') {
    incoming.resume()
    context.log.decision('requestNotAdmitted', { request: fields.attemptId, reason: admission.kind, path, configuration: index.configuration.version })
    if (admission.kind === 'unknownRoute') sendError(context, response, { status: 404, code: 'unknown_route', message: 'no route matches the host and path', run: 'no' })
    else sendError(context, response, { status: 401, code: 'unknown_key', message: 'the key does not belong to any client account', run: 'no' })
    return
  }
  const callerTimeoutAt = receivedAt + (fields.timeoutMilliseconds ?? DEFAULT_CALLER_TIMEOUT_MS)
  const memory = context.callersMemory.open({
    holder: admission.account === undefined ? `route ${admission.route.name}` : `account ${admission.account.name}`,
    callerTimeoutAt,
    isUnread: () => response.writableEnded && !response.writableFinished,
    end: () => cutOffConnection(incoming)
  })
  const refused = { response, relay, requestId: fields.attemptId, account: admission.account?.name, route: admission.route.name }
  if (memory === undefined) {
    incoming.resume()
    refuseRequest(context, refused, 'request')
    return
  }
  context.openResponses.onClosed(response, memory.keep())
  const release = memory.keep()
  try {
    const deadline = Math.min(receivedAt + admission.route.timeoutMilliseconds, callerTimeoutAt)
    const body = await receiveBody(incoming, { maximumBytes: limit, deadline, memory })
    switch (body.kind) {
      case 'tooLarge':
        sendErrorAndClose(context, response, { status: 413, code: 'body_too_large', message: `the body is larger than ${limit} bytes`, run: 'no' })
        return
      case 'tooLate':
        context.log.decision('requestNotAdmitted', { request: fields.attemptId, reason: 'the body did not arrive within the time limit', path, configuration: index.configuration.version })
        if (relay !== undefined) declineRelay(context, response, 'the body did not arrive within the time limit')
        else sendErrorAndClose(context, response, { status: 408, code: 'body_timeout', message: 'the body did not arrive within the time limit of the request', run: 'no' })
        return
      case 'noMemory':
        refuseRequest(context, refused, 'body')
        return
      case 'broken':
        context.log.decision('requestBroken', { request: fields.attemptId, reason: 'the caller disconnected while sending the body' })
        response.destroy()
        return
      case 'received': {
        const enteredAt = steadyNow()
        context.report.noteBody(enteredAt - receivedAt)
        const turn = await context.intake.waitForTurn({
          caller,
          // So that neither a busy client account nor a busy route delays the others.
          holder: `${admission.account?.name ?? ''} ${admission.route.name}`,
          expiresAt: enteredAt + (deadline - enteredAt) * MAX_BURST_SHARE,
          shedAt: enteredAt + Math.min(MAX_STANDING_WAIT_MS, (deadline - enteredAt) * MAX_STANDING_SHARE)
        })
        context.metrics.record('intake_wait', steadyNow() - enteredAt)
        switch (turn.kind) {
          case 'callerLeft':
            context.acceptQueue.noteLeft(incoming.socket)
            context.metrics.count('callers_left_total', { phase: 'queued' })
            context.log.decision('callerLeft', { request: fields.attemptId, route: admission.route.name, phase: 'queued', milliseconds: steadyNow() - receivedAt, acceptDelayMilliseconds: context.acceptQueue.milliseconds })
            response.destroy()
            return
          case 'tooLate':
            refuseLate(context, refused)
            return
          case 'started':
            context.acceptQueue.noteStarted(incoming.socket)
            break
          default: assertNever(turn)
        }
        if (!context.mayTakeRequest(receivedAt + Math.min(admission.route.timeoutMilliseconds, fields.timeoutMilliseconds ?? Infinity))) {
          if (relay === undefined) sendNotRun(context, response, 'the instance stops', steadyNow() + STOPPING_RETRY_MS)
          else declineRelay(context, response, 'the instance stops')
          return
        }
        await serveRequest(context, { incoming, response, caller, relay, fields, route: admission.route, account: admission.account, configuration: index, body: body.bytes, memory, receivedAt })
        return
      }
      default: assertNever(body)
    }
  } finally {
    release()
  }
}

/** Refuses a request that the process was too busy to start. */
function refuseLate (context: GatewayContext, { response, relay, requestId, account, route }: RefusedRequest): void {
  const reason = 'the instance has too much to do'
  context.metrics.count('late_refusals_total')
  context.log.decision('requestTooLate', { request: requestId, account, route, waiting: context.intake.waiting, acceptDelayMilliseconds: context.acceptQueue.milliseconds })
  if (relay === undefined) sendNotRun(context, response, reason, steadyNow() + LATE_RETRY_MS)
  else declineRelay(context, response, reason)
}

/** Callers send a request again after 408 and give it up after 400 and 431. */
function statusLineOf (error: NodeJS.ErrnoException): string {
  switch (error.code) {
    case 'HPE_HEADER_OVERFLOW': return '431 Request Header Fields Too Large'
    case 'ERR_HTTP_REQUEST_TIMEOUT': return '408 Request Timeout'
    default: return '400 Bad Request'
  }
}
