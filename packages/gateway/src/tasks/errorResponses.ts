import { steadyNow } from '../clock.js'
import type { ServerResponse } from 'node:http'
import type { GatewayContext } from './gatewayContext.js'

/** An error that this system answers itself. */
export interface ErrorResponse {
  readonly status: number
  /** Stable code for programs. */
  readonly code: string
  readonly message: string
  /** Whether the request has run. */
  readonly run: 'no' | 'unknown'
}

/** Answers with an error in OpenAI's shape; cuts the connection when an answer has begun. */
export function sendError (context: GatewayContext, response: ServerResponse, error: ErrorResponse, headers: Record<string, string> = {}): void {
  if (response.headersSent || response.destroyed) {
    response.destroy()
    return
  }
  const body = JSON.stringify({ error: { message: error.message, type: 'quinceshunt_error', code: error.code, param: null, run: error.run } })
  context.metrics.count('refusals_total', { code: error.code })
  response.writeHead(error.status, { 'content-type': 'application/json', 'content-length': String(Buffer.byteLength(body)), ...connectionHeaders(context), ...headers })
  response.end(body)
}

/** Answers that the request has not run and will not, with the time at which to return. `retryAt` in Unix milliseconds. */
export function sendNotRun (context: GatewayContext, response: ServerResponse, reason: string, retryAt: number): void {
  const seconds = Math.max(0.05, (retryAt - steadyNow()) / 1000)
  sendError(context, response, { status: 503, code: 'not_run', message: `the request was not run: ${reason}`, run: 'no' }, { 'retry-after': seconds.toFixed(2) })
}

/** While stopping, each answer asks the caller to connect elsewhere. */
export function connectionHeaders (context: GatewayContext): Record<string, string> {
  return context.isStopping() ? { connection: 'close' } : {}
}
