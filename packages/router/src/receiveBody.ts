import { readCallerBody } from './callerBody.js'
import type { CallerError } from './callerError.js'
import type { CallerExchange } from './callersListener.js'
import type { RouterServices } from './routerServices.js'

/** Why a request is not run, found before anything was reserved or sent. */
export type Unrunnable =
  | { readonly kind: 'refused', readonly error: CallerError }
  | { readonly kind: 'callerGone' }

/** A caller's whole body, or why there is none. */
export type ReceivedBody = { readonly kind: 'whole', readonly body: Buffer } | Unrunnable

/** A refusal that is certain before the request has been run. */
export function refused (error: Omit<CallerError, 'run'>): Unrunnable {
  return { kind: 'refused', error: { ...error, run: 'no' } }
}

/** Reads a caller's body within the limits of the settings and the request's deadline. */
export async function receiveBody (services: RouterServices, exchange: CallerExchange): Promise<ReceivedBody> {
  const { bodyLimitBytes } = services.settings
  const received = await readCallerBody(exchange.request, bodyLimitBytes, exchange.deadline)
  switch (received.kind) {
    case 'whole': return received
    case 'gone': return { kind: 'callerGone' }
    case 'tooLarge': return refused({ status: 413, code: 'body_too_large', message: `the body is larger than ${bodyLimitBytes} bytes` })
    case 'tooSlow': return refused({ status: 408, code: 'request_timeout', message: 'the body did not arrive before the deadline' })
  }
}
