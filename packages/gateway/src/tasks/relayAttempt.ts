import type { BodyDelimiter } from '@quinceshunt/caller-connections'
import { assertNever } from '@quinceshunt/effects'
import type { IncomingMessage } from 'node:http'
import { steadyNow } from '../clock.js'
import { createEventOrder } from '../decisions/eventOrder.js'
import { createEventSplitter } from '../decisions/eventSplitter.js'
import { encodeRelayEnvelope, RELAY_DECLINED_HEADER, RELAY_ELSEWHERE_HEADER, RELAY_HEADER } from '../decisions/relayEnvelope.js'
import type { StreamOrigin } from '../decisions/streamOrigins.js'
import { createHandedOutAttempts } from '../decisions/relayedRetries.js'
import type { StreamPiece } from '../decisions/streamPieces.js'
import { withoutStreamReport } from '../decisions/streamReport.js'
import { isRetryable, type AttemptOutcome } from '../decisions/requestPlan.js'
import { limitSetAside } from './attemptSetAside.js'
import { createBufferedBody } from './bufferedBody.js'
import { limitDepartedExchange } from './departedExchange.js'
import type { Peer } from './fleetTask.js'
import { bufferResponse, closingHeaders, mediaTypeOf, withoutContentLength } from './forwardedResponse.js'
import type { GatewayContext } from './gatewayContext.js'
import { hasEventForEachToken } from './hasEventForEachToken.js'
import type { RequestState } from './requestTask.js'
import { adoptStreamReport } from './streamStart.js'

/** The peer answers at the deadline itself; it is given this much longer. */
const DEADLINE_MARGIN_MS = 100
const SILENCE_CHECK_MS = 100
const STATUS = { ok: 200, lastOk: 299, unavailable: 503 } as const

/**
 * Has a peer serve a request that this instance can't send to a backend server itself, and forwards its response. The peer
 * reserves the tokens, chooses, retries and counts like for a caller of its own; it relays the request no further.
 */
export function runRelayAttempt (context: GatewayContext, state: RequestState, peer: Peer): Promise<AttemptOutcome> {
  return new Promise((resolve) => startRelayAttempt(context, state, peer, resolve))
}

