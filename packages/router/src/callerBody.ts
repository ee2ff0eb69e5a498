import type { IncomingMessage } from 'node:http'

/** Result of reading a caller's body. */
export type CallerBody =
  | { readonly kind: 'whole', readonly body: Buffer }
  | { readonly kind: 'tooLarge' }
  | { readonly kind: 'tooSlow' }
  | { readonly kind: 'gone' }

/** Reads a caller's body up to a limit and a deadline (Unix milliseconds). */
export function readCallerBody (message: IncomingMessage, limitBytes: number, deadline: number): Promise<CallerBody> {
  const announced = Number(message.headers['content-length'] ?? 0)
  if (announced > limitBytes) return Promise.resolve({ kind: 'tooLarge' })
  return new Promise((resolve) => {
    const chunks: Buffer[] = []
    let size = 0
    const timer = setTimeout(() => finish({ kind: 'tooSlow' }), Math.max(0, deadline - Date.now()))
    function finish (outcome: CallerBody): void {
      clearTimeout(timer)
      message.removeAllListeners('data')
      resolve(outcome)
    }
    message.on('data', (chunk: Buffer) => {
      size += chunk.length
      if (size > limitBytes) return finish({ kind: 'tooLarge' })
      chunks.push(chunk)
    })
    message.on('end', () => finish({ kind: 'whole', body: Buffer.concat(chunks) }))
    message.on('error', () => finish({ kind: 'gone' }))
    message.on('close', () => finish({ kind: 'gone' }))
  })
}
