import type { BackendStandinSettings } from '@quinceshunt/schemas'
import { randomUUID } from 'node:crypto'
import type { IncomingMessage, ServerResponse } from 'node:http'
import { z } from 'zod'
import { createCacheEventLog } from './cacheEventLog.js'
import { sendWhenComplete, streamSequence, usageOf } from './chatStream.js'
import { startEngine, type Priority } from './engine.js'
import { headerValue, sendError, sendJson } from './http.js'
import { createOrderLog } from './orderLog.js'
import { createPrefixCache } from './prefixCache.js'
import { countPromptTokens, countAnswerTokens, prefixBlockHashes, promptDigest, readStreamFaults } from './prompt.js'
import type { Run, RunRecord } from './runRecord.js'

const chatRequestSchema = z.object({
  model: z.string(),
  messages: z.array(z.looseObject({ role: z.string(), content: z.unknown() })).min(1),
  max_tokens: z.int().positive().optional(),
  max_completion_tokens: z.int().positive().optional(),
  stream: z.boolean().optional()
})

const orderSchema = z.object({
  kind: z.enum(['load_model', 'load_adapter', 'change_role']),
  name: z.string().min(1),
  fencingNumber: z.int().nonnegative()
})

/** Endpoints specific to one kind of backend server. */
export interface BackendService {
  /** Handles a request; returns false when the method or path is unknown. */
  handle (request: IncomingMessage, url: URL, body: string, response: ServerResponse): boolean
  /** Additional fields of the `/record` response. */
  recordFields (): Record<string, unknown>
  stop (): void
}

/** Settings and dependencies of a service. */
export interface ServiceContext {
  readonly settings: BackendStandinSettings
  readonly runs: RunRecord
  readonly now: () => number
  readonly onLoad: (running: number, queued: number) => void
}

/** Creates a model engine: OpenAI's chat completions, resumable and cancellable streams, cache events and orders. */
export function createEngineService (context: ServiceContext): BackendService {
  const { settings, now } = context
  const cacheEvents = createCacheEventLog(settings.cacheEventLagMilliseconds, settings.cacheEventLoss, settings.seed)
  const cache = createPrefixCache(settings.cacheBlocks, (kind, hash) => cacheEvents.append(kind, hash, now()))
  const orderLog = createOrderLog(settings.checksFencing)
  const engine = startEngine({ ...settings, cache, now, onLoad: context.onLoad })

  function handleChatCompletion (request: IncomingMessage, body: string, response: ServerResponse): void {
    const parsed = parseJson(chatRequestSchema, body)
    if (parsed.kind === 'invalid') return sendError(response, 400, 'invalid_request', parsed.message)
    const chat = parsed.value
    if (chat.model !== settings.target) return sendError(response, 404, 'model_not_found', `model ${JSON.stringify(chat.model)} is not served here; use ${settings.target}`)
    const answerTokens = countAnswerTokens(chat.messages, settings.seed)
    const limit = chat.max_completion_tokens ?? chat.max_tokens ?? answerTokens
    const requestId = headerValue(request, 'x-request-id') || randomUUID()
    const priority = readPriority(request)
    const run = addRun(requestId, priority, countPromptTokens(chat.messages))
    const sequence = engine.submit({
      requestId,
      promptDigest: promptDigest(chat.messages),
      priority,
      blockHashes: prefixBlockHashes(chat.messages),
      promptBytes: Buffer.byteLength(JSON.stringify(chat.messages)),
      targetTokens: Math.min(limit, answerTokens),
      finishReason: limit < answerTokens ? 'length' : 'stop',
      run
    })
    if (chat.stream === true) streamSequence(engine, sequence, settings.target, 0, response, readStreamFaults(chat.messages))
    else sendWhenComplete(engine, sequence, settings.target, response)
  }

  function addRun (requestId: string, priority: Priority, promptTokens: number): Run {
    return context.runs.add(requestId, { requestId, priority, promptTokens }, now())
  }

  function handleResume (requestId: string, url: URL, response: ServerResponse): void {
    const offset = Number(url.searchParams.get('offset') ?? 0)
    const sequence = engine.find(requestId)
    if (sequence === undefined || sequence.state === 'cancelled') return sendError(response, 404, 'stream_not_held', `no stream of request ${requestId} is held here`)
    if (!Number.isInteger(offset) || offset < 0 || offset > sequence.generatedTokens) {
      return sendError(response, 416, 'offset_out_of_range', `offset ${url.searchParams.get('offset')} is not allowed; expected 0 to ${sequence.generatedTokens}`)
    }
    streamSequence(engine, sequence, settings.target, offset, response)
  }

  function handleCancel (requestId: string, response: ServerResponse): void {
    const sequence = engine.find(requestId)
    if (sequence === undefined) return sendError(response, 404, 'stream_not_held', `no stream of request ${requestId} is held here`)
    engine.cancel(sequence)
    sendJson(response, 200, { usage: usageOf(sequence) })
  }

  function handleOrder (body: string, response: ServerResponse): void {
    const parsed = parseJson(orderSchema, body)
    if (parsed.kind === 'invalid') return sendError(response, 400, 'invalid_order', parsed.message)
    const received = orderLog.receive(parsed.value, now())
    if (!received.executed) return sendError(response, 409, 'old_fencing_number', `fencing number ${received.fencingNumber} is older than one already seen`)
    sendJson(response, 200, { executed: true, fencingNumber: received.fencingNumber })
  }

  function handle (request: IncomingMessage, url: URL, body: string, response: ServerResponse): boolean {
    const streamId = /^\/v1\/streams\/([^/]+)$/.exec(url.pathname)?.[1]
    const route = `${request.method} ${streamId === undefined ? url.pathname : '/v1/streams/'}`
    switch (route) {
      case 'POST /v1/chat/completions': handleChatCompletion(request, body, response); return true
      case 'GET /v1/streams/': handleResume(decodeURIComponent(streamId!), url, response); return true
      case 'DELETE /v1/streams/': handleCancel(decodeURIComponent(streamId!), response); return true
      case 'POST /orders': handleOrder(body, response); return true
      case 'GET /orders': sendJson(response, 200, orderLog.currentState()); return true
      case 'GET /cache-events': sendJson(response, 200, cacheEvents.read(Number(url.searchParams.get('after') ?? 0), now())); return true
      default: return false
    }
  }

  return { handle, recordFields: () => ({ orders: orderLog.orders }), stop: engine.stop }
}

function readPriority (request: IncomingMessage): Priority {
  const value = headerValue(request, 'x-priority')
  return value === 'interactive' || value === 'bulk' ? value : 'standard'
}

type Parsed<Value> = { readonly kind: 'valid', readonly value: Value } | { readonly kind: 'invalid', readonly message: string }

function parseJson<Value> (schema: z.ZodType<Value>, body: string): Parsed<Value> {
  let json: unknown
  try {
    json = JSON.parse(body)
  } catch {
    return { kind: 'invalid', message: 'the body is not valid JSON' }
  }
  const result = schema.safeParse(json)
  return result.success ? { kind: 'valid', value: result.data } : { kind: 'invalid', message: z.prettifyError(result.error) }
}
