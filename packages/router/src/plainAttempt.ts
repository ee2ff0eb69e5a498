import { SpanKind, failSpan, startSpan, traceHeaders } from '@quinceshunt/telemetry'
import type { AttemptOutcome } from '@quinceshunt/requests'
import { readBody, sendBackendRequest, type BackendResponse } from './backendClient.js'
import type { CallerExchange } from './callersListener.js'
import { newAttemptId } from './requestIds.js'
import type { AttemptCommand, AttemptResult, Charge } from './requestPath.js'
import type { RouterServices } from './routerServices.js'

const ANSWER_LIMIT_BYTES = 16_777_216
const DEFAULT_CONTENT_TYPE = 'application/octet-stream'

/** Whole answer of a plain service. */
export interface PlainAnswer {
  readonly status: number
  readonly contentType: string
  readonly body: Buffer
}

/** What all attempts of one call of a plain service share. */
export interface PlainExchange {
  readonly services: RouterServices
  readonly exchange: CallerExchange
  readonly requestId: string
  readonly fingerprint: string
  readonly idempotent: boolean
  readonly priceTokens: number
  readonly method: string
  readonly path: string
  readonly body: Buffer
  /** For non-idempotent calls this is never aborted: once sent, the answer is recorded even if the caller has gone. */
  readonly signal: AbortSignal
}

interface PlainAttempt extends PlainExchange {
  /** Unix milliseconds. */
  readonly attemptStartedAt: number
}

/** Makes one attempt at a plain service. */
export async function attemptPlainCall (exchangeOfCall: PlainExchange, command: AttemptCommand<PlainAnswer>, attemptNumber: number): Promise<AttemptResult<PlainAnswer>> {
  const call: PlainAttempt = { ...exchangeOfCall, attemptStartedAt: exchangeOfCall.services.clock.now() }
  const { services, exchange } = call
  const server = command.slot.backendServer
  const span = startSpan('service request', SpanKind.CLIENT, exchange.traceContext, { 'peer.id': server.id, 'request.id': call.requestId })
  const removeInFlight = services.inFlight.add(server.id, call.fingerprint)
  const attemptId = newAttemptId(call.requestId, attemptNumber)
  try {
    const response = await sendBackendRequest({
      address: server.address,
      method: call.method,
      path: call.path,
      headers: requestHeaders(call, attemptId, traceHeaders(span, exchange.traceContext)),
      body: call.body,
      deadline: exchange.deadline,
      signal: call.signal,
      freshConnection: !call.idempotent
    })
    const result = response.kind === 'answering' ? await readAnswer(call, server.id, attemptId, response) : await endWithoutAnswer(call, server.id, response)
    if (result.kind === 'failed') {
      failSpan(span, result.outcome.kind)
      services.logger.warn({ requestId: call.requestId, step: 'service request', peer: server.id, outcome: result.outcome.kind }, 'attempt failed')
    }
    return result
  } finally {
    removeInFlight()
    span.end()
  }
}

function requestHeaders (call: PlainExchange, attemptId: string, trace: Record<string, string>): Record<string, string> {
  const { exchange } = call
  const headers: Record<string, string> = { ...trace, 'x-request-id': attemptId, 'x-client-account': exchange.caller.account.id }
  const contentType = exchange.request.headers['content-type']
  if (contentType !== undefined) headers['content-type'] = contentType
  if (exchange.request.headers.accept !== undefined) headers.accept = exchange.request.headers.accept
  if (exchange.idempotencyKey !== undefined) headers['idempotency-key'] = exchange.idempotencyKey
  return headers
}

async function endWithoutAnswer (call: PlainAttempt, backendServer: string, response: Exclude<BackendResponse, { readonly kind: 'answering' }>): Promise<AttemptResult<PlainAnswer>> {
  switch (response.kind) {
    case 'notSent':
      call.services.backends.confirmCrash(backendServer)
      return failure({ kind: 'neverSent' }, undefined)
    case 'broken': return await examineBreak(call, backendServer, { kind: 'resetBeforeFirstByte' })
    case 'deadline': return failure({ kind: 'timeout', bytesReceived: 0 }, priceOf(call))
    case 'aborted': return { kind: 'callerGone', charge: response.sent ? priceOf(call) : undefined }
  }
}

async function readAnswer (call: PlainAttempt, backendServer: string, attemptId: string, response: Extract<BackendResponse, { readonly kind: 'answering' }>): Promise<AttemptResult<PlainAnswer>> {
  const answered = response.headers['x-request-id']
  if (answered !== undefined && answered !== attemptId) {
    response.message.destroy()
    call.services.metrics.count('answers_dropped_total', { reason: 'wrong_request_id' })
    return failure({ kind: 'wrongRequestId' }, priceOf(call))
  }
  const body = await readBody(response.message, ANSWER_LIMIT_BYTES, call.exchange.deadline)
  switch (body.kind) {
    case 'whole': {
      const answer = { status: response.status, contentType: response.headers['content-type'] ?? DEFAULT_CONTENT_TYPE, body: body.body }
      return { kind: 'answered', answer, charge: priceOf(call) }
    }
    case 'broken': return await examineBreak(call, backendServer, { kind: 'brokenAfterBytes', bytesReceived: 1, resumable: false })
    case 'deadline': return failure({ kind: 'timeout', bytesReceived: 1 }, priceOf(call))
    case 'tooLarge': return { kind: 'rejected', error: { status: 502, code: 'answer_too_large', message: `the answer is larger than ${ANSWER_LIMIT_BYTES} bytes`, run: 'yes' }, charge: priceOf(call) }
  }
}

async function examineBreak (call: PlainAttempt, backendServer: string, outcome: AttemptOutcome): Promise<AttemptResult<PlainAnswer>> {
  const crashed = await call.services.crashes.checkForCrash(backendServer, call.attemptStartedAt)
  return failure(crashed ? { kind: 'crashed', bytesReceived: 0 } : outcome, priceOf(call))
}

/** Answers of plain services are sent to the caller only when they are whole. */
function failure (outcome: AttemptOutcome, charge: Charge | undefined): AttemptResult<PlainAnswer> {
  return { kind: 'failed', outcome, unitsSentToCaller: 0, charge }
}

function priceOf (call: PlainExchange): Charge {
  return { promptTokens: 0, completionTokens: call.priceTokens, estimated: false }
}
