import { create } from '@bufbuild/protobuf'
import { createClosedResponses } from '@quinceshunt/caller-connections'
import { systemClock } from '@quinceshunt/effects'
import { createSharedLimit, type SharedLimit } from '@quinceshunt/memory-limits'
import { SheetBackendServerSchema } from '@quinceshunt/schemas'
import { createLogger, createMetrics, extractTraceContext, startSpan, SpanKind } from '@quinceshunt/telemetry'
import { createServer, type AddressInfo, type Socket } from 'node:net'
import type { ServerResponse } from 'node:http'
import { hasIdleConnection } from '../backendClient.js'
import type { CallerExchange } from '../callersListener.js'
import { createEngineAttemptRunner, type EngineResponse } from '../engineAttempt.js'
import type { AttemptResult } from '../requestPath.js'
import type { RouterServices } from '../routerServices.js'
import { attemptServiceRequest, type ServiceResponse } from '../serviceAttempt.js'
import type { BackendService, Slot } from '../services.js'

const DEADLINE_MS = 5000
/** More than any response of these tests needs. */
const RESPONSE_LIMIT_BYTES = 100_000_000
export const CEILING_TOKENS = 1000

/** A request as received by a raw backend server. */
export interface RawRequest {
  readonly method: string
  readonly requestId: string
}

/** A backend server that writes raw bytes, for responses that HTTP libraries don't send. */
export interface RawBackend {
  readonly address: string
  readonly requests: readonly RawRequest[]
  /** How many connections it has accepted. */
  connections (): number
  respond: (socket: Socket, request: RawRequest) => void
  /** Answers a cancellation; no attempt is known by default. */
  respondToCancellation: (socket: Socket, request: RawRequest) => void
  /** Accepts no more connections; those that are open stay so. */
  stopListening (): void
  close (): Promise<void>
}

/** Starts a raw backend server; `respond` is called for each complete request but cancellations. */
export async function startRawBackend (): Promise<RawBackend> {
  const sockets = new Set<Socket>()
  const requests: RawRequest[] = []
  let connections = 0
  const server = createServer((socket) => {
    connections++
    sockets.add(socket)
    let text = ''
    socket.on('error', () => sockets.delete(socket))
    socket.on('close', () => sockets.delete(socket))
    socket.on('data', (bytes) => {
      text += bytes.toString()
      const end = text.indexOf('\r\n\r\n')
      const length = Number(/content-length: (\d+)/i.exec(text)?.[1] ?? 0)
      if (end === -1 || text.length < end + 4 + length) return
      const request = { method: text.split(' ', 1)[0] ?? '', requestId: /x-request-id: (\S+)/i.exec(text)?.[1] ?? '' }
      text = text.slice(end + 4 + length)
      if (request.method === 'DELETE') {
        backend.respondToCancellation(socket, request)
        return
      }
      requests.push(request)
      backend.respond(socket, request)
    })
  })
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
  const backend: RawBackend = {
    address: `http://127.0.0.1:${(server.address() as AddressInfo).port}`,
    requests,
    connections: () => connections,
    respond: () => {},
    respondToCancellation: (socket, { requestId }) => { socket.write(`HTTP/1.1 404 Not Found\r\nX-Request-Id: ${requestId}\r\nContent-Length: 0\r\n\r\n`) },
    stopListening: () => { server.close() },
    close: async () => {
      for (const socket of sockets) socket.destroy()
      await new Promise((resolve) => server.close(resolve))
    }
  }
  return backend
}

function buildServices (bufferedResponses = createSharedLimit(RESPONSE_LIMIT_BYTES), checkForCrash = async (): Promise<boolean> => false): RouterServices {
  return {
    clock: systemClock,
    logger: createLogger({ name: 'test', instanceId: 'router', level: 'fatal' }),
    metrics: createMetrics(),
    bufferedResponses,
    closedResponses: createClosedResponses({ hasOpen: hasIdleConnection, eventLoopDelay: () => 0 }),
    inFlight: { add: () => ({ remove: () => {}, markAnswered: () => {} }) },
    promptParts: { recordAnswer: () => {} },
    backends: { confirmCrash: async () => false },
    crashes: { checkForCrash }
  } as unknown as RouterServices
}

