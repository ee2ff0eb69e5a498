import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import { discardFurtherBytes } from './discardFurtherBytes.js'
import { lingerAfterLastResponse } from './lingeringClose.js'

/** How a request is handled. */
export type PipelineAdmission =
  | { readonly kind: 'served' }
  /** The connection ends with its response, as too many requests on it are unanswered. */
  | { readonly kind: 'last' }
  /** It came after the last one. Nothing is to be done for it: its caller sends it again on another connection. */
  | { readonly kind: 'ignored' }

/** Limits the requests that one connection may have unanswered. */
export interface PipelineLimit {
  /** To be called once for each request. */
  admit (request: IncomingMessage, response: ServerResponse): PipelineAdmission
}

interface Pipeline {
  unanswered: number
  hasEnded: boolean
}

/**
 * Creates a limit of `maximumUnanswered` requests on each connection. Node reads on while requests of a connection wait for
 * their responses. A connection at the limit ends with the response to its last request (RFC 9112, section 9.3.2), rather
 * than being paused: a paused one would not show that its caller has left.
 */
export function createPipelineLimit (maximumUnanswered: number): PipelineLimit {
  const pipelines = new WeakMap<Socket, Pipeline>()

  return {
    admit: (request, response) => {
      const { socket } = request
      const pipeline = pipelines.get(socket) ?? { unanswered: 0, hasEnded: false }
      pipelines.set(socket, pipeline)
      if (pipeline.hasEnded) {
        request.resume()
        discardFurtherBytes(socket)
        return { kind: 'ignored' }
      }
      pipeline.unanswered++
      response.once('finish', () => { pipeline.unanswered-- })
      if (pipeline.unanswered < maximumUnanswered) return { kind: 'served' }
      pipeline.hasEnded = true
      lingerAfterLastResponse(socket)
      const discard = (): void => discardFurtherBytes(socket)
      if (request.complete) setImmediate(discard)
      else request.once('close', discard)
      return { kind: 'last' }
    }
  }
}
