import { detectReset, isDelimitedByClose, isMalformedStatus, receiveResponse, type CloseVerdict } from '@quinceshunt/caller-connections'
import { createByteCollector, type ByteCollector, type Holding } from '@quinceshunt/memory-limits'
import { matchResponse, REQUEST_ID_HEADER } from '@quinceshunt/requests'
import { Agent, request as httpRequest, type ClientRequest, type IncomingHttpHeaders, type IncomingMessage } from 'node:http'
import type { Socket } from 'node:net'

/** A live backend server on the local network accepts a connection within milliseconds. */
const CONNECT_TIMEOUT_MS = 1000
const KEEP_ALIVE_DELAY_MS = 10_000
/** Bytes that each response may buffer, also when others have taken all that may be held. */
const UNSHARED_RESPONSE_BYTES = 65_536

/** Pools idle connections and closes those that receive bytes, which belong to no request. */
class BackendAgent extends Agent {
  override keepSocketAlive (socket: Socket): boolean {
    // Its type tells of no result.
    if ((super.keepSocketAlive(socket) as unknown) === false) return false
    socket.on('data', destroyIdle)
    return true
  }

  override reuseSocket (socket: Socket, outgoing: ClientRequest): void {
    socket.removeListener('data', destroyIdle)
    super.reuseSocket(socket, outgoing)
  }
}

function destroyIdle (this: Socket): void {
  this.destroy()
}

const sharedAgent = new BackendAgent({ keepAlive: true, keepAliveMsecs: KEEP_ALIVE_DELAY_MS, maxFreeSockets: 64 })

/** Whether an idle connection to the backend server at an address (IP:PORT) is open. */
export function hasIdleConnection (address: string): boolean {
  const [host = '', port = ''] = address.split(':')
  return (sharedAgent.freeSockets[sharedAgent.getName({ host, port: Number(port) })]?.length ?? 0) > 0
}

/** A request to a backend server. */
export interface BackendRequest {
  /** http://IP:PORT */
  readonly address: string
  readonly method: string
  readonly path: string
  /** With the ID by which the response is recognized. */
  readonly headers: Record<string, string> & { readonly [REQUEST_ID_HEADER]: string }
  readonly body: Buffer
  /** Unix milliseconds. */
  readonly deadline: number
  readonly signal: AbortSignal
  /**
   * Uses a new connection. The backend server can close a reused connection just as the request is written, and then it
   * is unknown whether the request was run.
   */
  readonly freshConnection: boolean
}

/** The head of a response. */
export interface ReceivedResponse {
  readonly kind: 'answering'
  readonly status: number
  readonly headers: IncomingHttpHeaders
  readonly message: IncomingMessage
  /** False when it belongs to another request, or may do so: a backend server may write an earlier response once more. */
  readonly isOwn: boolean
}

/** Result of sending a request, up to the head of the response. */
export type BackendResponse =
  | ReceivedResponse
  /** Nothing was sent. */
  | { readonly kind: 'notSent', readonly reason: string }
  /** May have been sent in part or in full; no response was received. */
  | { readonly kind: 'broken', readonly reason: string }
  /** Sent; what came is no response, as its status is invalid. Its backend server has not crashed. */
  | { readonly kind: 'invalid', readonly reason: string }
  | { readonly kind: 'deadline' }
  | { readonly kind: 'aborted', readonly sent: boolean }

/** Sends a request and resolves with the head of the response; never rejects. */
export function sendBackendRequest (request: BackendRequest): Promise<BackendResponse> {
  return new Promise((resolve) => {
    const url = new URL(request.path, request.address)
    let connected = false
    let finished = false
    const client: ClientRequest = httpRequest({
      host: url.hostname,
      port: url.port,
      method: request.method,
      path: `${url.pathname}${url.search}`,
      headers: { ...request.headers, 'content-length': String(request.body.length) },
      agent: request.freshConnection ? new Agent({ keepAlive: false }) : sharedAgent
    })
    const connectTimer = setTimeout(() => finish({ kind: 'notSent', reason: `no connection to ${request.address} within ${CONNECT_TIMEOUT_MS} ms` }), CONNECT_TIMEOUT_MS)
    const deadlineTimer = setTimeout(() => finish(connected ? { kind: 'deadline' } : { kind: 'notSent', reason: 'the deadline passed before a connection was made' }), Math.max(0, request.deadline - Date.now()))
    const abort = (): void => finish({ kind: 'aborted', sent: connected })

    function finish (result: BackendResponse): void {
      if (finished) return
      finished = true
      clearTimeout(connectTimer)
      clearTimeout(deadlineTimer)
      request.signal.removeEventListener('abort', abort)
      if (result.kind !== 'answering') client.destroy()
      resolve(result)
    }
    function markConnected (): void {
      connected = true
      clearTimeout(connectTimer)
    }

    request.signal.addEventListener('abort', abort, { once: true })
    client.on('socket', (socket) => {
      socket.setNoDelay(true)
      if (socket.connecting) socket.once('connect', markConnected)
      else markConnected()
    })
    receiveResponse(client, { onResponse: receive, onInvalid: (reason) => finish({ kind: 'invalid', reason }) })
    function receive (message: IncomingMessage): void {
      const match = matchResponse(request.headers[REQUEST_ID_HEADER], message.headers)
      const { socket } = message
      // A copy of a response without an ID must not meet the next request.
      if (match.kind === 'missing' && !isDelimitedByClose(message)) message.once('end', () => socket.destroy())
      const isOwn = match.kind === 'matches' || (match.kind === 'missing' && !client.reusedSocket)
      finish({ kind: 'answering', status: message.statusCode ?? 0, headers: message.headers, message, isOwn })
    }
    client.on('close', () => finish(connected ? { kind: 'broken', reason: 'the connection closed without a response' } : { kind: 'notSent', reason: 'the connection closed before it was made' }))
    client.on('error', (error) => {
      if (isMalformedStatus(error)) finish({ kind: 'invalid', reason: error.message })
      else finish(connected ? { kind: 'broken', reason: error.message } : { kind: 'notSent', reason: error.message })
    })
    if (request.signal.aborted) return abort()
    client.end(request.body)
  })
}

