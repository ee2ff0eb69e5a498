import { SpanKind, failSpan, startSpan, traceHeaders } from '@quinceshunt/telemetry'
import type { AttemptOutcome } from '@quinceshunt/requests'
import { readBody, sendBackendRequest, type BackendRequest, type BackendResponse, type ReceivedResponse } from './backendClient.js'
import type { CallerExchange } from './callersListener.js'
import { judgeClose } from './judgeClose.js'
import { newAttemptId } from './requestIds.js'
import type { AttemptCommand, AttemptResult, Charge } from './requestPath.js'
import type { RouterServices } from './routerServices.js'
import type { Slot } from './services.js'

const MAX_RESPONSE_BYTES = 16_777_216
const DEFAULT_CONTENT_TYPE = 'application/octet-stream'
const IDENTITY_ENCODING = 'identity'

/** Complete response of a service. */
export interface ServiceResponse {
  readonly status: number
  readonly contentType: string
  readonly body: Buffer
}

/** A request to a service as shared by all of its attempts. */
export interface ServiceRequest {
  readonly services: RouterServices
  readonly exchange: CallerExchange
  readonly requestId: string
  readonly fingerprint: string
  readonly idempotent: boolean
  readonly priceTokens: number
  readonly method: string
  readonly path: string
  readonly body: Buffer
  /** Never aborted for non-idempotent requests, whose response is recorded even if the caller disconnects. */
  readonly signal: AbortSignal
}

interface ServiceAttempt extends ServiceRequest {
  /** Unix milliseconds. */
  readonly startedAt: number
}

/** Sends a request to a service once. */
export async function attemptServiceRequest (request: ServiceRequest, command: AttemptCommand<ServiceResponse>, attemptNumber: number): Promise<AttemptResult<ServiceResponse>> {
  const attempt: ServiceAttempt = { ...request, startedAt: request.services.clock.now() }
  const { services, exchange } = attempt
  const server = command.slot.backendServer
  const span = startSpan('service request', SpanKind.CLIENT, exchange.traceContext, { 'peer.id': server.id, 'request.id': attempt.requestId })
  const inFlight = services.inFlight.add(server.id, attempt.fingerprint)
  const attemptId = newAttemptId(attempt.requestId, attemptNumber)
  try {
    const response = await sendBackendRequest({
      address: server.address,
      method: attempt.method,
      path: attempt.path,
      headers: createRequestHeaders(attempt, attemptId, traceHeaders(span, exchange.traceContext)),
      body: attempt.body,
      deadline: exchange.deadline,
      signal: attempt.signal,
      freshConnection: !attempt.idempotent
    })
    const result = response.kind === 'answering' ? await readResponse(attempt, command.slot, response) : await handleMissingResponse(attempt, server.id, response)
    if (result.kind === 'failed') {
      failSpan(span, result.outcome.kind)
      services.logger.warn({ requestId: attempt.requestId, step: 'service request', peer: server.id, outcome: result.outcome.kind }, 'attempt failed')
    }
    return result
  } finally {
    inFlight.remove()
    span.end()
  }
}

function createRequestHeaders (request: ServiceRequest, attemptId: string, trace: Record<string, string>): BackendRequest['headers'] {
  const { exchange } = request
  const headers: BackendRequest['headers'] = { ...trace, 'x-request-id': attemptId, 'x-client-account': exchange.caller.account.id }
  const contentType = exchange.request.headers['content-type']
  if (contentType !== undefined) headers['content-type'] = contentType
  if (exchange.request.headers.accept !== undefined) headers.accept = exchange.request.headers.accept
  if (exchange.idempotencyKey !== undefined) headers['idempotency-key'] = exchange.idempotencyKey
  return headers
}

async function handleMissingResponse (attempt: ServiceAttempt, backendServer: string, response: Exclude<BackendResponse, { readonly kind: 'answering' }>): Promise<AttemptResult<ServiceResponse>> {
  switch (response.kind) {
    case 'notSent':
      attempt.services.backends.confirmCrash(backendServer)
      return failedAttempt({ kind: 'neverSent' }, undefined)
    case 'broken': return await classifyDisconnect(attempt, backendServer, { kind: 'resetBeforeFirstByte' })
    case 'invalid': return failedAttempt({ kind: 'resetBeforeFirstByte' }, fixedCharge(attempt))
    case 'deadline': return failedAttempt({ kind: 'timeout', bytesReceived: 0 }, fixedCharge(attempt))
    case 'aborted': return { kind: 'callerGone', charge: response.sent ? fixedCharge(attempt) : undefined }
  }
}

async function readResponse (attempt: ServiceAttempt, slot: Slot, response: ReceivedResponse): Promise<AttemptResult<ServiceResponse>> {
  if (!response.isOwn) {
    response.message.destroy()
    attempt.services.metrics.count('answers_dropped_total', { reason: 'wrong_request_id' })
    return failedAttempt({ kind: 'wrongRequestId' }, fixedCharge(attempt))
  }
  // None was asked for, and the caller would get the bytes without a header that tells how to read them.
  if ((response.headers['content-encoding'] ?? IDENTITY_ENCODING) !== IDENTITY_ENCODING) {
    response.message.destroy()
    return failedAttempt({ kind: 'brokenAfterBytes', bytesReceived: 1, resumable: false }, fixedCharge(attempt))
  }
  const body = await readBody(response.message, {
    limitBytes: MAX_RESPONSE_BYTES,
    holding: attempt.services.bufferedResponses.open(slot.backendServer.address),
    deadline: attempt.exchange.deadline,
    judgeClose: async () => await judgeClose(attempt.services, slot, attempt.requestId)
  })
  switch (body.kind) {
    case 'whole': {
      const answer = { status: response.status, contentType: response.headers['content-type'] ?? DEFAULT_CONTENT_TYPE, body: body.body }
      return { kind: 'answered', answer, charge: fixedCharge(attempt) }
    }
    case 'broken': return await classifyDisconnect(attempt, slot.backendServer.id, { kind: 'brokenAfterBytes', bytesReceived: 1, resumable: false })
    case 'deadline': return failedAttempt({ kind: 'timeout', bytesReceived: 1 }, fixedCharge(attempt))
    case 'tooLarge': return { kind: 'rejected', error: { status: 502, code: 'answer_too_large', message: body.reason, run: 'yes' }, charge: fixedCharge(attempt) }
  }
}

async function classifyDisconnect (attempt: ServiceAttempt, backendServer: string, outcome: AttemptOutcome): Promise<AttemptResult<ServiceResponse>> {
  const crashed = await attempt.services.crashes.checkForCrash(backendServer, attempt.startedAt)
  return failedAttempt(crashed ? { kind: 'crashed', bytesReceived: 0 } : outcome, fixedCharge(attempt))
}

/** Services' responses are sent to the caller only once complete, so `unitsSentToCaller` is 0. */
function failedAttempt (outcome: AttemptOutcome, charge: Charge | undefined): AttemptResult<ServiceResponse> {
  return { kind: 'failed', outcome, unitsSentToCaller: 0, charge }
}

function fixedCharge (request: ServiceRequest): Charge {
  return { promptTokens: 0, completionTokens: request.priceTokens, estimated: false }
}
