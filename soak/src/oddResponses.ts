import { rawResponse } from '@quinceshunt/platform-adapter/fixtures'
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Socket } from 'node:net'

/** One response in this many has neither a length nor chunks. */
const UNFRAMED_INTERVAL = 2
/** One of the others in this many is followed by a second copy on its connection. */
const COPY_INTERVAL = 5
/** Copies follow after up to this time. */
const MAX_COPY_DELAY_MS = 120

const latestOnConnection = new WeakMap<Socket, ServerResponse>()

/**
 * Leaves a share of the responses without a length or chunks, and has some of the others followed late by a copy, never within another
 * response; `sequence` is a number that rises with each response.
 */
export function makeOdd (incoming: IncomingMessage, response: ServerResponse, { sequence, attempt, body }: { readonly sequence: number, readonly attempt: string, readonly body: () => string }): void {
  const { socket } = incoming
  latestOnConnection.set(socket, response)
  if (sequence % UNFRAMED_INTERVAL === 0) {
    response.useChunkedEncodingByDefault = false
    response.shouldKeepAlive = false
    return
  }
  if (sequence % COPY_INTERVAL !== 0) return
  response.on('finish', () => setTimeout(() => {
    const latest = latestOnConnection.get(socket)
    if (latest === response || latest?.headersSent === false) socket.write(rawResponse(attempt, body()))
  }, sequence % MAX_COPY_DELAY_MS))
}
