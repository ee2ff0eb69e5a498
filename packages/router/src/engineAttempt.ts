import { isDelimitedByClose } from '@quinceshunt/caller-connections'
import type { Holding } from '@quinceshunt/memory-limits'
import { SpanKind, failSpan, startSpan, traceHeaders } from '@quinceshunt/telemetry'
import type { AttemptOutcome } from '@quinceshunt/requests'
import { z } from 'zod'
import { readBody, sendBackendRequest, type BackendResponse, type ReceivedResponse } from './backendClient.js'
import type { CallerExchange } from './callersListener.js'
import { relayChatStream, usageSchema, type StreamOutcome, type StreamProgress, type Usage } from './chatStream.js'
import type { InFlightEntry } from './inFlight.js'
import { parseJson } from './parseJson.js'
import { newAttemptId } from './requestIds.js'
import type { AttemptCommand, AttemptResult, Charge } from './requestPath.js'
import type { RouterServices } from './routerServices.js'
import type { Priority, Slot } from './services.js'

const MAX_RESPONSE_BYTES = 16_777_216
/** Short, as a live engine answers a cancellation from memory. */
const CANCEL_TIMEOUT_MS = 1000
/** A prompt part that crashes backend servers does so at the start of an answer, so that a second token shows that there is none. */
const TOKENS_OF_SOUND_ANSWER = 2

const completionSchema = z.looseObject({ id: z.string(), usage: usageSchema.optional() })
const cancellationSchema = z.looseObject({ usage: usageSchema })
const engineErrorSchema = z.looseObject({ error: z.looseObject({ message: z.string() }) })

/** Complete response of an engine; a `streamed` one has been relayed, except for the usage event in `progress`. */
export type EngineResponse =
  | { readonly kind: 'streamed' }
  | { readonly kind: 'whole', readonly json: string }

/** A chat request as shared by all of its attempts. */
export interface EngineRequest {
  readonly services: RouterServices
  readonly exchange: CallerExchange
  readonly requestId: string
  readonly fingerprint: string
  /** Hashes of the parts of its prompt that other requests may share. */
  readonly sharedParts: readonly string[]
  readonly ceilingTokens: number
  readonly priority: Priority
  readonly streamed: boolean
  readonly includeUsage: boolean
  readonly body: Buffer
  readonly progress: StreamProgress
  readonly onToken: () => void
}

interface EngineAttempt extends EngineRequest {
  /** Unix milliseconds. */
  readonly startedAt: number
}

/** Returns a function that runs attempts of one chat request; a resumed attempt keeps the ID of the interrupted one. */
export function createEngineAttemptRunner (request: EngineRequest): (command: AttemptCommand<EngineResponse>, attemptNumber: number) => Promise<AttemptResult<EngineResponse>> {
  let attemptId = ''
  return async (command, attemptNumber) => {
    if (command.resumeOffset === undefined) attemptId = newAttemptId(request.requestId, attemptNumber)
    return await runAttempt({ ...request, startedAt: request.services.clock.now() }, command, attemptId)
  }
}

async function runAttempt (attempt: EngineAttempt, command: AttemptCommand<EngineResponse>, attemptId: string): Promise<AttemptResult<EngineResponse>> {
  const { services, exchange } = attempt
  const server = command.slot.backendServer
  const span = startSpan('engine request', SpanKind.CLIENT, exchange.traceContext, { 'peer.id': server.id, 'request.id': attempt.requestId })
  const inFlight = services.inFlight.add(server.id, attempt.fingerprint, { parts: attempt.sharedParts, sentAt: attempt.startedAt })
  try {
    const headers = { 'x-request-id': attemptId, 'x-priority': attempt.priority, ...traceHeaders(span, exchange.traceContext) }
    const resumed = command.resumeOffset !== undefined
    const response = await sendBackendRequest({
      address: server.address,
      method: resumed ? 'GET' : 'POST',
      path: resumed ? `/v1/streams/${attemptId}?offset=${command.resumeOffset}` : '/v1/chat/completions',
      headers: resumed ? headers : { ...headers, 'content-type': 'application/json' },
      body: resumed ? Buffer.alloc(0) : attempt.body,
      deadline: exchange.deadline,
      signal: exchange.signal,
      // A copy of the interrupted response carries the ID of the resumed one.
      freshConnection: resumed
    })
    const result = response.kind === 'answering'
      ? await readResponse({ ...attempt, onAnswered: createAnswerRecorder(attempt, inFlight) }, command, attemptId, response)
      : await handleMissingResponse(attempt, command.slot, attemptId, response)
    if (result.kind === 'failed') {
      failSpan(span, result.outcome.kind)
      services.logger.warn({ requestId: attempt.requestId, step: 'engine request', peer: server.id, outcome: result.outcome.kind }, 'attempt failed')
    }
    return result
  } finally {
    inFlight.remove()
    span.end()
  }
}

