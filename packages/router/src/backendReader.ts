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

/** A backend server's own report. */
export type BackendLoad = z.infer<typeof loadSchema>
/** One page of an engine's cache events. */
export type BackendCacheEvents = z.infer<typeof cacheEventsSchema>

/** Reads what backend servers report about themselves. */
export interface BackendReader {
  load (address: string, timeoutMilliseconds: number): Promise<BackendLoad>
  cacheEvents (address: string, after: number, timeoutMilliseconds: number): Promise<BackendCacheEvents>
  /** Closes idle connections. */
  close (): void
}

/** One request at a time goes to each backend server, beside a check after a broken connection. */
const CONNECTIONS_PER_BACKEND_SERVER = 2
/** Largest report accepted, bytes: 2,000 cache events of at most 100 bytes fit. */
const LONGEST_REPORT_BYTES = 1_048_576

/** Creates a reader with connections that are kept open between polls. */
export function createBackendReader (): BackendReader {
  const agent = new Agent({ keepAlive: true, maxSockets: CONNECTIONS_PER_BACKEND_SERVER })

  async function read<Schema extends z.ZodType> (schema: Schema, address: string, path: string, timeoutMilliseconds: number): Promise<z.infer<Schema>> {
    const text = await readText(agent, address, path, timeoutMilliseconds)
    const report = schema.safeParse(parseJson(text))
    if (!report.success) throw new BackendServerError(`${path} answered something else than expected: ${z.prettifyError(report.error)}`, { props: { step: `GET ${path}`, peer: address } })
    return report.data
  }

  return {
    load: (address, timeoutMilliseconds) => read(loadSchema, address, '/load', timeoutMilliseconds),
    cacheEvents: (address, after, timeoutMilliseconds) => read(cacheEventsSchema, address, `/cache-events?after=${after}`, timeoutMilliseconds),
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

function readText (agent: Agent, address: string, path: string, timeoutMilliseconds: number): Promise<string> {
  const props = { step: `GET ${path}`, peer: address }
  return new Promise((resolve, reject) => {
    const fail = (message: string, cause?: unknown): void => reject(new BackendServerError(message, { cause, props }))
    // The signal bounds the whole exchange; a socket timeout would only bound silence.
    const request = get(`${address}${path}`, { agent, signal: AbortSignal.timeout(timeoutMilliseconds) }, (response) => {
      const parts: Buffer[] = []
      let length = 0
      response.on('data', (part: Buffer) => {
        parts.push(part)
        length += part.length
        if (length > LONGEST_REPORT_BYTES) request.destroy(new Error(`report longer than ${LONGEST_REPORT_BYTES} bytes`))
      })
      response.on('end', () => {
        if (response.statusCode !== 200) return fail(`answered ${response.statusCode}`)
        resolve(Buffer.concat(parts).toString('utf8'))
      })
      response.on('error', (cause) => fail(`answer broke off: ${cause.message}`, cause))
    })
    request.on('error', (cause) => fail(`not reached: ${cause.message}`, cause))
  })
}
