import type { ClientRequest, IncomingMessage } from 'node:http'

/**
 * Decides which responses to a client's request are taken at all. RFC 9110, section 15: a final status is from 200 to 599. A status
 * outside that range comes from a faulty server, and Node either refuses to write it to a caller or passes it on.
 */

const FINAL_STATUS = { first: 200, last: 599 } as const
/** Node bounds the size of each interim response (1xx), but not their number. */
const DEFAULT_MAX_INTERIM_RESPONSES = 16
/** Error code of Node's parser for a status that does not have three digits. */
const MALFORMED_STATUS_CODE = 'HPE_INVALID_STATUS'

/** How the response to a request is received. Exactly one of the callbacks is called, unless the connection fails before. */
export interface ResponseReceiver {
  readonly maxInterimResponses?: number
  readonly onResponse: (response: IncomingMessage) => void
  /** A whole head has come that is no response to the request. The receiver must destroy the request, which closes its connection. */
  readonly onInvalid: (reason: string) => void
}

/** Returns true for a status that the response to a request without a protocol upgrade may have. */
export function isFinalStatus (status: number | undefined): boolean {
  return status !== undefined && status >= FINAL_STATUS.first && status <= FINAL_STATUS.last
}

/** Returns true for the error of a response whose status is not a number of three digits. */
export function isMalformedStatus (error: Error): boolean {
  return (error as NodeJS.ErrnoException).code === MALFORMED_STATUS_CODE
}

/** Receives the response to a request that asks for no protocol upgrade. */
export function receiveResponse (outgoing: ClientRequest, { maxInterimResponses = DEFAULT_MAX_INTERIM_RESPONSES, onResponse, onInvalid }: ResponseReceiver): void {
  let interimResponses = 0
  outgoing.on('information', () => {
    if (++interimResponses === maxInterimResponses + 1) onInvalid('interim responses without end')
  })
  // Without a listener, Node closes the connection and reports nothing but its end.
  outgoing.on('upgrade', (response, socket) => {
    socket.destroy()
    onInvalid(invalidStatusReason(response))
  })
  outgoing.on('response', (response) => {
    if (isFinalStatus(response.statusCode)) return onResponse(response)
    // Frees the body; without a listener, an error of the connection would end the process.
    response.on('error', () => {})
    response.resume()
    onInvalid(invalidStatusReason(response))
  })
}

function invalidStatusReason (response: IncomingMessage): string {
  return `invalid status ${String(response.statusCode ?? 0).padStart(3, '0')}`
}