async function handleMissingResponse (attempt: EngineAttempt, slot: Slot, attemptId: string, response: Exclude<BackendResponse, { readonly kind: 'answering' }>): Promise<AttemptResult<EngineResponse>> {
  switch (response.kind) {
    case 'notSent':
      // Triggers a health check without reporting a crash, as a request that was not sent can't have caused one.
      attempt.services.backends.confirmCrash(slot.backendServer.id)
      return failedAttempt(attempt, { kind: 'neverSent' }, undefined)
    case 'broken': return await classifyDisconnect(attempt, slot, attemptId, { kind: 'resetBeforeFirstByte' })
    case 'invalid': return failedAttempt(attempt, { kind: 'resetBeforeFirstByte' }, await cancelAttempt(attempt, slot, attemptId))
    case 'deadline': return failedAttempt(attempt, { kind: 'timeout', bytesReceived: 0 }, await cancelAttempt(attempt, slot, attemptId))
    case 'aborted': return { kind: 'callerGone', charge: response.sent ? await cancelAttempt(attempt, slot, attemptId) : undefined }
  }
}

/** Returns a callback for the moment at which an answer has gone on after its start; calls after the first do nothing. */
function createAnswerRecorder ({ services, sharedParts }: EngineAttempt, inFlight: InFlightEntry): () => void {
  const answeredAt = services.clock.now()
  let isRecorded = false
  return () => {
    if (isRecorded) return
    isRecorded = true
    inFlight.markAnswered()
    services.promptParts.recordAnswer(sharedParts, answeredAt)
  }
}

/** An attempt whose backend server has sent the head of a response. */
interface AnsweringAttempt extends EngineAttempt {
  /** To be called when the answer has gone on after its start. */
  readonly onAnswered: () => void
}

async function readResponse (attempt: AnsweringAttempt, command: AttemptCommand<EngineResponse>, attemptId: string, response: ReceivedResponse): Promise<AttemptResult<EngineResponse>> {
  if (!response.isOwn) {
    response.message.destroy()
    return await dropMismatchedResponse(attempt, command.slot, attemptId, String(response.headers['x-request-id'] ?? ''))
  }
  if (response.status !== 200) return await readErrorResponse(attempt, command, attemptId, response)
  return attempt.streamed ? await relayStream(attempt, command.slot, attemptId, response) : await readBufferedResponse(attempt, command.slot, attemptId, response)
}

async function readErrorResponse (attempt: EngineAttempt, command: AttemptCommand<EngineResponse>, attemptId: string, response: ReceivedResponse): Promise<AttemptResult<EngineResponse>> {
  const { status } = response
  const body = await readBody(response.message, { limitBytes: MAX_RESPONSE_BYTES, holding: openHolding(attempt, command.slot), deadline: attempt.exchange.deadline })
  // The engine no longer has the stream, so it can't be resumed.
  if (command.resumeOffset !== undefined) return failedAttempt(attempt, { kind: 'brokenAfterBytes', bytesReceived: attempt.progress.contentTokens, resumable: false }, await cancelAttempt(attempt, command.slot, attemptId))
  if (status === 429 || status === 503) return failedAttempt(attempt, { kind: 'refusedBeforeRunning' }, undefined)
  // Only an error that names the request's own fault tells that the chat was not run.
  if (status < 400 || status >= 500) return failedAttempt(attempt, { kind: 'resetBeforeFirstByte' }, await cancelAttempt(attempt, command.slot, attemptId))
  const text = body.kind === 'whole' ? body.body.toString('utf8') : ''
  const message = parseJson(engineErrorSchema, text)?.error.message ?? `the engine rejected the request with status ${status}`
  return { kind: 'rejected', error: { status: status === 401 || status === 403 ? 502 : status, code: 'backend_rejected', message, run: 'no' }, charge: undefined }
}

