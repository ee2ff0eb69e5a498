import { SpanKind, failSpan, startSpan, traceHeaders } from '@quinceshunt/telemetry'
import type { AttemptOutcome } from '@quinceshunt/requests'
import { z } from 'zod'
import { readBody, sendBackendRequest, type BackendResponse } from './backendClient.js'
import type { CallerExchange } from './callersListener.js'
import { relayChatStream, usageSchema, type StreamOutcome, type StreamProgress, type Usage } from './chatStream.js'
import { newAttemptId } from './requestIds.js'
import type { AttemptCommand, AttemptResult, Charge } from './requestPath.js'
import type { RouterServices } from './routerServices.js'
import type { Priority, Slot } from './services.js'

const ANSWER_LIMIT_BYTES = 16_777_216
/** A cancellation is answered from memory by a live engine. */
const CANCEL_MILLISECONDS = 1000

const completionSchema = z.looseObject({ id: z.string(), usage: usageSchema.optional() })
const cancellationSchema = z.looseObject({ usage: usageSchema })
const engineErrorSchema = z.looseObject({ error: z.looseObject({ message: z.string() }) })

/** Answer of an engine: the stream's usage event is held back in `progress`; a whole answer is its JSON text. */
export type EngineAnswer =
  | { readonly kind: 'streamed' }
  | { readonly kind: 'whole', readonly json: string }

/** What all attempts of one chat request share. */
export interface EngineExchange {
  readonly services: RouterServices
  readonly exchange: CallerExchange
  readonly requestId: string
  readonly fingerprint: string
  readonly ceilingTokens: number
  readonly priority: Priority
  readonly streamed: boolean
  readonly includeUsage: boolean
  readonly body: Buffer
  readonly progress: StreamProgress
  readonly onToken: () => void
}

interface EngineAttempt extends EngineExchange {
  /** Unix milliseconds. */
  readonly attemptStartedAt: number
}

/** Makes attempts of one chat request; a resumed attempt keeps the ID of the one that broke off. */
export function createEngineAttempts (chat: EngineExchange): (command: AttemptCommand<EngineAnswer>, attemptNumber: number) => Promise<AttemptResult<EngineAnswer>> {
  let attemptId = ''
  return async (command, attemptNumber) => {
    if (command.resumeOffset === undefined) attemptId = newAttemptId(chat.requestId, attemptNumber)
    return await runAttempt({ ...chat, attemptStartedAt: chat.services.clock.now() }, command, attemptId)
  }
}

async function runAttempt (chat: EngineAttempt, command: AttemptCommand<EngineAnswer>, attemptId: string): Promise<AttemptResult<EngineAnswer>> {
  const { services, exchange } = chat
  const server = command.slot.backendServer
  const span = startSpan('engine request', SpanKind.CLIENT, exchange.traceContext, { 'peer.id': server.id, 'request.id': chat.requestId })
  const removeInFlight = services.inFlight.add(server.id, chat.fingerprint)
  try {
    const headers = { 'x-request-id': attemptId, 'x-priority': chat.priority, ...traceHeaders(span, exchange.traceContext) }
    const resumed = command.resumeOffset !== undefined
    const response = await sendBackendRequest({
      address: server.address,
      method: resumed ? 'GET' : 'POST',
      path: resumed ? `/v1/streams/${attemptId}?offset=${command.resumeOffset}` : '/v1/chat/completions',
      headers: resumed ? headers : { ...headers, 'content-type': 'application/json' },
      body: resumed ? Buffer.alloc(0) : chat.body,
      deadline: exchange.deadline,
      signal: exchange.signal,
      freshConnection: false
    })
    const result = response.kind === 'answering'
      ? await readAnswer(chat, command, attemptId, response)
      : await endWithoutAnswer(chat, command.slot, attemptId, response)
    if (result.kind === 'failed') {
      failSpan(span, result.outcome.kind)
      services.logger.warn({ requestId: chat.requestId, step: 'engine request', peer: server.id, outcome: result.outcome.kind }, 'attempt failed')
    }
    return result
  } finally {
    removeInFlight()
    span.end()
  }
}

