import type { IncomingMessage, ServerResponse } from 'node:http'

/** Reads a request body as UTF-8. */
export async function readBody (request: IncomingMessage): Promise<string> {
  const parts: Buffer[] = []
  for await (const part of request) parts.push(part as Buffer)
  return Buffer.concat(parts).toString('utf8')
}

/** Returns the value of a single-valued request header; empty when it is missing. */
export function headerValue (request: IncomingMessage, name: string): string {
  const value = request.headers[name]
  return typeof value === 'string' ? value : ''
}

export function sendJson (response: ServerResponse, status: number, content: unknown): void {
  const text = JSON.stringify(content)
  response.writeHead(status, { 'content-type': 'application/json', 'content-length': Buffer.byteLength(text) })
  response.end(text)
}

/** Sends an error in OpenAI's format. */
export function sendError (response: ServerResponse, status: number, code: string, message: string): void {
  sendJson(response, status, { error: { message, type: status < 500 ? 'invalid_request_error' : 'server_error', code, param: null } })
}