async function relayStream (attempt: AnsweringAttempt, slot: Slot, attemptId: string, response: ReceivedResponse): Promise<AttemptResult<EngineResponse>> {
  const { services, exchange } = attempt
  if (!exchange.response.headersSent) {
    exchange.response.statusCode = 200
    exchange.response.setHeader('content-type', 'text/event-stream; charset=utf-8')
    exchange.response.setHeader('cache-control', 'no-cache')
    exchange.response.setHeader('x-request-id', attempt.requestId)
  }
  const outcome = await relayChatStream({
    message: response.message,
    response: exchange.response,
    progress: attempt.progress,
    attemptId,
    requestId: attempt.requestId,
    includeUsage: attempt.includeUsage,
    deadline: exchange.deadline,
    signal: exchange.signal,
    isBackendServerDown: () => services.backends.confirmCrash(slot.backendServer.id),
    onToken: () => {
      if (attempt.progress.contentTokens >= TOKENS_OF_SOUND_ANSWER) attempt.onAnswered()
      attempt.onToken()
    }
  })
  return await handleStreamOutcome(attempt, slot, attemptId, outcome)
}

async function handleStreamOutcome (attempt: EngineAttempt, slot: Slot, attemptId: string, outcome: StreamOutcome): Promise<AttemptResult<EngineResponse>> {
  const bytesReceived = attempt.progress.contentTokens
  switch (outcome.kind) {
    case 'complete': return { kind: 'answered', answer: { kind: 'streamed' }, charge: chargeFromUsage(attempt, outcome.usage) }
    case 'broken': return await classifyDisconnect(attempt, slot, attemptId, { kind: 'brokenAfterBytes', bytesReceived, resumable: true })
    case 'engineError': return failedAttempt(attempt, { kind: 'brokenAfterBytes', bytesReceived, resumable: false }, await cancelAttempt(attempt, slot, attemptId))
    case 'wrongRequest': return await dropMismatchedResponse(attempt, slot, attemptId, outcome.received)
    case 'callerGone': return { kind: 'callerGone', charge: await cancelAttempt(attempt, slot, attemptId) }
    case 'deadline': return failedAttempt(attempt, { kind: 'timeout', bytesReceived }, await cancelAttempt(attempt, slot, attemptId))
  }
}

async function readBufferedResponse (attempt: AnsweringAttempt, slot: Slot, attemptId: string, response: ReceivedResponse): Promise<AttemptResult<EngineResponse>> {
  const body = await readBody(response.message, {
    limitBytes: MAX_RESPONSE_BYTES,
    holding: openHolding(attempt, slot),
    deadline: attempt.exchange.deadline,
    signal: attempt.exchange.signal
  })
  if (attempt.exchange.signal.aborted) return { kind: 'callerGone', charge: await cancelAttempt(attempt, slot, attemptId) }
  switch (body.kind) {
    case 'broken': return await classifyDisconnect(attempt, slot, attemptId, { kind: 'brokenAfterBytes', bytesReceived: 0, resumable: false })
    case 'deadline': return failedAttempt(attempt, { kind: 'timeout', bytesReceived: 0 }, await cancelAttempt(attempt, slot, attemptId))
    case 'tooLarge': return { kind: 'rejected', error: { status: 502, code: 'answer_too_large', message: body.reason, run: 'yes' }, charge: estimatedCharge(attempt) }
    case 'whole': break
  }
  const text = body.body.toString('utf8')
  const completion = parseJson(completionSchema, text)
  if (completion === undefined) return await handleMalformedCompletion(attempt, slot, attemptId, response)
  if (completion.id !== `chatcmpl-${attemptId}`) return await dropMismatchedResponse(attempt, slot, attemptId, completion.id)
  attempt.onAnswered()
  return { kind: 'answered', answer: { kind: 'whole', json: text.replace(attemptId, attempt.requestId) }, charge: chargeFromUsage(attempt, completion.usage) }
}

