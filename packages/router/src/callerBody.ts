import { createByteCollector, type ByteCollector, type Holding } from '@quinceshunt/memory-limits'
import type { IncomingMessage } from 'node:http'

/**
 * Outcome of reading a caller's request body; `memoryExhausted` means that its client account may hold no more bytes, `tooSlow`
 * that the deadline passed.
 */
export type CallerBody =
  | { readonly kind: 'whole', readonly body: Buffer }
  | { readonly kind: 'tooLarge' }
  | { readonly kind: 'memoryExhausted' }
  | { readonly kind: 'tooSlow' }
  | { readonly kind: 'gone' }

interface CallerBodyLimits {
  readonly limitBytes: number
  /** Counts the bytes; released here unless the body is whole. */
  readonly holding: Holding
  /** Unix milliseconds. */
  readonly deadline: number
}

/** Reads a caller's request body until a limit is exceeded; what arrives after that is dropped. */
export function readCallerBody (message: IncomingMessage, limits: CallerBodyLimits): Promise<CallerBody> {
  const { limitBytes, holding, deadline } = limits
  const contentLength = Number(message.headers['content-length'] ?? 0)
  if (contentLength > limitBytes) return Promise.resolve({ kind: 'tooLarge' })
  return new Promise((resolve) => {
    // Cleared at the end, as the listeners would keep its bytes until the message is closed.
    let collector: ByteCollector | undefined = createByteCollector(holding, limitBytes)
    let receivedBytes = 0
    const timer = setTimeout(() => finish({ kind: 'tooSlow' }), Math.max(0, deadline - Date.now()))
    function finish (outcome: CallerBody): void {
      clearTimeout(timer)
      message.removeAllListeners('data')
      if (collector === undefined) return
      collector = undefined
      if (outcome.kind !== 'whole') holding.release()
      resolve(outcome)
    }
    message.on('data', (chunk: Buffer) => {
      receivedBytes += chunk.length
      if (receivedBytes > limitBytes) return finish({ kind: 'tooLarge' })
      if (collector?.tryAppend(chunk) === false) finish({ kind: 'memoryExhausted' })
    })
    message.on('end', () => { if (collector !== undefined) finish({ kind: 'whole', body: collector.bytes() }) })
    message.on('error', () => finish({ kind: 'gone' }))
    message.on('close', () => finish({ kind: 'gone' }))
  })
}
