import type { IncomingMessage, ServerResponse } from 'node:http'
import { steadyNow } from '../clock.js'
import { connectionHeaders } from './errorResponses.js'
import { refuseAnswer } from './memoryRefusals.js'
import type { GatewayContext } from './gatewayContext.js'
import type { RequestState } from './requestTask.js'

/** A buffered response that has not been forwarded yet. */
export interface BufferedResponse {
  readonly status: number
  deliver (): void
}

/** Creates a response to the caller from one of a backend server that was read whole. */
export function bufferResponse (context: GatewayContext, state: RequestState, incoming: IncomingMessage, body: Buffer): BufferedResponse {
  const { response } = state
  const status = incoming.statusCode ?? 0
  const responseHeaders = withoutContentLength(context.wire.buildResponseHeaders(incoming.rawHeaders))
  // Counted for the caller from now on, as the attempt ends; what doesn't fit is dropped at once.
  const bytes = body.length
  const held = state.memory.tryAddAnswer(body.length) ? body : undefined
  const hasNoBody = state.incoming.method === 'HEAD' || status === 204 || status === 304
  return {
    status,
    deliver: () => {
      if (response.headersSent || response.destroyed) return
      if (held === undefined) {
        refuseAnswer(context, state, bytes)
        return
      }
      state.firstByteAt = steadyNow()
      response.writeHead(status, [...responseHeaders, ...(hasNoBody ? [] : ['Content-Length', String(held.length)]), ...closingHeaders(context, response)])
      response.end(hasNoBody ? undefined : held)
    }
  }
}

/** Returns the headers that tell whether the caller's connection ends with the response, as names and values in turn. */
export function closingHeaders (context: GatewayContext, response: ServerResponse): string[] {
  return Object.entries(connectionHeaders(context, response)).flat()
}

/** Returns the media type without its parameters, in lower case; empty when the response has none. */
export function mediaTypeOf (incoming: IncomingMessage): string {
  return (incoming.headers['content-type'] ?? '').split(';', 1)[0]?.trim().toLowerCase() ?? ''
}

/** Removes Content-Length, which is recomputed for the forwarded body. */
export function withoutContentLength (headers: readonly string[]): string[] {
  const result: string[] = []
  for (let index = 0; index < headers.length; index += 2) {
    if (headers[index]?.toLowerCase() !== 'content-length') result.push(headers[index] ?? '', headers[index + 1] ?? '')
  }
  return result
}
