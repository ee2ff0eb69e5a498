import { createParser } from 'eventsource-parser'
import type { IncomingMessage, ServerResponse } from 'node:http'
import { z } from 'zod'

/** Without an event for this long, the backend server's health is checked. */
const STALL_CHECK_MILLISECONDS = 2000
const END_MARKER = '[DONE]'

export const usageSchema = z.looseObject({
  prompt_tokens: z.int().min(0),
  completion_tokens: z.int().min(0)
})

/** Tokens that an engine reports for a request. */
export type Usage = z.infer<typeof usageSchema>

const chunkSchema = z.looseObject({
  id: z.string().optional(),
  choices: z.array(z.looseObject({ delta: z.looseObject({ role: z.string().optional(), content: z.string().nullish() }).optional() })).optional(),
  usage: usageSchema.nullish(),
  error: z.looseObject({ message: z.string().optional() }).optional()
})

/** What the caller of a stream has received, over all attempts. */
export interface StreamProgress {
  /** Content chunks sent to the caller; the offset at which a resumed stream continues. */
  contentTokens: number
  /** True once any event has been sent to the caller. */
  begun: boolean
  /** Usage event, held back until the bill is written. */
  usageEvent: string | undefined
}

/** How the relay of one stream attempt ended. */
export type StreamOutcome =
  | { readonly kind: 'complete', readonly usage: Usage | undefined }
  | { readonly kind: 'broken', readonly reason: string }
  | { readonly kind: 'wrongRequest', readonly received: string }
  | { readonly kind: 'engineError', readonly message: string }
  | { readonly kind: 'callerGone' }
  | { readonly kind: 'deadline' }

/** What the relay of one stream attempt needs. */
export interface StreamRelay {
  readonly message: IncomingMessage
  readonly response: ServerResponse
  readonly progress: StreamProgress
  /** ID with which the engine must mark each chunk. */
  readonly attemptId: string
  /** ID that the caller sees. */
  readonly requestId: string
  readonly includeUsage: boolean
  /** Unix milliseconds. */
  readonly deadline: number
  readonly signal: AbortSignal
  /** Asked when no event has come for a while. */
  readonly isBackendServerDown: () => Promise<boolean>
  /** Told of each event with content, for latency metrics. */
  readonly onToken: () => void
}

/** Relays one stream from an engine to the caller, up to but without the end marker. */
export function relayChatStream (relay: StreamRelay): Promise<StreamOutcome> {
  return new Promise((resolve) => {
    const { message, progress } = relay
    let ended = false
    let sawEnd = false
    let usage: Usage | undefined
    let lastEventAt = Date.now()
    const deadlineTimer = setTimeout(() => finish({ kind: 'deadline' }), Math.max(0, relay.deadline - Date.now()))
    const stallTimer = setInterval(checkStall, STALL_CHECK_MILLISECONDS / 2)
    const abort = (): void => finish({ kind: 'callerGone' })
    const parser = createParser({ onEvent: (event) => { lastEventAt = Date.now(); handleEvent(event.data) } })

    function finish (outcome: StreamOutcome): void {
      if (ended) return
      ended = true
      clearTimeout(deadlineTimer)
      clearInterval(stallTimer)
      relay.signal.removeEventListener('abort', abort)
      if (outcome.kind !== 'complete') message.destroy()
      resolve(outcome)
    }

    function checkStall (): void {
      if (Date.now() - lastEventAt < STALL_CHECK_MILLISECONDS) return
      relay.isBackendServerDown().then((down) => {
        if (down) finish({ kind: 'broken', reason: 'the stream stalled and the health check failed' })
      })
    }

    function handleEvent (data: string): void {
      if (ended || sawEnd) return
      if (data === END_MARKER) {
        sawEnd = true
        return finish({ kind: 'complete', usage })
      }
      const chunk = parseChunk(data)
      if (chunk === undefined) return finish({ kind: 'broken', reason: 'the engine sent an event that is not a chat completion chunk' })
      if (chunk.error !== undefined) return finish({ kind: 'engineError', message: chunk.error.message ?? 'the engine reported an error' })
      if (chunk.id !== `chatcmpl-${relay.attemptId}`) return finish({ kind: 'wrongRequest', received: chunk.id ?? '' })
      forward(chunk, data)
    }

    function forward (chunk: z.infer<typeof chunkSchema>, data: string): void {
      const event = `data: ${data.replace(relay.attemptId, relay.requestId)}\n\n`
      if (chunk.usage !== null && chunk.usage !== undefined) {
        usage = chunk.usage
        progress.usageEvent = relay.includeUsage ? event : undefined
        if ((chunk.choices?.length ?? 0) === 0) return
      }
      const delta = chunk.choices?.[0]?.delta
      const hasContent = typeof delta?.content === 'string' && delta.content !== ''
      // A resumed stream repeats the opening chunk, which the caller has already.
      if (!hasContent && delta?.role !== undefined && progress.begun) return
      if (hasContent) {
        progress.contentTokens += 1
        relay.onToken()
      }
      progress.begun = true
      if (!relay.response.write(event)) {
        message.pause()
        relay.response.once('drain', () => message.resume())
      }
    }

    relay.signal.addEventListener('abort', abort, { once: true })
    message.setEncoding('utf8')
    message.on('data', (text: string) => parser.feed(text))
    message.on('end', () => finish({ kind: 'broken', reason: 'the stream ended without an end marker' }))
    message.on('error', (error) => finish({ kind: 'broken', reason: error.message }))
    message.on('close', () => finish({ kind: 'broken', reason: 'the connection closed before the end marker' }))
    if (relay.signal.aborted) abort()
  })
}

function parseChunk (data: string): z.infer<typeof chunkSchema> | undefined {
  try {
    const result = chunkSchema.safeParse(JSON.parse(data))
    return result.success ? result.data : undefined
  } catch {
    return undefined
  }
}
