import { steadyNow } from '../clock.js'
import type { ServerResponse } from 'node:http'
import { cutOffResponse } from './cutOffResponse.js'
import { errorBody, type ErrorResponse } from './errorBody.js'
import type { GatewayContext } from './gatewayContext.js'

export type { ErrorResponse } from './errorBody.js'

/** Sends an error in the format of the OpenAI API, or closes the connection when the response headers are already sent. */
export function sendError (context: GatewayContext, response: ServerResponse, error: ErrorResponse, headers: Record<string, string> = {}): void {
  if (response.headersSent || response.destroyed) {
    cutOffResponse(response)
    return
  }
  const body = errorBody(error)
  context.metrics.count('refusals_total', { code: error.code })
  response.writeHead(error.status, { 'content-type': 'application/json', 'content-length': String(Buffer.byteLength(body)), ...connectionHeaders(context, response), ...headers })
  response.end(body)
}

/** Responds that the request has not run and will not, with a Retry-After header. `retryAt` in Unix milliseconds. */
export function sendNotRun (context: GatewayContext, response: ServerResponse, reason: string, retryAt: number): void {
  const seconds = Math.max(0.05, (retryAt - steadyNow()) / 1000)
  sendError(context, response, { status: 503, code: 'not_run', message: `the request was not run: ${reason}`, run: 'no' }, { 'retry-after': seconds.toFixed(2) })
}

/** Refuses a request whose body has not come whole. The connection ends, as the rest of the body can't be told from a next request in time. */
export function sendErrorAndClose (context: GatewayContext, response: ServerResponse, error: ErrorResponse): void {
  if (!response.destroyed) context.openResponses.endConnection(response)
  sendError(context, response, error)
}

/** The last response of a connection closes it. While the process stops or is full, that is the newest one, so that callers connect to another instance. */
export function connectionHeaders (context: GatewayContext, response: ServerResponse): Record<string, string> {
  const isLast = context.openResponses.isLast(response) || ((context.isStopping() || context.occupancy.shouldMoveCaller()) && context.openResponses.tryEndConnection(response))
  return isLast ? { connection: 'close' } : {}
}