async function endWithoutAnswer (chat: EngineAttempt, slot: Slot, attemptId: string, response: Exclude<BackendResponse, { readonly kind: 'answering' }>): Promise<AttemptResult<EngineAnswer>> {
  switch (response.kind) {
    case 'notSent':
      // Only its health is of interest: a request that was not sent cannot have caused a crash.
      chat.services.backends.confirmCrash(slot.backendServer.id)
      return failure(chat, { kind: 'neverSent' }, undefined)
    case 'broken': return await examineBreak(chat, slot, attemptId, { kind: 'resetBeforeFirstByte' })
    case 'deadline': return failure(chat, { kind: 'timeout', bytesReceived: 0 }, await cancel(chat, slot, attemptId))
    case 'aborted': return { kind: 'callerGone', charge: response.sent ? await cancel(chat, slot, attemptId) : undefined }
  }
}

type Answering = Extract<BackendResponse, { readonly kind: 'answering' }>

async function readAnswer (chat: EngineAttempt, command: AttemptCommand<EngineAnswer>, attemptId: string, response: Answering): Promise<AttemptResult<EngineAnswer>> {
  if (response.status !== 200) return await readRefusal(chat, command, attemptId, response)
  const answered = response.headers['x-request-id']
  if (answered !== undefined && answered !== attemptId) {
    response.message.destroy()
    return await dropMismatch(chat, command.slot, attemptId, String(answered))
  }
  return chat.streamed ? await readStream(chat, command.slot, attemptId, response) : await readWhole(chat, command.slot, attemptId, response)
}

async function readRefusal (chat: EngineAttempt, command: AttemptCommand<EngineAnswer>, attemptId: string, response: Answering): Promise<AttemptResult<EngineAnswer>> {
  const { status } = response
  const body = await readBody(response.message, ANSWER_LIMIT_BYTES, chat.exchange.deadline)
  // The engine no longer holds the stream, so the rest of it can't be had.
  if (command.resumeOffset !== undefined) return failure(chat, { kind: 'brokenAfterBytes', bytesReceived: chat.progress.contentTokens, resumable: false }, await cancel(chat, command.slot, attemptId))
  if (status === 429 || status === 503) return failure(chat, { kind: 'refusedBeforeRunning' }, undefined)
  if (status >= 500) return failure(chat, { kind: 'resetBeforeFirstByte' }, await cancel(chat, command.slot, attemptId))
  const text = body.kind === 'whole' ? body.body.toString('utf8') : ''
  const message = parseJson(engineErrorSchema, text)?.error.message ?? `the engine refused the request with status ${status}`
  return { kind: 'rejected', error: { status: status === 401 || status === 403 ? 502 : status, code: 'backend_rejected', message, run: 'no' }, charge: undefined }
}

async function readStream (chat: EngineAttempt, slot: Slot, attemptId: string, response: Answering): Promise<AttemptResult<EngineAnswer>> {
  const { services, exchange } = chat
  if (!exchange.response.headersSent) {
    exchange.response.statusCode = 200
    exchange.response.setHeader('content-type', 'text/event-stream; charset=utf-8')
    exchange.response.setHeader('cache-control', 'no-cache')
    exchange.response.setHeader('x-request-id', chat.requestId)
  }
  const outcome = await relayChatStream({
    message: response.message,
    response: exchange.response,
    progress: chat.progress,
    attemptId,
    requestId: chat.requestId,
    includeUsage: chat.includeUsage,
    deadline: exchange.deadline,
    signal: exchange.signal,
    isBackendServerDown: () => services.backends.confirmCrash(slot.backendServer.id),
    onToken: chat.onToken
  })
  return await endStream(chat, slot, attemptId, outcome)
}

async function endStream (chat: EngineAttempt, slot: Slot, attemptId: string, outcome: StreamOutcome): Promise<AttemptResult<EngineAnswer>> {
  const bytesReceived = chat.progress.contentTokens
  switch (outcome.kind) {
    case 'complete': return { kind: 'answered', answer: { kind: 'streamed' }, charge: chargeOf(chat, outcome.usage) }
    case 'broken': return await examineBreak(chat, slot, attemptId, { kind: 'brokenAfterBytes', bytesReceived, resumable: true })
    case 'engineError': return failure(chat, { kind: 'brokenAfterBytes', bytesReceived, resumable: false }, await cancel(chat, slot, attemptId))
    case 'wrongRequest': return await dropMismatch(chat, slot, attemptId, outcome.received)
    case 'callerGone': return { kind: 'callerGone', charge: await cancel(chat, slot, attemptId) }
    case 'deadline': return failure(chat, { kind: 'timeout', bytesReceived }, await cancel(chat, slot, attemptId))
  }
}

