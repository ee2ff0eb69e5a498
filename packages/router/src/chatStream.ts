import { createParser } from 'eventsource-parser'
import type { IncomingMessage, ServerResponse } from 'node:http'
import { z } from 'zod'

/** Time without an event after which the backend server's health is checked, longer than a sound one may be silent. */
const STALL_TIMEOUT_MS = 3000
const STALL_CHECK_INTERVAL_MS = 1000
const DONE_MARKER = '[DONE]'

export const usageSchema = z.looseObject({
  prompt_tokens: z.int().min(0),
  completion_tokens: z.int().min(0)
})

/** Token usage reported by an engine. */
export type Usage = z.infer<typeof usageSchema>

const chunkSchema = z.looseObject({
  id: z.string().optional(),
  choices: z.array(z.looseObject({ delta: z.looseObject({ role: z.string().optional(), content: z.string().nullish() }).optional() })).optional(),
  usage: usageSchema.nullish(),
  error: z.looseObject({ message: z.string().optional() }).optional()
})

/** State of the caller's stream, shared by all attempts. */
export interface StreamProgress {
  /** Number of content chunks sent to the caller, which is the offset for resuming the stream. */
  contentTokens: number
  /** Whether any event has been sent to the caller. */
  started: boolean
  /** Usage event to send after the bill has been settled. */
  usageEvent: string | undefined
}

/** Outcome of relaying one stream attempt. */
export type StreamOutcome =
  | { readonly kind: 'complete', readonly usage: Usage | undefined }
  | { readonly kind: 'broken', readonly reason: string }
  | { readonly kind: 'wrongRequest', readonly received: string }
  | { readonly kind: 'engineError', readonly message: string }
  | { readonly kind: 'callerGone' }
  | { readonly kind: 'deadline' }

/** Options for relaying one stream attempt. */
export interface StreamRelay {
  readonly message: IncomingMessage
  readonly response: ServerResponse
  readonly progress: StreamProgress
  /** Each chunk from the engine must carry this ID. */
  readonly attemptId: string
  /** Replaces the attempt ID in chunks sent to the caller. */
  readonly requestId: string
  readonly includeUsage: boolean
  /** Unix milliseconds. */
  readonly deadline: number
  readonly signal: AbortSignal
  /** Called when the stream has stalled. */
  readonly isBackendServerDown: () => Promise<boolean>
  /** Called for each chunk with content, for latency metrics. */
  readonly onToken: () => void
}

/** Relays one stream from an engine to the caller without the final `[DONE]` marker. */
export function relayChatStream (relay: StreamRelay): Promise<StreamOutcome> {
  return new Promise((resolve) => {
    const { message, progress } = relay
    let ended = false
    let receivedDoneMarker = false
    let usage: Usage | undefined
    let lastEventAt = Date.now()
    const deadlineTimer = setTimeout(() => finish({ kind: 'deadline' }), Math.max(0, relay.deadline - Date.now()))
    const stallTimer = setInterval(checkStall, STALL_CHECK_INTERVAL_MS)
    const handleAbort = (): void => finish({ kind: 'callerGone' })
    const parser = createParser({ onEvent: (event) => { lastEventAt = Date.now(); handleEvent(event.data) } })

    function finish (outcome: StreamOutcome): void {
      if (ended) return
      ended = true
      clearTimeout(deadlineTimer)
      clearInterval(stallTimer)
      relay.signal.removeEventListener('abort', handleAbort)
      if (outcome.kind !== 'complete') message.destroy()
      resolve(outcome)
    }

    function isStalled (): boolean {
      return Date.now() - lastEventAt >= STALL_TIMEOUT_MS
    }

    function checkStall (): void {
      if (!isStalled()) return
      relay.isBackendServerDown().then((down) => {
        // The stream may have gone on during the check.
        if (down && isStalled()) finish({ kind: 'broken', reason: 'the stream stalled and the health check failed' })
      })
    }

    function handleEvent (data: string): void {
      if (ended || receivedDoneMarker) return
      if (data === DONE_MARKER) {
        receivedDoneMarker = true
        return finish({ kind: 'complete', usage })
      }
      const chunk = parseChunk(data)
      if (chunk === undefined) return finish({ kind: 'broken', reason: 'the engine sent an event that is not a chat completion chunk' })
      if (chunk.error !== undefined) return finish({ kind: 'engineError', message: chunk.error.message ?? 'the engine reported an error' })
      if (chunk.id !== `chatcmpl-${relay.attemptId}`) return finish({ kind: 'wrongRequest', received: chunk.id ?? '' })
      forwardChunk(chunk, data)
    }

    function forwardChunk (chunk: z.infer<typeof chunkSchema>, data: string): void {
      const event = `data: ${data.replace(relay.attemptId, relay.requestId)}\n\n`
      if (chunk.usage !== null && chunk.usage !== undefined) {
        usage = chunk.usage
        progress.usageEvent = relay.includeUsage ? event : undefined
        if ((chunk.choices?.length ?? 0) === 0) return
      }
      const delta = chunk.choices?.[0]?.delta
      const hasContent = typeof delta?.content === 'string' && delta.content !== ''
      // A resumed stream repeats the initial role chunk, which the caller already has.
      if (!hasContent && delta?.role !== undefined && progress.started) return
      if (hasContent) {
        progress.contentTokens += 1
        relay.onToken()
      }
      progress.started = true
      if (!relay.response.write(event)) {
        message.pause()
        relay.response.once('drain', () => message.resume())
      }
    }

    relay.signal.addEventListener('abort', handleAbort, { once: true })
    message.setEncoding('utf8')
    message.on('data', (text: string) => parser.feed(text))
    message.on('end', () => finish({ kind: 'broken', reason: 'the stream ended without the [DONE] marker' }))
    message.on('error', (error) => finish({ kind: 'broken', reason: error.message }))
    message.on('close', () => finish({ kind: 'broken', reason: 'the connection closed before the [DONE] marker' }))
    if (relay.signal.aborted) handleAbort()
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
