import { Agent, request, type ClientRequest, type IncomingHttpHeaders, type IncomingMessage } from 'node:http'

/** Opens one connection per request, like callers behind a load balancer. */
const singleUseAgent = new Agent({ keepAlive: false })

/** HTTP request to send. */
export interface HttpCall {
  /** Base URL, http://IP:PORT. */
  readonly address: string
  readonly method: string
  readonly path: string
  readonly headers: Readonly<Record<string, string>>
  readonly body?: string | Buffer
  readonly signal?: AbortSignal | undefined
  /** Agent with shared connections, for load generators; default: one connection per request. */
  readonly agent?: Agent | undefined
}

/** Status and headers of a response whose body has not been read yet. */
export interface HttpExchange {
  readonly status: number
  readonly headers: IncomingHttpHeaders
  readonly message: IncomingMessage
  readonly client: ClientRequest
}

/** Sends a request and resolves with the response headers. Rejects if the connection breaks before that. */
export function sendHttpCall (call: HttpCall): Promise<HttpExchange> {
  return new Promise((resolve, reject) => {
    const url = new URL(call.path, call.address)
    const body = call.body ?? ''
    const client = request(url, {
      method: call.method,
      headers: { 'content-length': Buffer.byteLength(body), ...call.headers },
      agent: call.agent ?? singleUseAgent,
      ...(call.signal === undefined ? {} : { signal: call.signal })
    })
    client.on('error', reject)
    client.on('response', (message) => resolve({ status: message.statusCode ?? 0, headers: message.headers, message, client }))
    client.end(body)
  })
}

/** Reads a response body as text. `complete` is false if the connection broke before its end. */
export async function readBody (message: IncomingMessage): Promise<{ readonly text: string, readonly complete: boolean }> {
  const chunks: Buffer[] = []
  try {
    for await (const chunk of message) chunks.push(chunk as Buffer)
  } catch {
    return { text: Buffer.concat(chunks).toString('utf8'), complete: false }
  }
  return { text: Buffer.concat(chunks).toString('utf8'), complete: message.complete }
}
