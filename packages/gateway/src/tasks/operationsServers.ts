import { createPipelineLimit, parseInPieces } from '@quinceshunt/caller-connections'
import { createSharedLimit } from '@quinceshunt/memory-limits'
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { DecisionLog } from './decisionLog.js'

/** Load balancers and collectors of metrics wait for each response. */
const MAX_UNANSWERED_REQUESTS = 4
/** Of all responses that their readers have not taken yet. */
const MAX_UNREAD_BYTES = 8_388_608
/** A request that is not complete by then, or a reader that takes nothing, loses its connection. */
const REQUEST_TIMEOUT_MS = 5000
const CONNECTIONS_CHECK_INTERVAL_MS = 1000
const MAX_HEADER_BYTES = 8192

/** What the servers show. */
export interface OperationsSource {
  /** Why the instance is not ready, or an empty string if it is. */
  readonly notReadyReason: () => string
  readonly metricsText: () => Promise<string>
  readonly log: DecisionLog
}

/** Creates a server whose connections have few requests and little time. */
function createLimitedServer (handle: (response: ServerResponse, sender: string) => void): Server {
  const pipelines = createPipelineLimit(MAX_UNANSWERED_REQUESTS)
  const server = createServer({ maxHeaderSize: MAX_HEADER_BYTES, headersTimeout: REQUEST_TIMEOUT_MS, requestTimeout: REQUEST_TIMEOUT_MS, connectionsCheckingInterval: CONNECTIONS_CHECK_INTERVAL_MS }, (request: IncomingMessage, response) => {
    const admission = pipelines.admit(request, response)
    if (admission.kind === 'ignored') {
      request.socket.destroy()
      return
    }
    request.resume()
    if (admission.kind === 'last') response.setHeader('connection', 'close')
    handle(response, request.socket.remoteAddress ?? '')
  })
  parseInPieces(server)
  server.setTimeout(REQUEST_TIMEOUT_MS)
  return server
}

/** Creates the server for readiness checks, without binding it. */
export function createReadinessServer ({ notReadyReason }: OperationsSource): Server {
  return createLimitedServer((response) => {
    const reason = notReadyReason()
    response.writeHead(reason === '' ? 200 : 503, { 'content-type': 'text/plain' })
    response.end(reason === '' ? 'ready\n' : `not ready: ${reason}\n`)
  })
}

/** Creates the server for metrics, without binding it. */
export function createMetricsServer ({ metricsText, log }: OperationsSource): Server {
  const unreadLimit = createSharedLimit(MAX_UNREAD_BYTES)
  /** Requests that arrive together share one text. */
  let rendering: Promise<string> | undefined

  function render (): Promise<string> {
    rendering ??= metricsText().finally(() => { rendering = undefined })
    return rendering
  }

  return createLimitedServer((response, sender) => {
    const { socket } = response.req
    render().then((text) => {
      const holding = unreadLimit.open(sender)
      if (!holding.tryAdd(Buffer.byteLength(text))) {
        log.decision('metricsRefused', { sender, reason: 'its readers have not taken earlier responses' })
        response.destroy()
        return
      }
      const release = (): void => {
        holding.release()
        socket.removeListener('close', release)
        response.removeListener('finish', release)
      }
      if (socket.destroyed) return release()
      // A response behind another one of a closed connection has no event of its own.
      socket.once('close', release)
      response.once('finish', release)
      response.end(text)
    }, (error: unknown) => {
      log.warning('metricsFailed', { reason: String(error) })
      response.destroy()
    })
  })
}
