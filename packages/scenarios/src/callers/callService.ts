import type { Agent } from 'node:http'
import { openExchange, readText } from './openExchange.js'
import type { CallerErrorBody } from './sendChat.js'

/** A call of a plain service through a router. */
export interface ServiceCall {
  readonly address: string
  readonly key: string
  readonly service: string
  readonly method: string
  /** Path behind the service's name, with its query. */
  readonly path: string
  readonly body?: string
  readonly idempotencyKey?: string
  readonly signal?: AbortSignal
  readonly agent?: Agent
}

/** What a caller got. */
export interface ServiceAnswer {
  /** 0 when the connection broke before the answer was whole. */
  readonly status: number
  readonly requestId: string
  /** The plain service's answer. */
  readonly result: { readonly service: string, readonly path: string, readonly count: number, readonly requestId: string, readonly received: string } | undefined
  readonly error: CallerErrorBody | undefined
  readonly text: string
}

/** Calls a plain service and reads the whole answer; never rejects. */
export async function callService (call: ServiceCall): Promise<ServiceAnswer> {
  try {
    const { status, headers, message } = await openExchange({
      address: call.address,
      method: call.method,
      path: `/services/${call.service}${call.path}`,
      headers: { authorization: `Bearer ${call.key}`, ...(call.idempotencyKey === undefined ? {} : { 'idempotency-key': call.idempotencyKey }) },
      body: call.body ?? '',
      signal: call.signal,
      agent: call.agent
    })
    const { text, whole } = await readText(message)
    const json = parseAnswer(text)
    const requestId = String(headers['x-request-id'] ?? json.error?.request_id ?? '')
    return { status: whole ? status : 0, requestId, result: json.error === undefined ? json as ServiceAnswer['result'] : undefined, error: json.error, text }
  } catch {
    return { status: 0, requestId: '', result: undefined, error: undefined, text: '' }
  }
}

function parseAnswer (text: string): { readonly error?: CallerErrorBody } {
  try {
    return JSON.parse(text) as { readonly error?: CallerErrorBody }
  } catch {
    return {}
  }
}