/** Builds the exchange of a caller and the text that it receives. */
function buildExchange (): { readonly exchange: CallerExchange, readonly received: () => string } {
  let text = ''
  const response = { headersSent: false, setHeader: () => {}, write: (chunk: string) => { text += chunk; return true }, once: () => {} } as unknown as ServerResponse
  const traceContext = extractTraceContext({})
  const exchange = {
    request: { headers: {} },
    response,
    requestId: 'request',
    caller: { account: { id: 'school' } },
    idempotencyKey: undefined,
    deadline: Date.now() + DEADLINE_MS,
    receivedAt: Date.now(),
    signal: new AbortController().signal,
    span: startSpan('test', SpanKind.SERVER, traceContext),
    traceContext
  } as unknown as CallerExchange
  return { exchange, received: () => text }
}

function buildCommand (address: string, resumeOffset?: number): { readonly kind: 'attempt', readonly slot: Slot, readonly resumeOffset: number | undefined } {
  return { kind: 'attempt', slot: { backendServer: buildServer(address), incarnation: '', release: () => {} }, resumeOffset }
}

function buildServer (address: string): ReturnType<typeof create<typeof SheetBackendServerSchema>> {
  return create(SheetBackendServerSchema, { id: 'server', target: 'painter', address, slots: 2 })
}

/** Runs one attempt of a chat request and, when it is interrupted and `resumes`, a second one that resumes its stream. */
export async function attemptChat (address: string, options: { readonly streamed?: boolean, readonly resumes?: boolean, readonly bufferedResponses?: SharedLimit, readonly checkForCrash?: () => Promise<boolean> } = {}): Promise<{ readonly result: AttemptResult<EngineResponse>, readonly text: string }> {
  const { exchange, received } = buildExchange()
  const progress = { contentTokens: 0, started: false, usageEvent: undefined }
  const run = createEngineAttemptRunner({
    services: buildServices(options.bufferedResponses, options.checkForCrash),
    exchange,
    requestId: newRequestName(),
    fingerprint: 'fingerprint',
    sharedParts: [],
    ceilingTokens: CEILING_TOKENS,
    priority: 'interactive',
    streamed: options.streamed ?? false,
    includeUsage: false,
    body: Buffer.from('{}'),
    progress,
    onToken: () => {}
  })
  let result = await run(buildCommand(address), 1)
  if (options.resumes === true && result.kind === 'failed') result = await run(buildCommand(address, progress.contentTokens), 2)
  return { result, text: received() }
}

/** Runs one attempt of a call of a service. */
export async function attemptCall (address: string, idempotent: boolean, bufferedResponses?: SharedLimit, checkForCrash?: () => Promise<boolean>): Promise<AttemptResult<ServiceResponse>> {
  const { exchange } = buildExchange()
  const request = { services: buildServices(bufferedResponses, checkForCrash), exchange, requestId: newRequestName(), fingerprint: 'fingerprint', idempotent, priceTokens: 5, method: 'POST', path: '/', body: Buffer.from('body'), signal: exchange.signal }
  return await attemptServiceRequest(request, buildCommand(address), 1)
}

/** Runs one attempt of a call in a slot of a backend task. */
export async function attemptCallInSlot (backends: BackendService, slot: Slot, { idempotent, path = '/' }: { readonly idempotent: boolean, readonly path?: string }): Promise<AttemptResult<ServiceResponse>> {
  const { exchange } = buildExchange()
  const request = { services: { ...buildServices(), backends }, exchange, requestId: newRequestName(), fingerprint: 'fingerprint', idempotent, priceTokens: 5, method: 'POST', path, body: Buffer.from('body'), signal: exchange.signal }
  return await attemptServiceRequest(request, { kind: 'attempt', slot, resumeOffset: undefined }, 1)
}

let requestNames = 0
function newRequestName (): string {
  return `request-${++requestNames}`
}
