import { handleArrivedEvents } from '@quinceshunt/caller-connections'
import { readCallerBody } from './callerBody.js'
import type { CallerError } from './callerError.js'
import type { CallerExchange } from './callersListener.js'
import type { RouterServices } from './routerServices.js'

/** Reason to end a request before anything is reserved or sent. */
export type EarlyTermination =
  | { readonly kind: 'refused', readonly error: CallerError }
  | { readonly kind: 'callerGone' }

/** A complete request body, or the reason to end the request. */
export type ReceiveBodyOutcome = { readonly kind: 'whole', readonly body: Buffer } | EarlyTermination

/** Creates the rejection of a request that has not been run. */
export function rejectBeforeRun (error: Omit<CallerError, 'run'>): EarlyTermination {
  return { kind: 'refused', error: { ...error, run: 'no' } }
}

/** Bodies of an account that arrive at a usual pace have been received and answered by then. */
const BODY_MEMORY_RETRY_DELAY_MS = 2000

/** Reads a caller's request body within `bodyLimitBytes`, its account's share of the memory and the request deadline; `callerGone` if a close followed it. */
export async function receiveBody (services: RouterServices, exchange: CallerExchange): Promise<ReceiveBodyOutcome> {
  const { bodyLimitBytes } = services.settings
  const received = await readCallerBody(exchange.request, { limitBytes: bodyLimitBytes, holding: exchange.bodyHolding, deadline: exchange.deadline })
  switch (received.kind) {
    case 'whole':
      // A process that is behind with its work may have read the request long after the caller left.
      await handleArrivedEvents()
      return exchange.signal.aborted ? { kind: 'callerGone' } : received
    case 'gone': return { kind: 'callerGone' }
    case 'tooLarge': return rejectBeforeRun({ status: 413, code: 'body_too_large', message: `the body is larger than ${bodyLimitBytes} bytes` })
    case 'memoryExhausted': return rejectBeforeRun({ status: 503, code: 'body_memory_exhausted', message: `the bodies of client account ${JSON.stringify(exchange.caller.account.id)} in progress take all memory that it may have; send fewer at a time`, retryAt: services.clock.now() + BODY_MEMORY_RETRY_DELAY_MS })
    case 'tooSlow': return rejectBeforeRun({ status: 408, code: 'request_timeout', message: 'the body did not arrive before the deadline' })
  }
}
