import type { IncomingMessage } from 'node:http'
import { steadyNow } from '../clock.js'
import type { RequestMemory } from './callersMemory.js'

/** Limits of a body. */
export interface BodyLimits {
  readonly maximumBytes: number
  /** Time at which it must have arrived, by `steadyNow`. */
  readonly deadline: number
  readonly memory: Pick<RequestMemory, 'tryAddPart'>
}

/** A body, or why there is none. */
export type ReceivedBody =
  | { readonly kind: 'received', readonly bytes: Buffer }
  | { readonly kind: 'tooLarge' }
  | { readonly kind: 'tooLate' }
  | { readonly kind: 'noMemory' }
  | { readonly kind: 'broken' }

/** Receives the body of a request. What comes after a failure is read and dropped, as the caller may read its answer only then. */
export function receiveBody (incoming: IncomingMessage, { maximumBytes, deadline, memory }: BodyLimits): Promise<ReceivedBody> {
  return new Promise((resolve) => {
    let parts: Buffer[] = []
    let bytes = 0
    let isOver = false
    const timer = setTimeout(() => finish({ kind: 'tooLate' }), Math.max(0, deadline - steadyNow()))

    function finish (body: ReceivedBody): void {
      if (isOver) return
      isOver = true
      parts = []
      clearTimeout(timer)
      resolve(body)
    }

    incoming.on('data', (part: Buffer) => {
      if (isOver) return
      bytes += part.length
      if (bytes > maximumBytes) finish({ kind: 'tooLarge' })
      else if (memory.tryAddPart(part.length)) parts.push(part)
      else finish({ kind: 'noMemory' })
    })
    incoming.on('end', () => finish({ kind: 'received', bytes: Buffer.concat(parts) }))
    incoming.on('error', () => finish({ kind: 'broken' }))
    incoming.on('close', () => finish({ kind: 'broken' }))
  })
}
