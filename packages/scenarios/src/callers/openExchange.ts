import { Agent, request, type ClientRequest, type IncomingHttpHeaders, type IncomingMessage } from 'node:http'

/** One connection for each request, as callers behind a balancer have. */
const agent = new Agent({ keepAlive: false })

/** A request of a caller. */
export interface CallerRequest {
  /** Base URL, http://IP:PORT. */
  readonly address: string
  readonly method: string
  readonly path: string
  readonly headers: Readonly<Record<string, string>>
  readonly body?: string | Buffer
  readonly signal?: AbortSignal | undefined
  /** Shared connections for load tools; default: one connection for each request. */
  readonly agent?: Agent | undefined
}

/** An answer's head, with its body still to come. */
export interface OpenExchange {
  readonly status: number
  readonly headers: IncomingHttpHeaders
  readonly message: IncomingMessage
  readonly client: ClientRequest
}

/** Sends a request and resolves with the head of the answer. Rejects when the connection breaks first. */
export function openExchange (caller: CallerRequest): Promise<OpenExchange> {
  return new Promise((resolve, reject) => {
    const url = new URL(caller.path, caller.address)
    const body = caller.body ?? ''
    const client = request(url, {
      method: caller.method,
      headers: { 'content-length': Buffer.byteLength(body), ...caller.headers },
      agent: caller.agent ?? agent,
      ...(caller.signal === undefined ? {} : { signal: caller.signal })
    })
    client.on('error', reject)
    client.on('response', (message) => resolve({ status: message.statusCode ?? 0, headers: message.headers, message, client }))
    client.end(body)
  })
}

/** Reads the rest of an answer as text. `whole` is false when the connection broke off. */
export async function readText (message: IncomingMessage): Promise<{ readonly text: string, readonly whole: boolean }> {
  const parts: Buffer[] = []
  try {
    for await (const part of message) parts.push(part as Buffer)
  } catch {
    return { text: Buffer.concat(parts).toString('utf8'), whole: false }
  }
  return { text: Buffer.concat(parts).toString('utf8'), whole: message.complete }
}
