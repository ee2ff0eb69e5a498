import { computeRequestIdentity, type RequestIdentity } from '@quinceshunt/requests'
import type { RecordedAnswer, SheetRoute } from '@quinceshunt/schemas'
import { sendCallerError, type CallerError } from './callerError.js'
import { rejectRequest, type CallerExchange } from './callersListener.js'
import { attemptServiceRequest, type ServiceResponse } from './serviceAttempt.js'
import { receiveBody, rejectBeforeRun, type EarlyTermination } from './receiveBody.js'
import type { RequestResult } from './requestPath.js'
import { runRequest } from './requestRunner.js'
import type { RouterServices } from './routerServices.js'
import type { ClaimHandle } from './services.js'

/** A validated call with its route. */
interface ServiceCall {
  readonly service: string
  readonly route: SheetRoute
  /** Path and query sent to the service, without `/services/NAME`. */
  readonly path: string
  readonly body: Buffer
  readonly identity: RequestIdentity
}

type ValidationOutcome = { readonly kind: 'checked', readonly call: ServiceCall } | EarlyTermination

/** Serves `ANY /services/NAME/PATH`. */
export async function serveServiceCall (services: RouterServices, exchange: CallerExchange, path: string): Promise<void> {
  const checked = await validateCall(services, exchange, path)
  if (checked.kind === 'callerGone') return
  if (checked.kind === 'refused') return rejectRequest(services, exchange.response, checked.error, exchange.requestId, exchange.span)
  const { call } = checked
  if (call.route.idempotent) return sendCallResult(services, exchange, call, await runCall(services, exchange, call, exchange.signal))
  await serveAtMostOnce(services, exchange, call)
}

async function validateCall (services: RouterServices, exchange: CallerExchange, path: string): Promise<ValidationOutcome> {
  const [service = '', ...segments] = path.slice('/services/'.length).split('/')
  const query = (exchange.request.url ?? '').split('?').slice(1).join('?')
  const servicePath = `/${segments.join('/')}`
  const method = exchange.request.method ?? 'GET'
  const route = exchange.view.findRoute(service, method, servicePath)
  if (route === undefined) return rejectBeforeRun({ status: 404, code: 'service_not_found', message: `no route for ${method} /services/${service}${servicePath} in the sheet` })
  if (!exchange.caller.account.targets.includes(service)) return rejectBeforeRun({ status: 403, code: 'target_not_allowed', message: `the client account may not use service ${JSON.stringify(service)}` })
  if (!route.idempotent && exchange.idempotencyKey === undefined) {
    return rejectBeforeRun({ status: 400, code: 'idempotency_key_required', message: `${method} /services/${service}${servicePath} must run at most once; send an Idempotency-Key header and repeat its value on retries`, param: 'Idempotency-Key' })
  }
  const received = await receiveBody(services, exchange)
  if (received.kind !== 'whole') return received
  const fullPath = query === '' ? servicePath : `${servicePath}?${query}`
  const identity = computeRequestIdentity({
    clientAccount: exchange.caller.account.id,
    idempotencyKey: exchange.idempotencyKey,
    idempotent: route.idempotent,
    target: `${service} ${method} ${fullPath}`,
    body: received.body,
    randomId: exchange.requestId
  })
  return { kind: 'checked', call: { service, route, path: fullPath, body: received.body, identity } }
}

/** Serves a non-idempotent call; acquires a durable claim before sending anything to the service. */
async function serveAtMostOnce (services: RouterServices, exchange: CallerExchange, call: ServiceCall): Promise<void> {
  const { requestId, bodyHash } = call.identity
  const outcome = await services.claims.claim({ clientAccount: exchange.caller.account.id, idempotencyKey: exchange.idempotencyKey!, bodyHash, requestId, deadline: exchange.deadline })
  switch (outcome.kind) {
    case 'claimed': return await runClaimedCall(services, exchange, call, outcome.handle)
    case 'answered': return replayResponse(services, exchange, call, outcome.answer)
    case 'unknown': return rejectCall(services, exchange, call, { status: 409, code: 'outcome_unknown', message: outcome.message, run: 'unknown' })
    case 'keyReused': return rejectCall(services, exchange, call, { status: 422, code: 'idempotency_key_reused', message: 'this Idempotency-Key was used with another request; use a new key', param: 'Idempotency-Key', run: 'no' })
    case 'refused': return rejectCall(services, exchange, call, { status: outcome.code === 'store_unavailable' ? 503 : 409, code: outcome.code, message: outcome.message, run: outcome.run, retryAt: outcome.retryAt })
  }
}

