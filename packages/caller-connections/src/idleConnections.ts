import type { Server } from 'node:http'
import type { Socket } from 'node:net'
import { handleArrivedEvents } from './arrivedEvents.js'

/**
 * Closes a kept connection after its idle timeout only if no request has arrived on it. In a process that is behind, timers run
 * before connections are read, so that Node would close it with an unread request.
 */
export function keepConnectionsWithUnreadRequests (server: Server): void {
  server.on('timeout', (socket: Socket) => {
    closeUnlessRequested(socket).catch(() => socket.destroy())
  })
}

async function closeUnlessRequested (socket: Socket): Promise<void> {
  const { bytesRead } = socket
  await handleArrivedEvents()
  if (socket.bytesRead === bytesRead) socket.destroy()
}