function startRelayAttempt (context: GatewayContext, state: RequestState, peer: Peer, resolve: (outcome: AttemptOutcome) => void): void {
  const { wire, connections } = context
  const { response, incoming: callerRequest, route, service } = state
  const isStream = route.deliverySemantics.kind === 'resumableStream' || route.deliverySemantics.kind === 'onceStream'
  const sentAt = steadyNow()
  const holder = `peer ${peer.instanceId}`
  const relay = context.relayPeers.begin(peer, service)
  const attempts = createHandedOutAttempts(state)
  const retries = context.relayedRetries.open({ request: state.fields.attemptId, peer: peer.instanceId }, (kind) => mayGrant() && attempts.grant(kind, () => context.retryShares.tryAcquireRetry(service, steadyNow())))
  const splitter = createEventSplitter(() => context.bufferedResponses.open(holder), createEventOrder(state.lastEventId, state.headersSent))
  const body = createBufferedBody(context.bufferedResponses, holder)
  const earlier = state.setAside
  let lastBytesAt = sentAt
  let head: { readonly incoming: IncomingMessage, readonly isStreamed: boolean } | undefined
  let piece: StreamPiece | undefined
  let declinedReason: string | undefined
  let abortOutcome: AttemptOutcome | undefined
  let earlierTimer: NodeJS.Timeout | undefined
  let settled = false
  let hasEnded = false
  let endDepartedLimit = (): void => {}

  state.attempts++
  const releaseMemory = state.memory.keep()
  const exchange = connections.start({
    address: peer.address,
    method: callerRequest.method ?? 'GET',
    path: callerRequest.url ?? '/',
    headers: { ...wire.buildRelayHeaders(callerRequest.rawHeaders, relayedFields(state), sentAt), [RELAY_HEADER]: envelopeHeader(context, state, peer, retries.relayId) },
    body: state.body,
    needsNewConnection: false
  }, { onConnected, onHead, onData, onEnd, onBroken })
  const deadlineTimer = setTimeout(() => abort({ kind: 'timedOut', headersSent: state.headersSent }, 'out of time'), Math.max(1, state.deadline + DEADLINE_MARGIN_MS - sentAt))
  const silenceTimer = isRetryable(route.deliverySemantics) ? setInterval(checkSilence, SILENCE_CHECK_MS) : undefined
  const stopWatchingCaller = state.caller.onLeft(handleCallerLeft)
  if (earlier !== undefined) earlier.onGoneOn = () => abort({ kind: 'superseded' }, 'the attempt before it has gone on')
  context.log.decision('requestRelayed', { request: state.fields.attemptId, peer: peer.instanceId, service, resumedAfter: state.lastEventId, attempts: state.attempts })

  /** Ends the request's part in the load of the peer. */
  function endAtPeer (): void {
    if (hasEnded) return
    hasEnded = true
    endDepartedLimit()
    releaseMemory()
    relay.end()
  }

  function settle (outcome: AttemptOutcome): void {
    if (settled) return
    settled = true
    clearTimeout(deadlineTimer)
    clearInterval(silenceTimer)
    clearTimeout(earlierTimer)
    retries.close()
    if (outcome.kind === 'notTaken') attempts.takeBack()
    stopWatchingCaller()
    body.release()
    splitter.release()
    // A request that its caller has left, and that runs at most once, goes on there.
    const goesOn = outcome.kind === 'callerGone' && abortOutcome === undefined
    if (goesOn) endDepartedLimit = limitDepartedExchange(state.deadline, () => abort({ kind: 'timedOut', headersSent: state.headersSent }, 'out of time after the caller left'))
    else endAtPeer()
    context.metrics.count('relays_total', { outcome: outcome.kind })
    resolve(outcome)
  }

  function abort (outcome: AttemptOutcome, reason: string): void {
    abortOutcome ??= outcome
    exchange.abort(reason)
  }

  function handleCallerLeft (): void {
    // A request that runs at most once is not aborted, as that could leave it half executed.
    if (route.deliverySemantics.kind === 'once') settle({ kind: 'callerGone' })
    else abort({ kind: 'callerGone' }, 'the caller disconnected')
  }

  function checkSilence (): void {
    if (response.writableNeedDrain) lastBytesAt = steadyNow()
    if (head !== undefined && !head.isStreamed) return
    const loss = context.peerLife.lossOf(peer, lastBytesAt)
    if (loss === undefined) return
    relay.learn({ kind: 'unanswered' })
    abort({ kind: 'broken', reason: loss, headersSent: state.headersSent }, loss)
  }

  /** A request that may not be repeated here is not sent again, whatever a newer configuration of the peer says, nor one that its caller has left. */
  function mayGrant (): boolean {
    return isRetryable(route.deliverySemantics) && abortOutcome === undefined && state.caller.leftAt === undefined && !state.hasUnidentifiedEvents
  }

  function onConnected (): void {
    attempts.handOut()
    earlierTimer = limitSetAside(earlier)
  }

  function recordBytes (): void {
    lastBytesAt = steadyNow()
    context.peerLife.noteBytes(peer)
  }

  function onHead (incoming: IncomingMessage): void {
    recordBytes()
    const status = incoming.statusCode ?? 0
    const declined = incoming.headers[RELAY_DECLINED_HEADER]
    if (declined !== undefined) {
      declinedReason = String(declined)
      relay.learn({ kind: 'declined', elsewhere: String(incoming.headers[RELAY_ELSEWHERE_HEADER] ?? '') })
      return
    }
    const isSuccess = status >= STATUS.ok && status <= STATUS.lastOk
    const isStreamed = isSuccess && isStream
    if (state.headersSent && (!isStreamed || status !== state.streamHead?.status || mediaTypeOf(incoming) !== state.streamHead.mediaType)) {
      const isRefused = status === STATUS.unavailable
      abort(isRefused ? { kind: 'notRun', reason: `${peer.instanceId} refused to go on` } : { kind: 'broken', reason: `status ${status} of ${peer.instanceId} to a resumed stream`, headersSent: true }, 'unusable response')
      return
    }
    if (isStreamed && !adoptStreamReport(context, state, incoming)) {
      abort({ kind: 'broken', reason: `${peer.instanceId} goes on at another software version`, headersSent: state.headersSent }, 'another software version')
      return
    }
    head = { incoming, isStreamed }
    if (isStreamed) piece = state.pieces.begin(holder)
    relay.learn({ kind: 'served' })
    if (isSuccess) earlier?.giveUp(true)
    if (!isStreamed || state.headersSent) return
    response.writeHead(status, [...withoutContentLength(wire.buildResponseHeaders(withoutStreamReport(incoming.rawHeaders))), ...closingHeaders(context, response)])
    state.headersSent = true
    state.streamHead = { status, mediaType: mediaTypeOf(incoming) }
    state.firstByteAt = steadyNow()
  }

  function onData (chunk: Buffer): void {
    recordBytes()
    if (head === undefined) return
    if (!head.isStreamed) {
      if (!body.add(chunk)) abort({ kind: 'broken', reason: `response too large: more than ${body.bytes - chunk.length} bytes`, headersSent: state.headersSent }, 'response too large')
      return
    }
    const complete = splitter.push(chunk)
    if (splitter.isOverflowing) {
      abort({ kind: 'broken', reason: 'bytes without end between events', headersSent: true }, 'unusable response')
      return
    }
    state.relayedEvents += complete.events
    state.hasUnidentifiedEvents ||= complete.hasUnidentified
    if (complete.lastEventId !== '') state.lastEventId = complete.lastEventId
    piece?.add(complete.firstEventId, complete.lastEventId)
    const isDrained = complete.bytes.length === 0 || response.write(complete.bytes)
    if (complete.unrelated !== undefined) return endBeforeUnrelated(head.incoming.statusCode ?? 0, complete.unrelated)
    if (isDrained) return
    exchange.pause()
    response.once('drain', () => exchange.resume())
  }

  /** Ends an answer of which the rest belongs to no request, as a peer of an earlier version passes it on; its connection is not used again. */
  function endBeforeUnrelated (status: number, reason: string): void {
    if (!hasEventForEachToken(state)) return abort({ kind: 'broken', reason, headersSent: true }, reason)
    piece?.end({ kind: 'whole', delimiter: 'tokens' })
    response.end()
    abort({ kind: 'delivered', status }, reason)
  }

  function onEnd (delimiter: BodyDelimiter): void {
    if (settled) return endAtPeer()
    if (declinedReason !== undefined) return settle({ kind: 'notTaken', reason: `${peer.instanceId} declined: ${declinedReason}` })
    if (head === undefined) return settle({ kind: 'broken', reason: 'response without headers', headersSent: state.headersSent })
    const status = head.incoming.statusCode ?? 0
    if (head.isStreamed) {
      if (splitter.bufferedBytes > 0 && !hasEventForEachToken(state)) return onBroken(true, 'stream ended within an event')
      piece?.end({ kind: 'whole', delimiter })
      response.end()
    } else {
      bufferResponse(context, state, head.incoming, body.concat()).deliver()
    }
    settle({ kind: 'delivered', status })
  }

  function onBroken (sent: boolean, reason: string): void {
    piece?.end({ kind: 'broken', reason })
    if (settled) endAtPeer()
    if (abortOutcome !== undefined) return settle(abortOutcome)
    // After its head a response also breaks because the peer gives the request up; a peer that is gone fails the next request at once.
    if (declinedReason === undefined && head === undefined) relay.learn({ kind: 'unanswered' })
    context.log.decision('relayBroken', { request: state.fields.attemptId, peer: peer.instanceId, reason, sent, milliseconds: steadyNow() - sentAt, events: state.relayedEvents })
    settle(sent && declinedReason === undefined ? { kind: 'broken', reason: `${peer.instanceId}: ${reason}`, headersSent: state.headersSent } : { kind: 'notTaken', reason: `${peer.instanceId}: ${reason}` })
  }
}

