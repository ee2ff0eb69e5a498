import type { Duplex } from 'node:stream'

/** Reads on without parsing, so that no further request is taken and the end of the connection is still noticed. */
export function discardFurtherBytes (socket: Duplex): void {
  if (socket.destroyed) return
  socket.removeAllListeners('data')
  socket.on('data', () => {})
  socket.resume()
}
