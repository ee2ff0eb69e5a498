import { reservationCeiling } from '@quinceshunt/budget'
import { computeRequestIdentity } from '@quinceshunt/requests'
import { canonicalPrompt, classifyPriority, prefixHashes } from '@quinceshunt/routing'
import type { SheetModel } from '@quinceshunt/schemas'
import { sendCallerError, sendStreamError } from './callerError.js'
import { refuse, type CallerExchange } from './callersListener.js'
import { engineBody, extraPromptBytes, parseChatBody, requestedCompletionTokens, type ChatBody } from './chatBody.js'
import type { StreamProgress } from './chatStream.js'
import { createEngineAttempts, type EngineAnswer } from './engineAttempt.js'
import { receiveBody, refused, type Unrunnable } from './receiveBody.js'
import type { RequestResult } from './requestPath.js'
import { runRequest } from './requestRunner.js'
import type { RouterServices } from './routerServices.js'

const END_EVENT = 'data: [DONE]\n\n'

/** A chat request that may be run. */
interface CheckedChat {
  readonly body: ChatBody
  readonly bytes: Buffer
  readonly model: SheetModel
  readonly completionTokens: number
}

type CheckOutcome = { readonly kind: 'checked', readonly chat: CheckedChat } | Unrunnable

/** Serves `POST /v1/chat/completions`. */
export async function serveChat (services: RouterServices, exchange: CallerExchange): Promise<void> {
  const checked = await checkChat(services, exchange)
  if (checked.kind === 'callerGone') return
  if (checked.kind === 'refused') return refuse(services, exchange.response, checked.error, exchange.requestId, exchange.span)
  await runChat(services, exchange, checked.chat)
}

async function checkChat (services: RouterServices, exchange: CallerExchange): Promise<CheckOutcome> {
  const received = await receiveBody(services, exchange)
  if (received.kind !== 'whole') return received
  const parsed = parseChatBody(received.body)
  if (parsed.kind === 'invalidJson') return refused({ status: 400, code: 'invalid_json', message: parsed.message })
  if (parsed.kind === 'invalidRequest') return refused({ status: 400, code: 'invalid_request', message: parsed.message, param: parsed.param })
  return checkModel(exchange, parsed.body, received.body)
}

function checkModel (exchange: CallerExchange, body: ChatBody, bytes: Buffer): CheckOutcome {
  const model = exchange.view.models.get(body.model)
  if (model === undefined) return refused({ status: 404, code: 'model_not_found', message: `model ${JSON.stringify(body.model)} does not exist; GET /v1/models lists those that may be used`, param: 'model' })
  if (!exchange.caller.account.targets.includes(model.id)) return refused({ status: 403, code: 'target_not_allowed', message: `the client account may not use model ${JSON.stringify(model.id)}`, param: 'model' })
  const completionTokens = requestedCompletionTokens(body, model.completionTokens)
  if (completionTokens > model.completionTokens) {
    return refused({ status: 400, code: 'invalid_request', message: `max_tokens: ${completionTokens} is not allowed; ${model.id} completes at most ${model.completionTokens}`, param: 'max_tokens' })
  }
  return { kind: 'checked', chat: { body, bytes, model, completionTokens } }
}

async function runChat (services: RouterServices, exchange: CallerExchange, chat: CheckedChat): Promise<void> {
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
  const ceilingTokens = reservationCeiling(body.messages, chat.completionTokens) + extraPromptBytes(body)
  const priority = classifyPriority(promptBytes, services.settings.routing!.bulkPromptBytes)
  const progress: StreamProgress = { contentTokens: 0, begun: false, usageEvent: undefined }
  const attempt = createEngineAttempts({
    services,
    exchange,
    requestId: identity.requestId,
    fingerprint: identity.fingerprint,
    ceilingTokens,
    priority,
    streamed: body.stream === true,
    includeUsage: body.stream_options?.include_usage === true,
    body: engineBody(body, chat.completionTokens),
    progress,
    onToken: createTokenTimer(services, exchange.receivedAt, priority)
  })
  const result = await runRequest<EngineAnswer>(services, exchange, {
    requestId: identity.requestId,
    fingerprint: identity.fingerprint,
    target: model.id,
    idempotent: true,
    ceilingTokens,
    priority,
    prefixHashes: prefixHashes(prompt),
    promptBytes,
    attempt
  })
  finishChat(services, exchange, identity.requestId, progress, result)
}

function finishChat (services: RouterServices, exchange: CallerExchange, requestId: string, progress: StreamProgress, result: RequestResult<EngineAnswer>): void {
  const { response, span } = exchange
  services.metrics.count('requests_total', { kind: 'chat', result: result.kind })
  services.logger.info({ requestId, clientAccount: exchange.caller.account.id, step: 'chat', result: result.kind, milliseconds: services.clock.now() - exchange.receivedAt }, 'request ended')
  switch (result.kind) {
    case 'answered':
      if (result.answer.kind === 'streamed') {
        if (progress.usageEvent !== undefined) response.write(progress.usageEvent)
        response.end(END_EVENT)
        return
      }
      response.setHeader('content-type', 'application/json')
      response.setHeader('x-request-id', requestId)
      response.end(result.answer.json)
      return
    case 'failed':
      if (!response.headersSent) return refuse(services, response, result.error, requestId, span)
      services.metrics.count('refusals_total', { code: result.error.code })
      return sendStreamError(response, result.error, requestId)
    case 'callerGone':
      sendCallerError(response, { status: 499, code: 'caller_gone', message: 'the caller closed the connection', run: result.run }, requestId)
  }
}

/** Records the time to the first token and between tokens. */
function createTokenTimer (services: RouterServices, receivedAt: number, priority: string): () => void {
  let previousAt: number | undefined
  return () => {
    const now = services.clock.now()
    if (previousAt === undefined) services.metrics.record(`time_to_first_token_${priority}`, now - receivedAt)
    else services.metrics.record('time_between_tokens', now - previousAt)
    previousAt = now
  }
}
