import { createParser } from 'eventsource-parser'
import type { Agent, IncomingMessage } from 'node:http'
import { sendHttpCall, readBody } from './sendHttpCall.js'

export interface PromptMessage {
  readonly role: string
  readonly content: string
}

/** Chat completion request through a router. */
export interface ChatCall {
  readonly address: string
  readonly key: string
  readonly model: string
  readonly messages: readonly PromptMessage[]
  readonly stream?: boolean
  readonly maxTokens?: number
  readonly idempotencyKey?: string
  readonly headers?: Readonly<Record<string, string>>
  readonly signal?: AbortSignal
  readonly agent?: Agent
}

/** Error in OpenAI's format, extended by `run` and `request_id`. */
export interface ErrorBody {
  readonly message: string
  readonly type: string
  readonly code: string
  readonly run: 'no' | 'yes' | 'unknown'
  readonly request_id: string
}

/** Token usage in OpenAI's format. */
export interface ChatUsage {
  readonly prompt_tokens: number
  readonly completion_tokens: number
  readonly total_tokens: number
}

/** Response to a chat call. */
export interface ChatResponse {
  /** 0 if the connection broke before the response headers arrived. */
  readonly status: number
  readonly text: string
  readonly finishReason: string | undefined
  readonly usage: ChatUsage | undefined
  /** True if the response ended as the protocol requires: with `data: [DONE]`, or with a complete JSON body. */
  readonly complete: boolean
  /** `X-Request-Id` header, or `request_id` of the error. */
  readonly requestId: string
  /** `id` of the completion. */
  readonly completionId: string
  readonly error: ErrorBody | undefined
  /** Fractional Unix milliseconds at which each piece of content arrived; empty if not streamed. */
  readonly tokenArrivalTimes: readonly number[]
  readonly finishedAt: number
}

interface Chunk {
  readonly id?: string
  readonly choices?: readonly { readonly delta?: { readonly content?: string }, readonly message?: { readonly content?: string }, readonly finish_reason?: string | null }[]
  readonly usage?: ChatUsage | null
  readonly error?: ErrorBody
}

type MutableChatResponse = { -readonly [Field in keyof ChatResponse]: ChatResponse[Field] } & { tokenArrivalTimes: number[] }

/** Sends a chat call and reads the complete response; never rejects. */
export async function sendChat (call: ChatCall): Promise<ChatResponse> {
  const response: MutableChatResponse = { status: 0, text: '', finishReason: undefined, usage: undefined, complete: false, requestId: '', completionId: '', error: undefined, tokenArrivalTimes: [], finishedAt: 0 }
  try {
    const exchange = await sendHttpCall({
      address: call.address,
      method: 'POST',
      path: '/v1/chat/completions',
      headers: buildChatHeaders(call),
      body: serializeChatBody(call),
      signal: call.signal,
      agent: call.agent
    })
    response.status = exchange.status
    response.requestId = String(exchange.headers['x-request-id'] ?? '')
    const isStreamed = String(exchange.headers['content-type'] ?? '').startsWith('text/event-stream')
    if (isStreamed) await readEventStream(exchange.message, response)
    else await readJsonResponse(exchange.message, response)
  } catch {
    response.complete = false
  }
  response.finishedAt = unixMillisecondsNow()
  if (response.error !== undefined && response.requestId === '') response.requestId = response.error.request_id
  return response
}

/** Current time in fractional Unix milliseconds, since tokens arrive only a few milliseconds apart. */
export function unixMillisecondsNow (): number {
  return performance.timeOrigin + performance.now()
}

function buildChatHeaders (call: ChatCall): Record<string, string> {
  return {
    authorization: `Bearer ${call.key}`,
    'content-type': 'application/json',
    ...(call.idempotencyKey === undefined ? {} : { 'idempotency-key': call.idempotencyKey }),
    ...call.headers
  }
}

/** Serializes the body of a chat call. */
export function serializeChatBody (call: Pick<ChatCall, 'model' | 'messages' | 'stream' | 'maxTokens'>): string {
  return JSON.stringify({
    model: call.model,
    messages: call.messages,
    ...(call.stream === true ? { stream: true, stream_options: { include_usage: true } } : {}),
    ...(call.maxTokens === undefined ? {} : { max_tokens: call.maxTokens })
  })
}

async function readEventStream (message: IncomingMessage, response: MutableChatResponse): Promise<void> {
  const parser = createParser({
    onEvent: (event) => {
      if (event.data === '[DONE]') response.complete = true
      else applyChunk(JSON.parse(event.data) as Chunk, response)
    }
  })
  message.setEncoding('utf8')
  for await (const text of message) parser.feed(text as string)
}

function applyChunk (chunk: Chunk, response: MutableChatResponse): void {
  response.completionId ||= chunk.id ?? ''
  if (chunk.usage !== undefined && chunk.usage !== null) response.usage = chunk.usage
  if (chunk.error !== undefined) response.error = chunk.error
  const choice = chunk.choices?.[0]
  const content = choice?.delta?.content ?? choice?.message?.content ?? ''
  if (content !== '') {
    response.text += content
    response.tokenArrivalTimes.push(unixMillisecondsNow())
  }
  response.finishReason = choice?.finish_reason ?? response.finishReason
}

async function readJsonResponse (message: IncomingMessage, response: MutableChatResponse): Promise<void> {
  const { text, complete } = await readBody(message)
  if (!complete) return
  applyChunk(JSON.parse(text) as Chunk, response)
  response.tokenArrivalTimes.length = 0
  response.complete = response.error === undefined
}
