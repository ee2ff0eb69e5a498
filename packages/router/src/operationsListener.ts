import { createServer, type Server } from 'node:http'
import type { Metrics } from '@quinceshunt/telemetry'

/** Data that the operations listener serves. */
export interface OperationsSource {
  /** Returns why the instance is not ready, or an empty string if it is. */
  readonly notReadyReason: () => string
  readonly metrics: Metrics
}

/** Creates the HTTP server for `/health/live`, `/health/ready` and `/metrics`. */
export function createOperationsListener (source: OperationsSource): Server {
  return createServer((request, response) => {
    const path = (request.url ?? '').split('?')[0]
    switch (path) {
      case '/health/live':
        response.end('live\n')
        return
      case '/health/ready': {
        const reason = source.notReadyReason()
        response.statusCode = reason === '' ? 200 : 503
        response.end(reason === '' ? 'ready\n' : `not ready: ${reason}\n`)
        return
      }
      case '/metrics':
        source.metrics.text().then((text) => {
          response.setHeader('content-type', 'text/plain; version=0.0.4')
          response.end(text)
        })
        return
      default:
        response.statusCode = 404
        response.end('not found\n')
    }
  })
}
