import { BackendServerKind, type BackendStandinSettings } from '@quinceshunt/schemas'
import { randomUUID } from 'node:crypto'
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import { createEngineService } from './engineService.js'
import { headerValue, readBody, sendError, sendJson } from './http.js'
import { createLoadHistory } from './loadHistory.js'
import { createPlainService } from './plainService.js'
import { createRunRecord } from './runRecord.js'

/** Exit code of a process that a crash marker ends. */
export const CRASH_EXIT_CODE = 70
/** Exceeds the clients' idle timeout, so that no request is sent on a connection that the server is closing. */
const KEEP_ALIVE_TIMEOUT_MILLISECONDS = 65_000

/** A listening backend server stand-in. */
export interface BackendServer {
  /** http://IP:PORT. */
  readonly address: string
  /** Reports the state `leaving` from now on; requests are still accepted, so that the record shows those sent too late. */
  markLeaving (): void
  stop (): Promise<void>
}

/** Starts a backend server of the configured kind. `crash` is called when a body contains the crash marker and must end the process. */
export async function startBackendServer (settings: BackendStandinSettings, crash: () => void): Promise<BackendServer> {
  const incarnation = `${settings.id}-${randomUUID()}`
  const now = (): number => Date.now()
  const load = createLoadHistory(settings.loadReportLagMilliseconds)
  const runs = createRunRecord()
  const createBackendService = settings.kind === BackendServerKind.ENGINE ? createEngineService : createPlainService
  const service = createBackendService({ settings, runs, now, onLoad: (running, queued) => load.record({ running, queued }, now()) })
  let leavingSince: number | undefined
  const state = (): string => leavingSince === undefined ? 'live' : 'leaving'

  async function handle (request: IncomingMessage, response: ServerResponse): Promise<void> {
    const url = new URL(request.url ?? '/', 'http://backend')
    if (request.method === 'GET' && url.pathname === '/health') return sendJson(response, 200, { status: 'ok', id: settings.id, incarnation, state: state() })
    if (request.method === 'GET' && url.pathname === '/load') {
      return sendJson(response, 200, { id: settings.id, incarnation, state: state(), slots: settings.slots, ...load.read(now()) })
    }
    if (request.method === 'GET' && url.pathname === '/record') {
      const kind = BackendServerKind[settings.kind]
      return sendJson(response, 200, { id: settings.id, kind, incarnation, state: state(), leavingSince: leavingSince ?? null, runs: runs.runs, ...service.recordFields() })
    }
    const requestId = headerValue(request, 'x-request-id')
    if (requestId !== '') response.setHeader('x-request-id', requestId)
    const body = await readBody(request)
    if (settings.crashMarker !== '' && body.includes(settings.crashMarker)) {
      if (settings.crashDelayMilliseconds === 0) return crash()
      setTimeout(crash, settings.crashDelayMilliseconds)
    }
    if (!service.handle(request, url, body, response)) sendError(response, 404, 'not_found', `${request.method} ${url.pathname} is not known`)
  }

  const server = createServer({ keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MILLISECONDS }, (request, response) => {
    handle(request, response).catch(() => response.destroy())
  })
  await listen(server, settings)
  const { address, port } = server.address() as AddressInfo
  return {
    address: `http://${address}:${port}`,
    markLeaving: () => { leavingSince ??= now() },
    stop: async () => {
      service.stop()
      await closeServer(server)
    }
  }
}

function listen (server: Server, settings: BackendStandinSettings): Promise<void> {
  return new Promise((resolve, reject) => {
    server.once('error', reject)
    server.listen(settings.listen?.port ?? 0, settings.listen?.host ?? '127.0.0.1', resolve)
  })
}

function closeServer (server: Server): Promise<void> {
  return new Promise((resolve) => {
    server.close(() => resolve())
    server.closeAllConnections()
  })
}
