import type { IncomingMessage } from 'node:http'

/** What marks the end of a response's body; `close` is the end of its connection. RFC 9112, section 6.3. */
export type BodyDelimiter = 'none' | 'length' | 'chunks' | 'close'

/** Returns what marks the end of a response's body. */
export function bodyDelimiter (response: IncomingMessage): BodyDelimiter {
  if (response.statusCode === 204 || response.statusCode === 304) return 'none'
  const transferEncoding = response.headers['transfer-encoding']
  if (transferEncoding !== undefined) return /(?:^|,)\s*chunked\s*$/i.test(transferEncoding) ? 'chunks' : 'close'
  return response.headers['content-length'] === undefined ? 'close' : 'length'
}

/** Returns true when the end of the connection marks the end of the body. */
export function isDelimitedByClose (response: IncomingMessage): boolean {
  return bodyDelimiter(response) === 'close'
}

/**
 * Returns undefined when the body has a length of its own; otherwise resolves, once the connection has ended, with true
 * when it was reset, so that the body is not complete. Node reports a reset that directly follows data as a normal end of
 * the stream; an empty write then still fails with the error of the reset. To be called before the end of the response.
 */
export function detectReset (response: IncomingMessage): Promise<boolean> | undefined {
  if (!isDelimitedByClose(response)) return undefined
  const { socket } = response
  return new Promise((resolve) => {
    socket.prependOnceListener('end', () => {
      socket.write(Buffer.alloc(0), (error) => resolve(error !== null && error !== undefined))
    })
    socket.once('close', (hadError) => resolve(hadError))
  })
}
