import type { Socket } from 'node:net'

/** Whether the caller at the other end of a connection still waits for responses. */
export interface CallerPresence {
  /** Time at which the end of the connection was read; undefined while the caller is there. */
  readonly leftAt: number | undefined
  /** Calls the listener once, when the caller leaves; returns a function that removes it. */
  onLeft (listener: () => void): () => void
}

/** Watches a caller's connection. A caller that closes only its sending side counts as gone, as Node ends such connections. */
export function watchCaller (socket: Socket, now: () => number): CallerPresence {
  const listeners = new Set<() => void>()
  let leftAt: number | undefined

  function recordLeft (): void {
    if (leftAt !== undefined) return
    leftAt = now()
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

/** Returns the presence of the caller at a connection; the requests of one connection share it. */
export function createCallerWatch (now: () => number): (socket: Socket) => CallerPresence {
  const callers = new WeakMap<Socket, CallerPresence>()
  return (socket) => {
    const known = callers.get(socket)
    if (known !== undefined) return known
    const presence = watchCaller(socket, now)
    callers.set(socket, presence)
    return presence
  }
}
