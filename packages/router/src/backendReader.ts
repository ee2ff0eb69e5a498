import { BackendServerError } from '@quinceshunt/telemetry'
import { Agent, get } from 'node:http'
import { z } from 'zod'

const loadSchema = z.object({
  id: z.string(),
  incarnation: z.string().min(1),
  state: z.enum(['live', 'leaving']),
  asOf: z.number(),
  running: z.number().min(0),
  queued: z.number().min(0),
  slots: z.number().min(1)
})
const cacheEventsSchema = z.object({
  events: z.array(z.object({ sequence: z.number().int(), kind: z.enum(['stored', 'evicted']), hash: z.string() })),
  next: z.number().int()
})

/** Load and state as reported by a backend server. */
export type BackendLoad = z.infer<typeof loadSchema>
/** One page of an engine's cache events. */
export type BackendCacheEvents = z.infer<typeof cacheEventsSchema>

/** Limits of the reading of one report. */
export interface ReportExchange {
  /** Called when a new connection is established. */
  readonly onConnected?: () => void
  /** Limits the whole exchange; a socket timeout would only limit inactivity. */
  readonly signal: AbortSignal
}

/** HTTP client for the reports of backend servers. */
export interface BackendReader {
  load (address: string, timeoutMilliseconds: number): Promise<BackendLoad>
  /** Uses a connection of its own, as a kept one may lead to a process that doesn't listen any more. */
  loadOnNewConnection (address: string, exchange: ReportExchange): Promise<BackendLoad>
  cacheEvents (address: string, after: number, timeoutMilliseconds: number): Promise<BackendCacheEvents>
  /** Closes idle connections. */
  close (): void
}

/** One for the poll in progress and one for a check after a broken connection. */
const MAX_CONNECTIONS_PER_BACKEND_SERVER = 2
/** Fits 2,000 cache events of at most 100 bytes each. */
const MAX_REPORT_BYTES = 1_048_576

/** Creates a reader that keeps connections open between polls. */
export function createBackendReader (): BackendReader {
  const agent = new Agent({ keepAlive: true, maxSockets: MAX_CONNECTIONS_PER_BACKEND_SERVER })

  async function read<Schema extends z.ZodType> (schema: Schema, usedAgent: Agent | false, address: string, path: string, exchange: ReportExchange): Promise<z.infer<Schema>> {
    const text = await readText(usedAgent, address, path, exchange)
    const report = schema.safeParse(parseJson(text))
    if (!report.success) throw new BackendServerError(`unexpected response from ${path}: ${z.prettifyError(report.error)}`, { props: { step: `GET ${path}`, peer: address } })
    return report.data
  }

  return {
    load: (address, timeoutMilliseconds) => read(loadSchema, agent, address, '/load', { signal: AbortSignal.timeout(timeoutMilliseconds) }),
    loadOnNewConnection: (address, exchange) => read(loadSchema, false, address, '/load', exchange),
    cacheEvents: (address, after, timeoutMilliseconds) => read(cacheEventsSchema, agent, address, `/cache-events?after=${after}`, { signal: AbortSignal.timeout(timeoutMilliseconds) }),
    close: () => agent.destroy()
  }
}

function parseJson (text: string): unknown {
  try {
    return JSON.parse(text)
  } catch {
    return undefined
  }
}

function readText (agent: Agent | false, address: string, path: string, { onConnected, signal }: ReportExchange): Promise<string> {
  const props = { step: `GET ${path}`, peer: address }
  return new Promise((resolve, reject) => {
    const fail = (message: string, cause?: unknown): void => reject(new BackendServerError(message, { cause, props }))
    const request = get(`${address}${path}`, { agent, signal }, (response) => {
      const parts: Buffer[] = []
      let length = 0
      response.on('data', (part: Buffer) => {
        parts.push(part)
        length += part.length
        if (length > MAX_REPORT_BYTES) request.destroy(new Error(`report exceeds ${MAX_REPORT_BYTES} bytes`))
      })
      response.on('end', () => {
        if (response.statusCode !== 200) return fail(`answered ${response.statusCode}`)
        resolve(Buffer.concat(parts).toString('utf8'))
      })
      response.on('error', (cause) => fail(`response interrupted: ${cause.message}`, cause))
    })
    if (onConnected !== undefined) request.on('socket', (socket) => { if (socket.connecting) socket.once('connect', onConnected) })
    request.on('error', (cause) => fail(`request failed: ${cause.message}`, cause))
  })
}
