import type { Agent } from 'node:http'
import { sendHttpCall, readBody } from './sendHttpCall.js'
import type { ErrorBody } from './sendChat.js'

/** Request to a plain service through a router. */
export interface ServiceCall {
  readonly address: string
  readonly key: string
  readonly service: string
  readonly method: string
  /** Path after the service name, including the query string. */
  readonly path: string
  readonly body?: string
  readonly idempotencyKey?: string
  readonly signal?: AbortSignal
  readonly agent?: Agent
}

/** Response to a service call. */
export interface ServiceResponse {
  /** 0 if the connection broke before the response was complete. */
  readonly status: number
  readonly requestId: string
  /** Body that the plain service returned. */
  readonly result: { readonly service: string, readonly path: string, readonly count: number, readonly requestId: string, readonly received: string } | undefined
  readonly error: ErrorBody | undefined
  readonly text: string
}

/** Calls a plain service and reads the complete response; never rejects. */
export async function callService (call: ServiceCall): Promise<ServiceResponse> {
  try {
    const { status, headers, message } = await sendHttpCall({
      address: call.address,
      method: call.method,
      path: `/services/${call.service}${call.path}`,
      headers: { authorization: `Bearer ${call.key}`, ...(call.idempotencyKey === undefined ? {} : { 'idempotency-key': call.idempotencyKey }) },
      body: call.body ?? '',
      signal: call.signal,
      agent: call.agent
    })
    const { text, complete } = await readBody(message)
    const body = parseResponse(text)
    const requestId = String(headers['x-request-id'] ?? body.error?.request_id ?? '')
    return { status: complete ? status : 0, requestId, result: body.error === undefined ? body as ServiceResponse['result'] : undefined, error: body.error, text }
  } catch {
    return { status: 0, requestId: '', result: undefined, error: undefined, text: '' }
  }
}

function parseResponse (text: string): { readonly error?: ErrorBody } {
  try {
    return JSON.parse(text) as { readonly error?: ErrorBody }
  } catch {
    return {}
  }
}
