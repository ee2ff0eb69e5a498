import { steadyNow } from '../clock.js'
import { handleArrivedEvents, type BodyDelimiter } from '@quinceshunt/caller-connections'
import { assertNever } from '@quinceshunt/effects'
import type { IncomingMessage } from 'node:http'
import { backendProcessOf, failureWeight, markPartsCached, recordObservation, silenceMilliseconds, type BackendObservation, type PendingAttempt } from '../decisions/backendState.js'
import type { Choice } from '../decisions/backendChoice.js'
import { createEventOrder } from '../decisions/eventOrder.js'
import { createEventSplitter } from '../decisions/eventSplitter.js'
import { abandonedGap, MIN_STREAM_SILENCE_MS, stallTimeout } from '../decisions/stalledAttempts.js'
import type { StreamPiece } from '../decisions/streamPieces.js'
import { mayGoOnAt } from '../decisions/streamOrigins.js'
import { isRetryable, type AttemptOutcome, type RetryReservation } from '../decisions/requestPlan.js'
import type { ResponseFields } from '../ports.js'
import { createSetAside, limitSetAside, type AttemptSetAside, type SetAsideCause } from './attemptSetAside.js'
import { recordAcceptance } from './availableBackends.js'
import type { BreakCause } from './backendConnections.js'
import { createBufferedBody } from './bufferedBody.js'
import { limitDepartedExchange } from './departedExchange.js'
import { bufferResponse, closingHeaders, mediaTypeOf, withoutContentLength } from './forwardedResponse.js'
import type { GatewayContext } from './gatewayContext.js'
import { hasEventForEachToken } from './hasEventForEachToken.js'
import { lateFirstByteAfter, recordFirstByteTime } from './recordFirstByteTime.js'
import { judgeClose } from './judgeClose.js'
import { recordUse } from './recordUse.js'
import { releaseReturn } from './releaseReturn.js'
import type { RequestState } from './requestTask.js'
import { watchFirstAttempt } from './secondSends.js'
import { connectionCheck } from './streamContinuation.js'
import { recordStreamStart, streamReportHeaders } from './streamStart.js'

const STALL_CHECK_INTERVAL_MS = 50
/** A retry that was refused is asked for again after this time. */
const RESERVE_AGAIN_MS = 250
/** Time without any byte after which an aborted attempt marks the backend server as silent. */
const SILENT_BACKEND_MS = 600
/** Kept connections to a backend server that sent a byte this short a time ago stay open when a new one is refused. */
const LIVE_CONNECTION_MS = 1000
/** A prompt part that crashes backend servers does so at the start of an answer, so that a second event shows that there is none. */
const EVENTS_OF_SOUND_ANSWER = 2

/** Failure weight from which an error response is attributed to the backend server rather than to the request. */
const FAILING_BACKEND_WEIGHT = 0.4

const STATUS = { ok: 200, lastOk: 299, serverError: 500 } as const

/**
 * Sends a request to a backend server once and forwards a usable response to the caller. When the backend server is silent
 * and `reserveRetry` has reserved a retry at another one, the attempt is set aside: whichever goes on first ends the other.
 */
export function runAttempt (context: GatewayContext, state: RequestState, choice: Choice, reserveRetry: () => Promise<RetryReservation>): Promise<AttemptOutcome> {
  return new Promise((resolve) => startAttempt(context, state, choice, reserveRetry, resolve))
}

