import type { Socket } from 'node:net'
import { steadyNow } from '../clock.js'

/** Whether the caller at the other end of a connection still waits for responses. */
export interface CallerPresence {
  /** Time, by `steadyNow`, at which the end of the connection was read; undefined while the caller is there. */
  readonly leftAt: number | undefined
  /** Calls the listener once, when the caller leaves; returns a function that removes it. */
  onLeft (listener: () => void): () => void
}

/** Watches a caller's connection. A caller that closes only its sending side counts as gone, as Node ends such connections. */
export function watchCaller (socket: Socket): CallerPresence {
  const listeners = new Set<() => void>()
  let leftAt: number | undefined

  function recordLeft (): void {
    if (leftAt !== undefined) return
    leftAt = steadyNow()
    for (const listener of [...listeners]) listener()
    listeners.clear()
  }

  for (const event of ['end', 'error', 'close']) socket.once(event, recordLeft)
  return {
    get leftAt () { return leftAt },
    onLeft: (listener) => {
      listeners.add(listener)
      return () => { listeners.delete(listener) }
    }
  }
}