async function readWhole (chat: EngineAttempt, slot: Slot, attemptId: string, response: Answering): Promise<AttemptResult<EngineAnswer>> {
  const body = await readBody(response.message, ANSWER_LIMIT_BYTES, chat.exchange.deadline, chat.exchange.signal)
  if (chat.exchange.signal.aborted) return { kind: 'callerGone', charge: await cancel(chat, slot, attemptId) }
  switch (body.kind) {
    case 'broken': return await examineBreak(chat, slot, attemptId, { kind: 'brokenAfterBytes', bytesReceived: 0, resumable: false })
    case 'deadline': return failure(chat, { kind: 'timeout', bytesReceived: 0 }, await cancel(chat, slot, attemptId))
    case 'tooLarge': return { kind: 'rejected', error: { status: 502, code: 'answer_too_large', message: `the answer is larger than ${ANSWER_LIMIT_BYTES} bytes`, run: 'yes' }, charge: estimated(chat) }
    case 'whole': break
  }
  const text = body.body.toString('utf8')
  const completion = parseJson(completionSchema, text)
  if (completion === undefined) return failure(chat, { kind: 'brokenAfterBytes', bytesReceived: 0, resumable: false }, estimated(chat))
  if (completion.id !== `chatcmpl-${attemptId}`) return await dropMismatch(chat, slot, attemptId, completion.id)
  return { kind: 'answered', answer: { kind: 'whole', json: text.replace(attemptId, chat.requestId) }, charge: chargeOf(chat, completion.usage) }
}

async function dropMismatch (chat: EngineAttempt, slot: Slot, attemptId: string, received: string): Promise<AttemptResult<EngineAnswer>> {
  chat.services.metrics.count('answers_dropped_total', { reason: 'wrong_request_id' })
  chat.services.logger.error({ requestId: chat.requestId, step: 'read answer', peer: slot.backendServer.id, received }, 'dropped an answer that carries the ID of another request')
  return failure(chat, { kind: 'wrongRequestId' }, await cancel(chat, slot, attemptId))
}

/** Tells a crash of the backend server from a broken connection; a live engine is asked what was used. */
async function examineBreak (chat: EngineAttempt, slot: Slot, attemptId: string, outcome: AttemptOutcome): Promise<AttemptResult<EngineAnswer>> {
  if (await chat.services.crashes.checkForCrash(slot.backendServer.id, chat.attemptStartedAt)) {
    return failure(chat, { kind: 'crashed', bytesReceived: chat.progress.contentTokens }, estimated(chat))
  }
  // A stream that may be resumed must not be cancelled; if it is given up, the ceiling is charged.
  const resumable = outcome.kind === 'brokenAfterBytes' && outcome.resumable
  return failure(chat, outcome, resumable ? estimated(chat) : await cancel(chat, slot, attemptId))
}

/** Cancels an attempt; the engine answers with what was used. Without an answer the ceiling is charged. */
async function cancel (chat: EngineAttempt, slot: Slot, attemptId: string): Promise<Charge> {
  const deadline = chat.services.clock.now() + CANCEL_MILLISECONDS
  const response = await sendBackendRequest({
    address: slot.backendServer.address,
    method: 'DELETE',
    path: `/v1/streams/${attemptId}`,
    headers: { 'x-request-id': attemptId },
    body: Buffer.alloc(0),
    deadline,
    signal: new AbortController().signal,
    freshConnection: false
  })
  if (response.kind !== 'answering') return estimated(chat)
  const body = await readBody(response.message, ANSWER_LIMIT_BYTES, deadline)
  const cancelled = body.kind === 'whole' && response.status === 200 ? parseJson(cancellationSchema, body.body.toString('utf8')) : undefined
  return chargeOf(chat, cancelled?.usage)
}

function failure (chat: EngineAttempt, outcome: AttemptOutcome, charge: Charge | undefined): AttemptResult<EngineAnswer> {
  const unitsSentToCaller = chat.progress.begun ? Math.max(1, chat.progress.contentTokens) : 0
  return { kind: 'failed', outcome, unitsSentToCaller, charge }
}

function chargeOf (chat: EngineAttempt, usage: Usage | undefined): Charge {
  if (usage === undefined) return estimated(chat)
  return { promptTokens: usage.prompt_tokens, completionTokens: usage.completion_tokens, estimated: false }
}

function estimated (chat: EngineAttempt): Charge {
  return { promptTokens: 0, completionTokens: chat.ceilingTokens, estimated: true }
}

function parseJson<Schema extends z.ZodType> (schema: Schema, text: string): z.infer<Schema> | undefined {
  try {
    const result = schema.safeParse(JSON.parse(text))
    return result.success ? result.data : undefined
  } catch {
    return undefined
  }
}
