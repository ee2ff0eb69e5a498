import type { Server } from 'node:http'
import type { Socket } from 'node:net'

/** Takes an accepted connection; `serve` hands it to the server. */
export type ConnectionInterceptor = (socket: Socket, serve: () => void) => void

/**
 * Gives accepted connections to `intercept` before the server parses anything of them. To be called once all listeners for
 * connections are added, and before the server listens.
 */
export function interceptConnections (server: Server, intercept: ConnectionInterceptor): void {
  const listeners = server.listeners('connection') as ((socket: Socket) => void)[]
  server.removeAllListeners('connection')
  server.on('connection', (socket: Socket) => {
    intercept(socket, () => { for (const listener of listeners) listener.call(server, socket) })
  })
}
