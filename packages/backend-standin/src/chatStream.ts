import type { ServerResponse } from 'node:http'
import type { Engine, Sequence } from './engine.js'
import { answerText, answerToken, NO_FAULTS, type StreamFaults } from './prompt.js'
import { sendJson } from './http.js'

/** Usage figures in OpenAI's format. */
export interface Usage {
  readonly prompt_tokens: number
  readonly completion_tokens: number
  readonly total_tokens: number
}

/** Usage of a sequence so far; a sequence that never started has used nothing. */
export function usageOf (sequence: Sequence): Usage {
  const promptTokens = sequence.run.startedAt === undefined ? 0 : sequence.run.promptTokens
  return { prompt_tokens: promptTokens, completion_tokens: sequence.generatedTokens, total_tokens: promptTokens + sequence.generatedTokens }
}

function envelope (sequence: Sequence, model: string, object: string): Record<string, unknown> {
  return { id: `chatcmpl-${sequence.requestId}`, object, created: Math.floor(sequence.run.arrivedAt / 1000), model }
}

/** Streams a sequence as server-sent events from content token `offset` on: one event for each content token. */
export function streamSequence (engine: Engine, sequence: Sequence, model: string, offset: number, response: ServerResponse, faults: StreamFaults = NO_FAULTS): void {
  response.writeHead(200, { 'content-type': 'text/event-stream', 'cache-control': 'no-cache', 'x-request-id': sequence.requestId })
  const own = envelope(sequence, model, 'chat.completion.chunk')
  const base = JSON.stringify(faults.crossed ? { ...own, id: 'chatcmpl-another-request' } : own).slice(0, -1)
  let sent = offset

  function sendChunk (choices: unknown[], usage?: Usage): void {
    const fields = { choices, ...(usage === undefined ? {} : { usage }) }
    response.write(`data: ${base},${JSON.stringify(fields).slice(1)}\n\n`)
  }

  function sendNews (): void {
    for (; sent < sequence.generatedTokens; sent++) {
      if (sent >= faults.disconnectAfter) {
        response.destroy()
        return
      }
      sendChunk([{ index: 0, delta: { content: answerToken(sequence.digest, sent) }, finish_reason: null }])
    }
    if (sequence.state === 'cancelled') response.destroy()
    if (sequence.state !== 'complete') return
    stopReading()
    sendChunk([{ index: 0, delta: {}, finish_reason: sequence.finishReason }])
    sendChunk([], usageOf(sequence))
    response.end('data: [DONE]\n\n')
  }

  if (offset === 0) sendChunk([{ index: 0, delta: { role: 'assistant', content: '' }, finish_reason: null }])
  const stopReading = engine.read(sequence, sendNews)
  response.once('close', stopReading)
  sendNews()
}

/** Sends a sequence as one JSON answer when it is complete. */
export function sendWhenComplete (engine: Engine, sequence: Sequence, model: string, response: ServerResponse): void {
  function check (): void {
    if (sequence.state === 'cancelled') response.destroy()
    if (sequence.state !== 'complete') return
    stopReading()
    response.setHeader('x-request-id', sequence.requestId)
    const message = { role: 'assistant', content: answerText(sequence.digest, 0, sequence.generatedTokens) }
    sendJson(response, 200, { ...envelope(sequence, model, 'chat.completion'), choices: [{ index: 0, message, finish_reason: sequence.finishReason }], usage: usageOf(sequence) })
  }
  const stopReading = engine.read(sequence, check)
  response.once('close', stopReading)
}
