import { expect, test } from '@jest/globals'
import type { IncomingMessage, ServerResponse } from 'node:http'
import { PassThrough } from 'node:stream'
import { relayChatStream, type StreamOutcome } from '../chatStream.js'

const CHUNK = `data: ${JSON.stringify({ id: 'chatcmpl-attempt', choices: [{ delta: { content: 'token' } }] })}\n\n`

/** Longer than the rest of the silence in the test below. */
const HEALTH_CHECK_MS = 1000

/** Relays a stream that sends a chunk, is silent for the given time while health checks fail, and then goes on to its end. */
async function relayWithSilence (milliseconds: number): Promise<{ readonly outcome: StreamOutcome, readonly received: string }> {
  const message = new PassThrough()
  const response = new PassThrough()
  let received = ''
  response.on('data', (bytes: Buffer) => { received += bytes.toString() })
  const relayed = relayChatStream({
    message: message as unknown as IncomingMessage,
    response: response as unknown as ServerResponse,
    progress: { contentTokens: 0, started: false, usageEvent: undefined },
    attemptId: 'attempt',
    requestId: 'request',
    includeUsage: false,
    deadline: Date.now() + 20_000,
    signal: new AbortController().signal,
    isBackendServerDown: () => new Promise((resolve) => setTimeout(() => resolve(true), HEALTH_CHECK_MS)),
    onToken: () => {}
  })
  message.write(CHUNK)
  await new Promise((resolve) => setTimeout(resolve, milliseconds))
  message.write(CHUNK)
  setTimeout(() => message.end('data: [DONE]\n\n'), HEALTH_CHECK_MS)
  return { outcome: await relayed, received }
}

// Guards against streams that are ended for a silence of their sound engine: a short one, and one that ends during the check.
test.each([1500, 2700, 3500])('an engine that is silent for %d ms goes on with its stream', async (milliseconds) => {
  const { outcome, received } = await relayWithSilence(milliseconds)
  expect(outcome.kind).toBe('complete')
  expect(received.match(/token/g)).toHaveLength(2)
})