/** Result of reading a complete response body. */
export type BodyOutcome =
  | { readonly kind: 'whole', readonly body: Buffer }
  | { readonly kind: 'tooLarge', readonly reason: string }
  | { readonly kind: 'broken', readonly reason: string }
  | { readonly kind: 'deadline' }

/** How a response body is read. */
export interface BodyReading {
  readonly limitBytes: number
  /** Counts the bytes beyond the first ones until the body is read, and is released then; without one, they are limited by `limitBytes` only. */
  readonly holding?: Holding
  /** Unix milliseconds. */
  readonly deadline: number
  readonly signal?: AbortSignal
  /** Judges a body that is delimited by the end of its connection, once that was closed in order; without it, such a body is whole. */
  readonly judgeClose?: () => Promise<CloseVerdict>
}

/** Reads a complete response body; never returns part of one when the connection breaks or the caller aborts. */
export function readBody (message: IncomingMessage, { limitBytes, holding, deadline, signal, judgeClose }: BodyReading): Promise<BodyOutcome> {
  return new Promise((resolve) => {
    const resetDetection = detectReset(message)
    // Cleared at the end, as the listeners would keep its bytes until the message is closed.
    let collector: ByteCollector | undefined = createByteCollector(holding, limitBytes, UNSHARED_RESPONSE_BYTES)
    const timer = setTimeout(() => finish({ kind: 'deadline' }), Math.max(0, deadline - Date.now()))
    const abort = (): void => finish({ kind: 'broken', reason: 'the caller closed the connection' })
    function finish (outcome: BodyOutcome): void {
      clearTimeout(timer)
      signal?.removeEventListener('abort', abort)
      collector = undefined
      holding?.release()
      if (outcome.kind !== 'whole') message.destroy()
      resolve(outcome)
    }
    message.on('data', (chunk: Buffer) => {
      if (collector === undefined || collector.tryAppend(chunk)) return
      const size = collector.length + chunk.length
      finish({
        kind: 'tooLarge',
        reason: size > limitBytes ? `the response is larger than ${limitBytes} bytes` : `the responses of the backend server are too large together, this one with ${size} bytes`
      })
    })
    message.on('end', () => {
      if (collector === undefined) return
      const whole = { kind: 'whole', body: collector.bytes() } as const
      if (!message.complete) finish({ kind: 'broken', reason: 'the response was incomplete' })
      else if (resetDetection === undefined) finish(whole)
      else resetDetection.then(async (isReset) => finish(await judgeEnd(isReset, whole, judgeClose))).catch((error: unknown) => finish({ kind: 'broken', reason: String(error) }))
    })
    message.on('error', (error) => finish({ kind: 'broken', reason: error.message }))
    message.on('close', () => { if (!message.complete) finish({ kind: 'broken', reason: 'the connection closed before the response was complete' }) })
    signal?.addEventListener('abort', abort, { once: true })
    if (signal?.aborted === true) abort()
  })
}

/** Returns the outcome of a body that is delimited by the end of its connection, which has ended. */
async function judgeEnd (isReset: boolean, whole: BodyOutcome, judgeClose: BodyReading['judgeClose']): Promise<BodyOutcome> {
  if (isReset) return { kind: 'broken', reason: 'the response ended with a connection reset' }
  const verdict = await judgeClose?.()
  return verdict?.kind === 'broken' ? { kind: 'broken', reason: `the response ended with its backend server: ${verdict.because}` } : whole
}
