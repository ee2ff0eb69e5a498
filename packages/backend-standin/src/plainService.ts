import { randomUUID } from 'node:crypto'
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { BackendService, ServiceContext } from './engineService.js'
import { headerValue, sendError, sendJson } from './http.js'

const MAX_DELAY_MILLISECONDS = 600_000

/** Creates a plain service that runs every request on arrival, counts runs and echoes the body. */
export function createPlainService (context: ServiceContext): BackendService {
  const { settings, now } = context
  const timers = new Set<NodeJS.Timeout>()
  let running = 0

  function adjustRunning (by: number): void {
    running += by
    context.onLoad(running, 0)
  }

  function handle (request: IncomingMessage, url: URL, body: string, response: ServerResponse): boolean {
    const delay = Number(url.searchParams.get('delay') ?? 0)
    if (!Number.isInteger(delay) || delay < 0 || delay > MAX_DELAY_MILLISECONDS) {
      sendError(response, 400, 'invalid_delay', `delay ${url.searchParams.get('delay')} is not allowed; expected 0 to ${MAX_DELAY_MILLISECONDS} milliseconds`)
      return true
    }
    const requestId = headerValue(request, 'x-request-id') || randomUUID()
    const idempotencyKey = headerValue(request, 'idempotency-key')
    const path = url.pathname
    const requestIdentity = JSON.stringify(idempotencyKey === '' ? ['request', requestId, path] : ['key', idempotencyKey, path])
    const run = context.runs.add(requestIdentity, { requestId, idempotencyKey, path, priority: headerValue(request, 'x-priority'), promptTokens: 0 }, now())
    run.startedAt = run.arrivedAt
    adjustRunning(1)

    // The run takes effect on arrival and continues after its caller disconnects, as in a real ledger service.
    const timer = setTimeout(() => {
      timers.delete(timer)
      run.endedAt = now()
      run.outcome = 'complete'
      adjustRunning(-1)
      if (url.searchParams.has('drop')) {
        response.destroy()
        return
      }
      response.setHeader('x-request-id', requestId)
      sendJson(response, 200, { service: settings.target, path, count: run.count, requestId, received: body })
    }, delay)
    timers.add(timer)
    return true
  }

  return {
    handle,
    recordFields: () => ({}),
    stop: () => {
      for (const timer of timers) clearTimeout(timer)
    }
  }
}
