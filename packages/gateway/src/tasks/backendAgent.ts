import { Agent, type ClientRequest, type IncomingMessage } from 'node:http'
import type { Socket } from 'node:net'

/** An idle connection is closed this long before the timeout that the backend server announced. */
const IDLE_TIMEOUT_MARGIN_MS = 700
/** Idle timeout when the backend server announces none. */
export const DEFAULT_IDLE_TIMEOUT_MS = 8000

/** Pools idle connections to one backend server and closes those that receive unsolicited bytes. */
export class BackendAgent extends Agent {
  readonly maximumIdleTimeout: number

  constructor (maximumIdleTimeout: number) {
    super({ keepAlive: true, scheduling: 'lifo', maxFreeSockets: 32 })
    this.maximumIdleTimeout = maximumIdleTimeout
  }

  override keepSocketAlive (socket: Socket): boolean {
    const response = (socket as Socket & { _httpMessage?: ClientRequest & { res?: IncomingMessage } })._httpMessage?.res
    const announcedSeconds = /timeout=(\d+)/.exec(String(response?.headers['keep-alive'] ?? ''))?.[1]
    const idleTimeout = announcedSeconds === undefined ? DEFAULT_IDLE_TIMEOUT_MS : Math.min(this.maximumIdleTimeout, Number(announcedSeconds) * 1000 - IDLE_TIMEOUT_MARGIN_MS)
    if (idleTimeout <= 0) return false
    socket.setKeepAlive(true, 1000)
    socket.setTimeout(idleTimeout)
    socket.once('timeout', destroyIdle)
    socket.on('data', destroyIdle)
    socket.ref()
    return true
  }

  override reuseSocket (socket: Socket, outgoing: ClientRequest): void {
    socket.removeListener('timeout', destroyIdle)
    socket.removeListener('data', destroyIdle)
    socket.setTimeout(0)
    super.reuseSocket(socket, outgoing)
  }
}

function destroyIdle (this: Socket): void {
  this.destroy()
}
