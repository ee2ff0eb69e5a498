import { createParser } from 'eventsource-parser'
import type { Agent, IncomingMessage } from 'node:http'
import { openExchange, readText } from './openExchange.js'

/** Message of a prompt. */
export interface PromptMessage {
  readonly role: string
  readonly content: string
}

/** A chat call. */
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

/** Error in OpenAI's format with this project's fields. */
export interface CallerErrorBody {
  readonly message: string
  readonly type: string
  readonly code: string
  readonly run: 'no' | 'yes' | 'unknown'
  readonly request_id: string
}

/** Usage in OpenAI's format. */
export interface ChatUsage {
  readonly prompt_tokens: number
  readonly completion_tokens: number
  readonly total_tokens: number
}

/** What a caller got. */
export interface ChatAnswer {
  /** 0 when the connection broke before an answer began. */
  readonly status: number
  readonly text: string
  readonly finishReason: string | undefined
  readonly usage: ChatUsage | undefined
  /** True when the answer ended as the protocol demands: `data: [DONE]`, or a whole JSON body. */
  readonly ended: boolean
  /** `X-Request-Id` of the answer, or of its error. */
  readonly requestId: string
  /** `id` of the completion. */
  readonly completionId: string
  readonly error: CallerErrorBody | undefined
  /** Unix milliseconds (with fractions) at which each piece of content arrived; empty when not streamed. */
  readonly tokenTimes: readonly number[]
  readonly finishedAt: number
}

interface Chunk {
  readonly id?: string
  readonly choices?: readonly { readonly delta?: { readonly content?: string }, readonly message?: { readonly content?: string }, readonly finish_reason?: string | null }[]
  readonly usage?: ChatUsage | null
  readonly error?: CallerErrorBody
}

type Draft = { -readonly [Field in keyof ChatAnswer]: ChatAnswer[Field] } & { tokenTimes: number[] }

/** Sends a chat call and reads the whole answer; never rejects. */
export async function sendChat (call: ChatCall): Promise<ChatAnswer> {
  const draft: Draft = { status: 0, text: '', finishReason: undefined, usage: undefined, ended: false, requestId: '', completionId: '', error: undefined, tokenTimes: [], finishedAt: 0 }
  try {
    const exchange = await openExchange({
      address: call.address,
      method: 'POST',
      path: '/v1/chat/completions',
      headers: chatHeaders(call),
      body: chatBody(call),
      signal: call.signal,
      agent: call.agent
    })
    draft.status = exchange.status
    draft.requestId = String(exchange.headers['x-request-id'] ?? '')
    const streamed = String(exchange.headers['content-type'] ?? '').startsWith('text/event-stream')
    if (streamed) await readStream(exchange.message, draft)
    else await readWhole(exchange.message, draft)
  } catch {
    draft.ended = false
  }
  draft.finishedAt = preciseNow()
  if (draft.error !== undefined && draft.requestId === '') draft.requestId = draft.error.request_id
  return draft
}

/** Unix milliseconds with fractions: tokens are a few milliseconds apart. */
export function preciseNow (): number {
  return performance.timeOrigin + performance.now()
}

function chatHeaders (call: ChatCall): Record<string, string> {
  return {
    authorization: `Bearer ${call.key}`,
    'content-type': 'application/json',
    ...(call.idempotencyKey === undefined ? {} : { 'idempotency-key': call.idempotencyKey }),
    ...call.headers
  }
}

/** Body of a chat call. */
export function chatBody (call: Pick<ChatCall, 'model' | 'messages' | 'stream' | 'maxTokens'>): string {
  return JSON.stringify({
    model: call.model,
    messages: call.messages,
    ...(call.stream === true ? { stream: true, stream_options: { include_usage: true } } : {}),
    ...(call.maxTokens === undefined ? {} : { max_tokens: call.maxTokens })
  })
}

async function readStream (message: IncomingMessage, draft: Draft): Promise<void> {
  const parser = createParser({
    onEvent: (event) => {
      if (event.data === '[DONE]') draft.ended = true
      else takeChunk(JSON.parse(event.data) as Chunk, draft)
    }
  })
  message.setEncoding('utf8')
  for await (const part of message) parser.feed(part as string)
}

function takeChunk (chunk: Chunk, draft: Draft): void {
  draft.completionId ||= chunk.id ?? ''
  if (chunk.usage !== undefined && chunk.usage !== null) draft.usage = chunk.usage
  if (chunk.error !== undefined) draft.error = chunk.error
  const choice = chunk.choices?.[0]
  const content = choice?.delta?.content ?? choice?.message?.content ?? ''
  if (content !== '') {
    draft.text += content
    draft.tokenTimes.push(preciseNow())
  }
  draft.finishReason = choice?.finish_reason ?? draft.finishReason
}

async function readWhole (message: IncomingMessage, draft: Draft): Promise<void> {
  const { text, whole } = await readText(message)
  if (!whole) return
  takeChunk(JSON.parse(text) as Chunk, draft)
  draft.tokenTimes.length = 0
  draft.ended = draft.error === undefined
}
