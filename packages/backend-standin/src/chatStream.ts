import type { ServerResponse } from 'node:http'
import type { Engine, Sequence } from './engine.js'
import { answerText, answerToken, NO_FAULTS, type StreamFaults } from './prompt.js'
import { sendJson } from './http.js'

/** Token usage in OpenAI's format. */
export interface Usage {
  readonly prompt_tokens: number
  readonly completion_tokens: number
  readonly total_tokens: number
}

/** Current usage of a sequence; zero if it never started. */
export function usageOf (sequence: Sequence): Usage {
  const promptTokens = sequence.run.startedAt === undefined ? 0 : sequence.run.promptTokens
  return { prompt_tokens: promptTokens, completion_tokens: sequence.generatedTokens, total_tokens: promptTokens + sequence.generatedTokens }
}

function envelope (sequence: Sequence, model: string, object: string): Record<string, unknown> {
  return { id: `chatcmpl-${sequence.requestId}`, object, created: Math.floor(sequence.run.arrivedAt / 1000), model }
}

/** Streams a sequence as server-sent events, one per content token, starting at token `offset`. */
export function streamSequence (engine: Engine, sequence: Sequence, model: string, offset: number, response: ServerResponse, faults: StreamFaults = NO_FAULTS): void {
  response.writeHead(200, { 'content-type': 'text/event-stream', 'cache-control': 'no-cache', 'x-request-id': sequence.requestId })
  const chunkFields = envelope(sequence, model, 'chat.completion.chunk')
  const chunkPrefix = JSON.stringify(faults.wrongRequestId ? { ...chunkFields, id: 'chatcmpl-another-request' } : chunkFields).slice(0, -1)
  let sentTokens = offset

  function sendChunk (choices: unknown[], usage?: Usage): void {
    const chunk = { choices, ...(usage === undefined ? {} : { usage }) }
    response.write(`data: ${chunkPrefix},${JSON.stringify(chunk).slice(1)}\n\n`)
  }

  function sendNewTokens (): void {
    for (; sentTokens < sequence.generatedTokens; sentTokens++) {
      if (sentTokens >= faults.disconnectAfterTokens) {
        response.destroy()
        return
      }
      sendChunk([{ index: 0, delta: { content: answerToken(sequence.promptDigest, sentTokens) }, finish_reason: null }])
    }
    if (sequence.state === 'cancelled') response.destroy()
    if (sequence.state !== 'complete') return
    removeReader()
    sendChunk([{ index: 0, delta: {}, finish_reason: sequence.finishReason }])
    sendChunk([], usageOf(sequence))
    response.end('data: [DONE]\n\n')
  }

  if (offset === 0) sendChunk([{ index: 0, delta: { role: 'assistant', content: '' }, finish_reason: null }])
  const removeReader = engine.addReader(sequence, sendNewTokens)
  response.once('close', removeReader)
  sendNewTokens()
}

/** Sends a sequence as a single JSON response when it is complete. */
export function sendWhenComplete (engine: Engine, sequence: Sequence, model: string, response: ServerResponse): void {
  function sendIfComplete (): void {
    if (sequence.state === 'cancelled') response.destroy()
    if (sequence.state !== 'complete') return
    removeReader()
    const message = { role: 'assistant', content: answerText(sequence.promptDigest, 0, sequence.generatedTokens) }
    sendJson(response, 200, { ...envelope(sequence, model, 'chat.completion'), choices: [{ index: 0, message, finish_reason: sequence.finishReason }], usage: usageOf(sequence) })
  }
  const removeReader = engine.addReader(sequence, sendIfComplete)
  response.once('close', removeReader)
}
