import type { Duplex } from 'node:stream'
import type { Socket } from 'node:net'
import { discardFurtherBytes } from './discardFurtherBytes.js'

/** Time, after all has been written, until the connection is closed although its caller still sends. */
const MAX_LINGER_MS = 5000

/**
 * Makes the connection linger when Node closes it after its last response. Closing it while its caller still sends would
 * reset it, and the caller would lose what it has not read yet (RFC 9112, section 9.6).
 */
export function lingerAfterLastResponse (socket: Socket): void {
  socket.destroySoon = () => {
    socket.end()
    linger(socket)
  }
}

/** Discards what arrives on a connection that is ended, until its caller closes it or the time for that is over. */
export function linger (socket: Duplex): void {
  if (socket.destroyed) return
  discardFurtherBytes(socket)
  const startTimer = (): void => {
    const timer = setTimeout(() => socket.destroy(), MAX_LINGER_MS)
    socket.once('close', () => clearTimeout(timer))
  }
  if (socket.writableFinished) startTimer()
  else socket.once('finish', startTimer)
}