/** A JSON object that is cut does not parse, so that a body without a length or chunks may be half of one that its engine's crash has ended. */
async function handleMalformedCompletion (attempt: EngineAttempt, slot: Slot, attemptId: string, { message }: ReceivedResponse): Promise<AttemptResult<EngineResponse>> {
  const outcome: AttemptOutcome = { kind: 'brokenAfterBytes', bytesReceived: 0, resumable: false }
  if (isDelimitedByClose(message)) return await classifyDisconnect(attempt, slot, attemptId, outcome)
  return failedAttempt(attempt, outcome, estimatedCharge(attempt))
}

async function dropMismatchedResponse (attempt: EngineAttempt, slot: Slot, attemptId: string, received: string): Promise<AttemptResult<EngineResponse>> {
  attempt.services.metrics.count('answers_dropped_total', { reason: 'wrong_request_id' })
  attempt.services.logger.error({ requestId: attempt.requestId, step: 'read answer', peer: slot.backendServer.id, received }, 'dropped a response with the ID of another request')
  return failedAttempt(attempt, { kind: 'wrongRequestId' }, await cancelAttempt(attempt, slot, attemptId))
}

/** Determines whether a disconnect was a crash; if not, gets the usage from the engine by cancelling the attempt. */
async function classifyDisconnect (attempt: EngineAttempt, slot: Slot, attemptId: string, outcome: AttemptOutcome): Promise<AttemptResult<EngineResponse>> {
  if (await attempt.services.crashes.checkForCrash(slot.backendServer.id, attempt.startedAt)) {
    return failedAttempt(attempt, { kind: 'crashed', bytesReceived: attempt.progress.contentTokens }, estimatedCharge(attempt))
  }
  // A resumable stream must not be cancelled; the reserved ceiling is charged if it is never resumed.
  const resumable = outcome.kind === 'brokenAfterBytes' && outcome.resumable
  return failedAttempt(attempt, outcome, resumable ? estimatedCharge(attempt) : await cancelAttempt(attempt, slot, attemptId))
}

/** Cancels an attempt and returns the usage that the engine reports, or the reserved ceiling if it does not respond. */
async function cancelAttempt (attempt: EngineAttempt, slot: Slot, attemptId: string): Promise<Charge> {
  const deadline = attempt.services.clock.now() + CANCEL_TIMEOUT_MS
  const response = await sendBackendRequest({
    address: slot.backendServer.address,
    method: 'DELETE',
    path: `/v1/streams/${attemptId}`,
    headers: { 'x-request-id': attemptId },
    body: Buffer.alloc(0),
    deadline,
    signal: new AbortController().signal,
    // A copy of the attempt's response carries the ID of the cancellation.
    freshConnection: true
  })
  if (response.kind !== 'answering') return estimatedCharge(attempt)
  if (!response.isOwn) {
    response.message.destroy()
    return estimatedCharge(attempt)
  }
  const body = await readBody(response.message, { limitBytes: MAX_RESPONSE_BYTES, holding: openHolding(attempt, slot), deadline })
  const cancellation = body.kind === 'whole' && response.status === 200 ? parseJson(cancellationSchema, body.body.toString('utf8')) : undefined
  return chargeFromUsage(attempt, cancellation?.usage)
}

function openHolding ({ services }: EngineAttempt, { backendServer }: Slot): Holding {
  return services.bufferedResponses.open(backendServer.address)
}

function failedAttempt (attempt: EngineAttempt, outcome: AttemptOutcome, charge: Charge | undefined): AttemptResult<EngineResponse> {
  const unitsSentToCaller = attempt.progress.started ? Math.max(1, attempt.progress.contentTokens) : 0
  return { kind: 'failed', outcome, unitsSentToCaller, charge }
}

function chargeFromUsage (attempt: EngineAttempt, usage: Usage | undefined): Charge {
  if (usage === undefined) return estimatedCharge(attempt)
  return { promptTokens: usage.prompt_tokens, completionTokens: usage.completion_tokens, estimated: false }
}

function estimatedCharge (attempt: EngineAttempt): Charge {
  return { promptTokens: 0, completionTokens: attempt.ceilingTokens, estimated: true }
}
