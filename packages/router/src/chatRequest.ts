import { reservationCeiling } from '@quinceshunt/budget'
import { computeRequestIdentity } from '@quinceshunt/requests'
import { canonicalPrompt, classifyPriority, prefixHashes } from '@quinceshunt/routing'
import type { SheetModel } from '@quinceshunt/schemas'
import { sendCallerError, sendStreamError } from './callerError.js'
import { rejectRequest, type CallerExchange } from './callersListener.js'
import { createEngineBody, additionalPromptBytes, parseChatBody, completionTokenLimit, type ChatBody } from './chatBody.js'
import type { StreamProgress } from './chatStream.js'
import { createEngineAttemptRunner, type EngineResponse } from './engineAttempt.js'
import { receiveBody, rejectBeforeRun, type EarlyTermination } from './receiveBody.js'
import { hashSharedParts } from './promptParts.js'
import type { RequestResult } from './requestPath.js'
import { runRequest } from './requestRunner.js'
import type { RouterServices } from './routerServices.js'

const DONE_EVENT = 'data: [DONE]\n\n'

/** A validated chat request for a model that the client account may use. */
interface ValidatedChat {
  readonly body: ChatBody
  readonly bytes: Buffer
  readonly model: SheetModel
  readonly completionTokens: number
}

type ValidationOutcome = { readonly kind: 'checked', readonly chat: ValidatedChat } | EarlyTermination

/** Serves `POST /v1/chat/completions`. */
export async function serveChat (services: RouterServices, exchange: CallerExchange): Promise<void> {
  const checked = await validateChat(services, exchange)
  if (checked.kind === 'callerGone') return
  if (checked.kind === 'refused') return rejectRequest(services, exchange.response, checked.error, exchange.requestId, exchange.span)
  await runChat(services, exchange, checked.chat)
}

async function validateChat (services: RouterServices, exchange: CallerExchange): Promise<ValidationOutcome> {
  const received = await receiveBody(services, exchange)
  if (received.kind !== 'whole') return received
  const parsed = parseChatBody(received.body)
  if (parsed.kind === 'invalidJson') return rejectBeforeRun({ status: 400, code: 'invalid_json', message: parsed.message })
  if (parsed.kind === 'invalidRequest') return rejectBeforeRun({ status: 400, code: 'invalid_request', message: parsed.message, param: parsed.param })
  return validateModel(exchange, parsed.body, received.body)
}

function validateModel (exchange: CallerExchange, body: ChatBody, bytes: Buffer): ValidationOutcome {
  const model = exchange.view.models.get(body.model)
  if (model === undefined) return rejectBeforeRun({ status: 404, code: 'model_not_found', message: `model ${JSON.stringify(body.model)} does not exist; GET /v1/models lists those that may be used`, param: 'model' })
  if (!exchange.caller.account.targets.includes(model.id)) return rejectBeforeRun({ status: 403, code: 'target_not_allowed', message: `the client account may not use model ${JSON.stringify(model.id)}`, param: 'model' })
  const completionTokens = completionTokenLimit(body, model.completionTokens)
  if (completionTokens > model.completionTokens) {
    return rejectBeforeRun({ status: 400, code: 'invalid_request', message: `max_tokens: ${completionTokens} is not allowed; ${model.id} completes at most ${model.completionTokens}`, param: 'max_tokens' })
  }
  return { kind: 'checked', chat: { body, bytes, model, completionTokens } }
}

async function runChat (services: RouterServices, exchange: CallerExchange, chat: ValidatedChat): Promise<void> {
  const { body, model } = chat
  const identity = computeRequestIdentity({
    clientAccount: exchange.caller.account.id,
    idempotencyKey: exchange.idempotencyKey,
    idempotent: true,
    target: model.id,
    body: chat.bytes,
    randomId: exchange.requestId
  })
  const prompt = canonicalPrompt(body.messages)
  const promptBytes = Buffer.byteLength(prompt)
  const ceilingTokens = reservationCeiling(body.messages, chat.completionTokens) + additionalPromptBytes(body)
  const priority = classifyPriority(promptBytes, services.settings.routing!.bulkPromptBytes)
  const sharedParts = hashSharedParts(body)
  const progress: StreamProgress = { contentTokens: 0, started: false, usageEvent: undefined }
  const attempt = createEngineAttemptRunner({
    services,
    exchange,
    requestId: identity.requestId,
    fingerprint: identity.fingerprint,
    sharedParts,
    ceilingTokens,
    priority,
    streamed: body.stream === true,
    includeUsage: body.stream_options?.include_usage === true,
    body: createEngineBody(body, chat.completionTokens),
    progress,
    onToken: createTokenLatencyRecorder(services, exchange.receivedAt, priority)
  })
  const result = await runRequest<EngineResponse>(services, exchange, {
    requestId: identity.requestId,
    fingerprint: identity.fingerprint,
    sharedParts,
    target: model.id,
    idempotent: true,
    ceilingTokens,
    priority,
    prefixHashes: prefixHashes(prompt),
    promptBytes,
    attempt
  })
  sendChatResult(services, exchange, identity.requestId, progress, result)
}

function sendChatResult (services: RouterServices, exchange: CallerExchange, requestId: string, progress: StreamProgress, result: RequestResult<EngineResponse>): void {
  const { response, span } = exchange
  services.metrics.count('requests_total', { kind: 'chat', result: result.kind })
  services.logger.info({ requestId, clientAccount: exchange.caller.account.id, step: 'chat', result: result.kind, milliseconds: services.clock.now() - exchange.receivedAt }, 'request ended')
  switch (result.kind) {
    case 'answered':
      if (result.answer.kind === 'streamed') {
        if (progress.usageEvent !== undefined) response.write(progress.usageEvent)
        response.end(DONE_EVENT)
        return
      }
      response.setHeader('content-type', 'application/json')
      response.setHeader('x-request-id', requestId)
      response.end(result.answer.json)
      return
    case 'failed':
      if (!response.headersSent) return rejectRequest(services, response, result.error, requestId, span)
      services.metrics.count('refusals_total', { code: result.error.code })
      return sendStreamError(response, result.error, requestId)
    case 'callerGone':
      sendCallerError(response, { status: 499, code: 'caller_gone', message: 'the caller closed the connection', run: result.run }, requestId)
  }
}

/** Returns a callback that records the time to the first token and the time between tokens. */
function createTokenLatencyRecorder (services: RouterServices, receivedAt: number, priority: string): () => void {
  let lastTokenAt: number | undefined
  return () => {
    const now = services.clock.now()
    if (lastTokenAt === undefined) services.metrics.record(`time_to_first_token_${priority}`, now - receivedAt)
    else services.metrics.record('time_between_tokens', now - lastTokenAt)
    lastTokenAt = now
  }
}