async function runClaimedCall (services: RouterServices, exchange: CallerExchange, call: ServiceCall, handle: ClaimHandle): Promise<void> {
  // Not aborted if the caller disconnects, so that the response is recorded for the caller's retry.
  const result = await runCall(services, exchange, call, new AbortController().signal)
  switch (result.kind) {
    case 'answered': {
      const deadline = services.clock.now() + (services.settings.budget?.billWaitMilliseconds ?? 0)
      await services.claims.complete(handle, result.answer, deadline)
      break
    }
    case 'failed':
      finalizeFailedClaim(services, handle, result.error.run)
      break
    case 'callerGone':
      finalizeFailedClaim(services, handle, result.run)
  }
  sendCallResult(services, exchange, call, result)
}

function finalizeFailedClaim (services: RouterServices, handle: ClaimHandle, run: 'no' | 'yes' | 'unknown'): void {
  if (run === 'no') services.claims.withdraw(handle)
  else services.claims.markUnknown(handle)
}

function runCall (services: RouterServices, exchange: CallerExchange, call: ServiceCall, signal: AbortSignal): Promise<RequestResult<ServiceResponse>> {
  const { identity, route } = call
  const priceTokens = Number(route.priceTokens)
  const request = {
    services,
    exchange,
    requestId: identity.requestId,
    fingerprint: identity.fingerprint,
    idempotent: route.idempotent,
    priceTokens,
    method: exchange.request.method ?? 'GET',
    path: call.path,
    body: call.body,
    signal
  }
  return runRequest<ServiceResponse>(services, exchange, {
    requestId: identity.requestId,
    fingerprint: identity.fingerprint,
    sharedParts: [],
    target: call.service,
    idempotent: route.idempotent,
    ceilingTokens: priceTokens,
    priority: 'interactive',
    prefixHashes: [],
    promptBytes: 0,
    attempt: (command, attemptNumber) => attemptServiceRequest(request, command, attemptNumber)
  })
}

function sendCallResult (services: RouterServices, exchange: CallerExchange, call: ServiceCall, result: RequestResult<ServiceResponse>): void {
  services.metrics.count('requests_total', { kind: 'service', result: result.kind })
  services.logger.info({ requestId: call.identity.requestId, clientAccount: exchange.caller.account.id, step: 'service call', result: result.kind, milliseconds: services.clock.now() - exchange.receivedAt }, 'request ended')
  switch (result.kind) {
    case 'answered': return sendServiceResponse(exchange, call, result.answer.status, result.answer.contentType, result.answer.body)
    case 'failed': return rejectCall(services, exchange, call, result.error)
    case 'callerGone': return sendCallerError(exchange.response, { status: 499, code: 'caller_gone', message: 'the caller closed the connection', run: result.run }, call.identity.requestId)
  }
}

function replayResponse (services: RouterServices, exchange: CallerExchange, call: ServiceCall, answer: RecordedAnswer & { readonly body: Uint8Array }): void {
  services.metrics.count('requests_total', { kind: 'service', result: 'recorded' })
  exchange.response.setHeader('idempotency-replayed', 'true')
  sendServiceResponse(exchange, call, answer.status, answer.contentType, answer.body)
}

function sendServiceResponse (exchange: CallerExchange, call: ServiceCall, status: number, contentType: string, body: Uint8Array): void {
  if (exchange.response.destroyed) return
  exchange.response.statusCode = status
  exchange.response.setHeader('content-type', contentType)
  exchange.response.setHeader('content-length', body.length)
  exchange.response.setHeader('x-request-id', call.identity.requestId)
  exchange.response.end(body)
}

function rejectCall (services: RouterServices, exchange: CallerExchange, call: ServiceCall, error: CallerError): void {
  rejectRequest(services, exchange.response, error, call.identity.requestId, exchange.span)
}
