import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Duplex } from 'node:stream'
import { discardFurtherBytes } from './discardFurtherBytes.js'
import { linger } from './lingeringClose.js'

/** Keeps the responses in progress on a connection when bytes arrive on it that are no request. */
export interface ConnectionErrors {
  /** To be called for each request. */
  track (request: IncomingMessage, response: ServerResponse): void
  /**
   * Handles a `clientError` event; returns false when the connection has already had one. Nothing further is read as a request:
   * Node goes on parsing after a timeout, so that the rest of a refused request would complete it.
   */
  handle (error: NodeJS.ErrnoException, socket: Duplex): boolean
}

/** `refuse` answers the bytes that are no request and ends the connection; it is called once all requests that arrived whole before them are answered. */
export function createConnectionErrors (refuse: (error: NodeJS.ErrnoException, socket: Duplex) => void): ConnectionErrors {
  const requestsOf = new WeakMap<Duplex, Set<IncomingMessage>>()
  const errorsOf = new WeakMap<Duplex, NodeJS.ErrnoException>()

  function refuseAfterResponses (error: NodeJS.ErrnoException, socket: Duplex): void {
    const requests = [...requestsOf.get(socket) ?? []]
    if (requests.some((request) => request.complete) || !socket.writable) return
    refuse(error, socket)
    linger(socket)
  }

  return {
    track: (request, response) => {
      const { socket } = request
      const requests = requestsOf.get(socket) ?? new Set()
      requestsOf.set(socket, requests.add(request))
      response.once('close', () => {
        requests.delete(request)
        const error = errorsOf.get(socket)
        if (error !== undefined) refuseAfterResponses(error, socket)
      })
    },
    handle: (error, socket) => {
      const isFirst = !errorsOf.has(socket)
      if (isFirst) errorsOf.set(socket, error)
      if (error.code === 'ECONNRESET' || !socket.writable) socket.destroy()
      else if (isFirst) {
        discardFurtherBytes(socket)
        refuseAfterResponses(error, socket)
      }
      return isFirst
    }
  }
}
