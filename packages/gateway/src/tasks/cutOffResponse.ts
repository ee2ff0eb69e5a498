import type { IncomingMessage, ServerResponse } from 'node:http'

/**
 * Ends responses that are not whole so that they don't look complete.
 *
 * Pattern: callers of HTTP/1.0 know no chunks, so that an orderly close ends a body without a length. Only a reset tells them more.
 */

/** Ends a connection of a caller whose response is not whole. */
export function cutOffConnection ({ httpVersion, socket }: IncomingMessage): void {
  if (httpVersion === '1.0') socket.resetAndDestroy()
  else socket.destroy()
}

/** Ends a response, which may have been sent in part. */
export function cutOffResponse (response: ServerResponse): void {
  if (response.req.httpVersion === '1.0' && !response.writableFinished) cutOffConnection(response.req)
  else response.destroy()
}

/** Cuts off a response in progress when its caller closes its sending side, before Node closes the connection in order. */
export function cutOffAtHalfClose (response: ServerResponse): void {
  const { httpVersion, socket } = response.req
  if (httpVersion !== '1.0') return
  const cutOff = (): void => { if (response.headersSent && !response.writableEnded) cutOffResponse(response) }
  socket.prependOnceListener('end', cutOff)
  response.once('close', () => socket.removeListener('end', cutOff))
}
