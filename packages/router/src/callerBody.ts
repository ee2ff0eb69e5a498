import type { IncomingMessage } from 'node:http'

/** Outcome of reading a caller's request body; `tooSlow` means that the deadline passed. */
export type CallerBody =
  | { readonly kind: 'whole', readonly body: Buffer }
  | { readonly kind: 'tooLarge' }
  | { readonly kind: 'tooSlow' }
  | { readonly kind: 'gone' }

/** Reads a caller's request body until `limitBytes` or `deadline` (Unix milliseconds) is exceeded. */
export function readCallerBody (message: IncomingMessage, limitBytes: number, deadline: number): Promise<CallerBody> {
  const contentLength = Number(message.headers['content-length'] ?? 0)
  if (contentLength > limitBytes) return Promise.resolve({ kind: 'tooLarge' })
  return new Promise((resolve) => {
    const chunks: Buffer[] = []
    let receivedBytes = 0
    const timer = setTimeout(() => finish({ kind: 'tooSlow' }), Math.max(0, deadline - Date.now()))
    function finish (outcome: CallerBody): void {
      clearTimeout(timer)
      message.removeAllListeners('data')
      resolve(outcome)
    }
    message.on('data', (chunk: Buffer) => {
      receivedBytes += chunk.length
      if (receivedBytes > limitBytes) return finish({ kind: 'tooLarge' })
      chunks.push(chunk)
    })
    message.on('end', () => finish({ kind: 'whole', body: Buffer.concat(chunks) }))
    message.on('error', () => finish({ kind: 'gone' }))
    message.on('close', () => finish({ kind: 'gone' }))
  })
}