function startAttempt (context: GatewayContext, state: RequestState, choice: Choice, reserveRetry: () => Promise<RetryReservation>, resolve: (outcome: AttemptOutcome) => void): void {
  const { wire, connections } = context
  const { response, incoming: callerRequest } = state
  const backend = choice.state
  const { entry } = backend
  const backendProcess = backendProcessOf(entry)
  const sentAt = steadyNow()
  const isStream = state.route.deliverySemantics.kind === 'resumableStream' || state.route.deliverySemantics.kind === 'onceStream'
  const isRepeatable = isRetryable(state.route.deliverySemantics)
  const earlier = state.setAside
  const pending: PendingAttempt = { sentAt, prefillTokens: choice.prefillTokens, answered: false }
  const splitter = createEventSplitter(() => context.bufferedResponses.open(backendProcess), createEventOrder(state.lastEventId, state.headersSent))
  const body = createBufferedBody(context.bufferedResponses, backendProcess)
  let eventsOfAttempt = 0
  let head: { readonly incoming: IncomingMessage, readonly isStreamed: boolean } | undefined
  let piece: StreamPiece | undefined
  let settled = false
  let setAside: AttemptSetAside | undefined
  let resolveOutcome = resolve
  let answeredAt: number | undefined
  let isAnswerSound = false
  let lastProgressAt = sentAt
  let lastBytesAt = sentAt
  let reserveRetryAt = 0
  let isReserving = false
  let earlierTimer: NodeJS.Timeout | undefined
  let hasRecordedSilence = false
  let hasLoggedRefusal = false
  let abortOutcome: AttemptOutcome | undefined
  let endDepartedLimit = (): void => {}

  const headers = wire.buildRequestHeaders(callerRequest.rawHeaders, {
    account: state.account?.name ?? '',
    expectedBackendId: backend.entry.id,
    deadline: state.deadline,
    priority: state.fields.prompt === undefined ? undefined : state.priority,
    lastEventId: state.lastEventId
  }, sentAt)
  backend.pending.add(pending)
  backend.attempts++
  backend.tally.sent++
  const releaseMemory = state.memory.keep()
  state.attempts++
  if (state.fields.prompt !== undefined) markPartsCached(backend, state.fields.prompt.parts, sentAt + context.settings.promptReuseWindowSeconds * 1000)

  const exchange = connections.start({
    address: backend.entry.address,
    method: callerRequest.method ?? 'GET',
    path: callerRequest.url ?? '/',
    headers,
    body: state.body,
    needsNewConnection: state.triedAddresses.has(backend.entry.address),
    backendProcess,
    confirmConnection: connectionCheck(context, state, backend),
    judgeClose: async () => await judgeClose(context, state, backend, { incoming: head?.incoming, backendProcess, connection: exchange.connection })
  }, { onConnected, onHead, onData, onEnd, onBroken })
  state.triedAddresses.add(backend.entry.address)
  const deadlineTimer = setTimeout(() => abort({ kind: 'timedOut', headersSent: state.headersSent }, 'out of time'), Math.max(1, state.deadline - sentAt))
  if (earlier !== undefined) earlier.onGoneOn = () => abort({ kind: 'superseded' }, 'the attempt before it has gone on')
  const stallTimer = isRepeatable || isStream ? setInterval(checkStall, STALL_CHECK_INTERVAL_MS) : undefined
  const watched = watchFirstAttempt(context, state, choice, sendSecond)
  const stopWatchingCaller = state.caller.onLeft(handleCallerDisconnect)

  /** Ends the request's part in the load of the backend server. */
  function endAtBackend (how: 'answered' | 'failed' | 'full'): void {
    endDepartedLimit()
    releaseMemory()
    if (backend.pending.delete(pending)) context.rooms.noteEnded(backend, how)
  }

  function settle (outcome: AttemptOutcome): void {
    if (settled) return
    settled = true
    clearTimeout(deadlineTimer)
    clearInterval(stallTimer)
    clearTimeout(earlierTimer)
    body.release()
    splitter.release()
    stopWatchingCaller()
    watched?.end()
    // A request that its caller has left, and that runs at most once, goes on there.
    const goesOn = outcome.kind === 'callerGone' && abortOutcome === undefined
    if (goesOn) endDepartedLimit = limitDepartedExchange(state.deadline, endDeparted)
    else endAtBackend(outcome.kind === 'notRun' ? 'full' : isFailureOfBackend(outcome) ? 'failed' : 'answered')
    resolveOutcome(outcome)
  }

  function endDeparted (): void {
    abort({ kind: 'timedOut', headersSent: state.headersSent }, 'out of time after the caller left')
    // An exchange that broke before its caller left, and whose break was still being judged, reports no second end.
    endAtBackend('answered')
  }

  function isFailureOfBackend (outcome: AttemptOutcome): boolean {
    return abortOutcome === undefined && (outcome.kind === 'notSent' || outcome.kind === 'broken')
  }

  /** Leaves the request to its retry, until that fails or this backend server goes on. */
  function setAttemptAside (cause: SetAsideCause, silentMilliseconds: number, nextBackendId: string): void {
    const reason = `silent for ${silentMilliseconds} ms`
    const resolveSetAside = resolveOutcome
    const outcome = new Promise<AttemptOutcome>((resolve) => { resolveOutcome = resolve })
    const own: AttemptSetAside = createSetAside(cause, outcome, {
      isSetAside: () => setAside === own,
      takeUp: () => { state.setAside = setAside = undefined },
      abort: () => abort({ kind: 'broken', reason, headersSent: state.headersSent }, reason),
      settleRace: (raceOutcome) => { if (cause === 'secondSend') watched?.settleRace(raceOutcome) }
    })
    earlier?.giveUp()
    setAside = own
    state.setAside = own
    context.log.decision('attemptSetAside', { request: state.fields.attemptId, backend: backend.entry.id, nextBackend: nextBackendId, silentMilliseconds, headersSent: state.headersSent })
    resolveSetAside({ kind: 'setAside', reason, headersSent: state.headersSent, nextBackendId })
  }

  /** Takes the request back from its retry, as this backend server has gone on. */
  function endSetAside (): void {
    if (setAside === undefined || settled) return
    const own = setAside
    setAside = undefined
    own.hasGoneOn = true
    own.onGoneOn()
  }

  /** Aborts the exchange; `onBroken` then settles the attempt with `outcome`. */
  function abort (outcome: AttemptOutcome, reason: string): void {
    abortOutcome ??= outcome
    recordSilence()
    exchange.abort(reason)
  }

  /** A slow response doesn't count as silence while the backend server sends bytes for other requests. */
  function recordSilence (): void {
    if (hasRecordedSilence || pending.answered || silenceMilliseconds(backend, steadyNow()) <= SILENT_BACKEND_MS) return
    hasRecordedSilence = true
    recordBackendObservation({ kind: 'silent' })
  }

  function handleCallerDisconnect (): void {
    // A request that runs at most once is not aborted, as that could leave it half executed; its response is discarded.
    if (state.route.deliverySemantics.kind === 'once') {
      settle({ kind: 'callerGone' })
      return
    }
    abort({ kind: 'callerGone' }, 'the caller disconnected')
  }

  function recordBackendObservation (observation: BackendObservation): void {
    recordObservation(backend, observation, steadyNow())
    if (observation.kind === 'unreachable') context.reach.noteUnreachable(backend)
    if (observation.kind === 'silent' || observation.kind === 'unreachable') {
      // While kept connections bring bytes, only new ones are refused.
      if (observation.kind === 'silent' || steadyNow() - backend.lastByteAt > LIVE_CONNECTION_MS) connections.closeIdle(backend.entry.address)
      context.log.decision('backendAvoided', { backend: backend.entry.id, because: observation.kind, until: backend.avoidedUntil, request: state.fields.attemptId })
    }
  }

  function checkStall (): void {
    const now = steadyNow()
    // While the caller reads slowly, the exchange is paused and can't show progress.
    if (response.writableNeedDrain) lastProgressAt = now
    endAbandonedStream(now)
    if (!isRepeatable || state.attempts >= state.maximumAttempts || setAside !== undefined || isReserving) return
    const stalled = { isStream, headersSent: state.headersSent, backendSilence: silenceMilliseconds(backend, now), sinceLastByte: now - backend.lastByteAt }
    if (now - lastProgressAt < stallTimeout(state.route, stalled) || now < reserveRetryAt) return
    reserveRetryAt = now + RESERVE_AGAIN_MS
    continueElsewhere('stall', now, reserveRetry).catch(warnOfRetry)
  }

  function warnOfRetry (error: unknown): void {
    context.log.warning('retryFailed', { request: state.fields.attemptId, reason: String(error) })
  }

  /** Sends the request a second time, as its response takes longer than usual. */
  function sendSecond (): void {
    if (watched === undefined || head !== undefined || state.headersSent || setAside !== undefined || isReserving) return
    continueElsewhere('secondSend', steadyNow(), watched.reserve).catch(warnOfRetry)
  }

  async function continueElsewhere (cause: SetAsideCause, stalledAt: number, reserve: () => Promise<RetryReservation>): Promise<void> {
    const progressAt = lastProgressAt
    isReserving = true
    // After a pause of this process, answers that had arrived are read only now.
    await handleArrivedEvents()
    if (settled || lastProgressAt !== progressAt) {
      isReserving = false
      return
    }
    if (cause === 'stall') recordSilence()
    const reservation = await reserve().finally(() => { isReserving = false })
    const silentMilliseconds = stalledAt - progressAt
    switch (reservation.kind) {
      case 'refused':
        if (!hasLoggedRefusal && cause === 'stall') context.log.decision('retryRefused', { request: state.fields.attemptId, backend: backend.entry.id, reason: reservation.reason, silentMilliseconds, headersSent: state.headersSent })
        hasLoggedRefusal ||= cause === 'stall'
        return
      case 'reserved':
        if (settled) return
        if (lastProgressAt === progressAt) setAttemptAside(cause, silentMilliseconds, reservation.backendId)
        else releaseReturn(state)
        return
      default: assertNever(reservation)
    }
  }

  /** Ends a stream that brings bytes but no event once its caller has given it up. Silence ends no stream: it may go on. */
  function endAbandonedStream (now: number): void {
    if (!state.headersSent || now - lastBytesAt >= MIN_STREAM_SILENCE_MS) return
    if (now - lastProgressAt >= abandonedGap(state.route)) abort({ kind: 'broken', reason: `no event for ${now - lastProgressAt} ms`, headersSent: true }, 'no event')
  }

  /** Bytes show that the backend server is alive; only a head, a part of a plain body or a whole event is progress of the request. */
  function recordBytes (isProgress: boolean): void {
    const now = steadyNow()
    backend.lastByteAt = now
    context.reach.noteBytes(backend)
    lastBytesAt = now
    if (isProgress) lastProgressAt = now
    if (pending.answered) return
    pending.answered = true
    watched?.answer()
    if (!exchange.reusedConnection) context.reach.noteAccepted(backend)
    recordBackendObservation({ kind: 'answered', delayMilliseconds: now - sentAt, expectedMilliseconds: lateFirstByteAfter(context, state, choice) })
  }

  /** Only a signed response shows that the backend server has stopped naming a limit. */
  function recordLimit ({ limit, isSigned, isMisdirected }: ResponseFields): void {
    if (isMisdirected || (limit.kind === 'none' && !isSigned)) return
    context.permits.observe(backend, limit, state.fields.attemptId)
  }

  function onConnected (): void {
    state.reachedBackends++
    earlierTimer = limitSetAside(earlier)
  }

  function onHead (incoming: IncomingMessage): void {
    recordBytes(true)
    const status = incoming.statusCode ?? 0
    const fields = wire.decodeResponseHeaders(status, incoming.headers)
    if (fields.load !== undefined) backend.reportedLoad = { ...fields.load, receivedAt: steadyNow(), attemptsAtReceipt: backend.attempts }
    // On a reused connection a response without an ID may be a late copy of an earlier one.
    const isUnattributable = fields.attemptId === '' && state.fields.attemptId !== '' && exchange.reusedConnection
    if (isUnattributable || (fields.attemptId !== '' && fields.attemptId !== state.fields.attemptId)) {
      abort({ kind: 'broken', reason: 'response to another request', headersSent: state.headersSent }, 'response to another request')
      return
    }
    context.processes.noteAnswer(exchange.connection, sentAt)
    recordLimit(fields)
    context.rooms.observe(backend, fields, state.fields.attemptId)
    recordAcceptance(context, { backend, backendProcess, fields, requestId: state.fields.attemptId })
    const isSuccess = status >= STATUS.ok && status <= STATUS.lastOk
    if (isSuccess && (!fields.isSigned || fields.isContentEncoded)) {
      abort({ kind: 'broken', reason: 'successful response without a signature or with a content encoding', headersSent: state.headersSent }, 'unusable response')
      return
    }
    const isStreamed = isSuccess && isStream
    const mediaType = mediaTypeOf(incoming)
    if (isStreamed && state.headersSent && (status !== state.streamHead?.status || mediaType !== state.streamHead.mediaType)) {
      abort({ kind: 'broken', reason: `status ${status} and media type '${mediaType}' to a resumed stream`, headersSent: true }, 'unusable response')
      return
    }
    if (isStreamed && !mayGoOnAt(state.streamStart, backend.entry)) {
      abort({ kind: 'broken', reason: `software version ${backend.entry.version} to a stream of another one`, headersSent: state.headersSent }, 'another software version')
      return
    }
    head = { incoming, isStreamed }
    if (isStreamed) piece = state.pieces.begin(`${backendProcess} ${backend.entry.version}`)
    if (isSuccess) {
      answeredAt = steadyNow()
      recordFirstByteTime(context, state, choice, answeredAt - sentAt)
      endSetAside()
      earlier?.giveUp(true)
    }
    if (isStreamed && !state.headersSent) {
      recordStreamStart(context, state, backend, { entry, connection: exchange.connection })
      const responseHeaders = wire.buildResponseHeaders(incoming.rawHeaders)
      response.writeHead(status, [...withoutContentLength(responseHeaders), ...streamReportHeaders(context, state), ...closingHeaders(context, response)])
      state.headersSent = true
      recordUse(context, state, state.fields.prompt?.inputTokens ?? 0)
      state.streamHead = { status, mediaType }
      state.firstByteAt = steadyNow()
    }
  }

  function onData (chunk: Buffer): void {
    if (head === undefined) return recordBytes(false)
    if (!head.isStreamed) {
      recordBytes(true)
      if (!body.add(chunk)) abort({ kind: 'broken', reason: `response too large: more than ${body.bytes - chunk.length} bytes`, headersSent: state.headersSent }, 'response too large')
      return
    }
    endSetAside()
    const complete = splitter.push(chunk)
    recordBytes(complete.events > 0)
    eventsOfAttempt += complete.events
    if (eventsOfAttempt >= EVENTS_OF_SOUND_ANSWER) recordSoundAnswer()
    // An event holds at least one token.
    const hasTooManyEvents = state.fields.prompt !== undefined && eventsOfAttempt > state.fields.prompt.maximumOutputTokens
    if (splitter.isOverflowing || hasTooManyEvents) {
      abort({ kind: 'broken', reason: hasTooManyEvents ? `${eventsOfAttempt} events for ${state.fields.prompt?.maximumOutputTokens ?? 0} tokens` : 'bytes without end between events', headersSent: true }, 'unusable response')
      return
    }
    state.deliveredEvents += complete.events
    state.hasUnidentifiedEvents ||= complete.hasUnidentified
    if (complete.lastEventId !== '') state.lastEventId = complete.lastEventId
    piece?.add(complete.firstEventId, complete.lastEventId)
    const isDrained = complete.bytes.length === 0 || response.write(complete.bytes)
    if (complete.unrelated !== undefined) return endBeforeUnrelated(head.incoming.statusCode ?? 0, complete.unrelated)
    if (isDrained) return
    exchange.pause()
    response.once('drain', () => exchange.resume())
  }

  /** Ends an answer of which the rest belongs to no request; its connection is not used again. */
  function endBeforeUnrelated (status: number, reason: string): void {
    if (!hasEventForEachToken(state)) return abort({ kind: 'broken', reason, headersSent: true }, reason)
    completeStream('tokens')
    abort({ kind: 'delivered', status }, reason)
  }

  function completeStream (delimiter: BodyDelimiter | 'tokens'): void {
    state.mayHaveRun = true
    recordSuccess()
    endSetAside()
    piece?.end({ kind: 'whole', delimiter })
    response.end()
  }

  function onEnd (delimiter: BodyDelimiter): void {
    if (settled) return endAtBackend('answered')
    if (head === undefined) return settle({ kind: 'broken', reason: 'response without headers', headersSent: state.headersSent })
    const status = head.incoming.statusCode ?? 0
    if (head.isStreamed) {
      if (splitter.bufferedBytes > 0 && !hasEventForEachToken(state)) return onBroken(true, 'stream ended within an event', 'connection')
      completeStream(delimiter)
      return settle({ kind: 'delivered', status })
    }
    const fields = wire.decodeResponseHeaders(status, head.incoming.headers)
    if (fields.isNotRun) {
      recordBackendObservation({ kind: 'rejected' })
      if (fields.isMisdirected) context.backends.markMisdirected(backend.entry.id)
      return settle({ kind: 'notRun', reason: `the backend server rejected it with status ${status}` })
    }
    state.mayHaveRun = true
    const buffered = bufferResponse(context, state, head.incoming, body.concat())
    if (fields.impliesNotRun || (status >= STATUS.serverError && !fields.isSigned)) {
      recordBackendObservation({ kind: 'errorResponse' })
      return settle({ kind: 'broken', reason: `status ${status} is unsigned or wrongly implies that the request was not run`, headersSent: state.headersSent })
    }
    if (status < STATUS.serverError) {
      recordSuccess()
      endSetAside()
      if (state.headersSent) return settle({ kind: 'broken', reason: `status ${status} to a resumed stream`, headersSent: true })
      buffered.deliver()
      return settle({ kind: 'delivered', status })
    }
    const isBackendFailing = failureWeight(backend, steadyNow()) >= FAILING_BACKEND_WEIGHT
    recordBackendObservation({ kind: 'errorResponse' })
    if (!state.headersSent) state.bufferedResponse = buffered
    return settle(state.headersSent ? { kind: 'broken', reason: `status ${status} to a resumed stream`, headersSent: true } : { kind: 'errorResponse', status, isBackendFailing })
  }

  function recordSuccess (): void {
    context.timings.of(state.service).recordDuration(steadyNow() - sentAt)
    context.crashGuard.recordResponse(state.guarded)
    recordSoundAnswer()
  }

  function recordSoundAnswer (): void {
    if (isAnswerSound || answeredAt === undefined) return
    isAnswerSound = true
    releaseReturn(state)
    context.crashGuard.recordAnswer(state.guarded, answeredAt)
  }

  function onBroken (sent: boolean, reason: string, cause: BreakCause): void {
    if (settled) endAtBackend(abortOutcome === undefined ? 'failed' : 'answered')
    const milliseconds = { milliseconds: steadyNow() - sentAt, answeredMilliseconds: answeredAt === undefined ? undefined : answeredAt - sentAt }
    piece?.end({ kind: 'broken', reason })
    context.log.decision('attemptBroken', { request: state.fields.attemptId, backend: backend.entry.id, reason, sent, isAborted: abortOutcome !== undefined, ...milliseconds, events: eventsOfAttempt })
    if (abortOutcome !== undefined) {
      state.mayHaveRun ||= sent
      return settle(abortOutcome)
    }
    if (cause === 'connection') context.processes.noteBroken(backendProcess, steadyNow())
    if (cause === 'unconfirmed') return settle({ kind: 'notSent', reason })
    if (!sent) {
      recordBackendObservation({ kind: 'unreachable' })
      return settle({ kind: 'notSent', reason })
    }
    state.mayHaveRun = true
    if (cause === 'invalidHead') {
      recordBytes(true)
      recordBackendObservation({ kind: 'errorResponse' })
      context.metrics.count('invalid_heads_total', { service: state.service })
      return settle({ kind: 'broken', reason, headersSent: state.headersSent })
    }
    recordBackendObservation({ kind: 'broken' })
    // A new connection that ends without a byte may be one that was refused, although the request may have run.
    if (!pending.answered && !exchange.reusedConnection) context.reach.noteRefused(backend)
    const broken = { backendProcess: backendProcessOf(backend.entry), sentAt, brokenAt: steadyNow(), isAnswerSound }
    // The retry waits for the verdict, as a request that crashes backend servers may not be sent again.
    context.reach.judgeBreak(backend, (isOwnNetwork) => {
      if (!isOwnNetwork) context.crashGuard.recordBroken(state.guarded, broken)
      settle({ kind: 'broken', reason, headersSent: state.headersSent })
    })
  }
}
