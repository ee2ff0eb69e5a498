import { steadyNow } from '../clock.js'
import type { ServerResponse } from 'node:http'
import type { GatewayContext } from './gatewayContext.js'

/** An error that this system answers itself. */
export interface Refusal {
  readonly status: number
  /** Stable code for programs. */
  readonly code: string
  readonly message: string
  /** Whether the request has run. */
  readonly run: 'no' | 'unknown'
}

/** Answers with an error in OpenAI's shape; cuts the connection when an answer has begun. */
export function refuse (context: GatewayContext, response: ServerResponse, refusal: Refusal, headers: Record<string, string> = {}): void {
  if (response.headersSent || response.destroyed) {
    response.destroy()
    return
  }
  const body = JSON.stringify({ error: { message: refusal.message, type: 'quinceshunt_error', code: refusal.code, param: null, run: refusal.run } })
  context.metrics.count('refusals_total', { code: refusal.code })
  response.writeHead(refusal.status, { 'content-type': 'application/json', 'content-length': String(Buffer.byteLength(body)), ...closing(context), ...headers })
  response.end(body)
}

/** Answers that the request has not run and will not, with the time at which to return. `retryAt` in Unix milliseconds. */
export function refuseForNow (context: GatewayContext, response: ServerResponse, reason: string, retryAt: number): void {
  const seconds = Math.max(0.05, (retryAt - steadyNow()) / 1000)
  refuse(context, response, { status: 503, code: 'not_run', message: `the request was not run: ${reason}`, run: 'no' }, { 'retry-after': seconds.toFixed(2) })
}

/** While stopping, each answer asks the caller to connect elsewhere. */
export function closing (context: GatewayContext): Record<string, string> {
  return context.isStopping() ? { connection: 'close' } : {}
}
