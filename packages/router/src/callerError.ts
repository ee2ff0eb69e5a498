import type { ServerResponse } from 'node:http'
import type { GiveUpCode } from '@quinceshunt/requests'
import type { RunState } from './services.js'

/** Stable error codes of the caller API, documented in docs/OPERATIONS.md. */
export type CallerErrorCode =
  | GiveUpCode
  | 'invalid_json'
  | 'invalid_request'
  | 'body_too_large'
  | 'body_memory_exhausted'
  | 'headers_too_large'
  | 'malformed_request'
  | 'request_timeout'
  | 'invalid_api_key'
  | 'not_found'
  | 'model_not_found'
  | 'service_not_found'
  | 'target_not_allowed'
  | 'not_ready'
  | 'isolated'
  | 'budget_exhausted'
  | 'budget_unavailable'
  | 'no_backend_server'
  | 'idempotency_key_required'
  | 'idempotency_key_reused'
  | 'request_in_progress'
  | 'store_unavailable'
  | 'request_quarantined'
  | 'request_suspect'
  | 'outcome_unknown'
  | 'backend_rejected'
  | 'answer_too_large'
  | 'caller_gone'
  | 'internal_error'

/** An error returned to a caller. */
export interface CallerError {
  readonly status: number
  readonly code: CallerErrorCode
  readonly message: string
  /** Whether the request was run; `no` only if it certainly was not. */
  readonly run: RunState
  /** Earliest time for a retry, Unix milliseconds; undefined if a retry cannot succeed. */
  readonly retryAt?: number
  /** Name of the invalid parameter or header. */
  readonly param?: string
}

/** Maps an HTTP status to an OpenAI error type. */
function errorType (status: number): string {
  if (status === 401) return 'authentication_error'
  if (status === 403) return 'permission_error'
  if (status === 429) return 'rate_limit_error'
  return status < 500 ? 'invalid_request_error' : 'server_error'
}

/** Formats an error as an OpenAI-compatible JSON body. */
export function formatCallerError (error: CallerError, requestId: string): string {
  return JSON.stringify({
    error: {
      message: error.message,
      type: errorType(error.status),
      code: error.code,
      param: error.param ?? null,
      run: error.run,
      request_id: requestId
    }
  })
}

/** Sends an error response; does nothing if the response headers have been sent. */
export function sendCallerError (response: ServerResponse, error: CallerError, requestId: string): void {
  if (response.headersSent || response.destroyed) return
  const body = formatCallerError(error, requestId)
  response.statusCode = error.status
  response.setHeader('content-type', 'application/json')
  response.setHeader('content-length', Buffer.byteLength(body))
  response.setHeader('x-request-id', requestId)
  // Closes the connection without reading the rest of the body, so that slow clients can't hold sockets.
  if (error.code === 'request_timeout') response.setHeader('connection', 'close')
  if (error.retryAt !== undefined) response.setHeader('retry-after', Math.max(1, Math.ceil((error.retryAt - Date.now()) / 1000)))
  response.end(body)
}

/** Ends an incomplete event stream with an error event instead of the `[DONE]` marker. */
export function sendStreamError (response: ServerResponse, error: CallerError, requestId: string): void {
  if (response.destroyed) return
  response.end(`data: ${formatCallerError(error, requestId)}\n\n`)
}