function relayedFields (state: RequestState): { readonly deadline: number, readonly lastEventId: string, readonly resumedAttemptId: string } {
  const isTakenUp = state.fields.lastEventId !== ''
  return {
    deadline: state.deadline,
    lastEventId: state.lastEventId,
    resumedAttemptId: state.lastEventId === '' ? '' : isTakenUp ? state.fields.resumedAttemptId : state.fields.attemptId
  }
}

function envelopeHeader (context: GatewayContext, state: RequestState, peer: Peer, relayId: string): string {
  return encodeRelayEnvelope({
    from: context.settings.instanceId,
    to: peer.incarnationId,
    configurationVersion: state.configuration.configuration.version,
    attemptsLeft: 1,
    isRepeat: true,
    furtherAttempts: { incarnationId: context.incarnationId, relayId, attempts: isRetryable(state.route.deliverySemantics) ? Math.max(0, state.maximumAttempts - state.reachedBackends - 1) : 0 },
    wantsStreamReport: true,
    origin: originOf(context, state)
  })
}

/** Tells the peer where the stream began, so that it need not ask. */
function originOf (context: GatewayContext, state: RequestState): StreamOrigin | undefined {
  const { resumedAttemptId } = relayedFields(state)
  switch (state.streamStart.kind) {
    case 'notBegun':
    case 'unknown': return undefined
    case 'begun': return context.streamVersions.originOf(resumedAttemptId)
    default: return assertNever(state.streamStart)
  }
}
