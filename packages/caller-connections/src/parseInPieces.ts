import type { IncomingMessage, Server } from 'node:http'
import type { Socket } from 'node:net'

/** A piece holds few heads. Smaller ones cost more processor time. */
const MIN_PIECE_BYTES = 512
/** Ends each head that Node accepts. */
const HEAD_END = Buffer.from('\r\n\r\n')

/**
 * Makes a server parse what it receives in pieces. Node parses all requests of a received chunk (up to 64 KiB) at once and keeps
 * them until their connection is closed, also when it is destroyed or paused at the first of them. A piece ends with an empty line, as
 * heads do; what follows is dropped once the connection is destroyed or discards its bytes, and waits while it is paused. Bodies of
 * a known length are not divided, as each piece costs processor time.
 * To be called before the server listens.
 */
export function parseInPieces (server: Server): void {
  /** The last request of each connection, until it is known to be complete. */
  const lastRequests = new WeakMap<Socket, IncomingMessage>()
  server.prependListener('request', (incoming: IncomingMessage) => { lastRequests.set(incoming.socket, incoming) })

  server.on('connection', (socket: Socket) => {
    const parsers = socket.listeners('data')
    socket.removeAllListeners('data')
    let unfinished: IncomingMessage | undefined
    /** At least so many bytes of its body are to come. */
    let bodyBytes = 0

    function notePiece (pieceBytes: number): void {
      const last = lastRequests.get(socket)
      if (last === undefined || last.complete) {
        lastRequests.delete(socket)
        unfinished = undefined
        bodyBytes = 0
        return
      }
      // Where in the piece its body begins is not known.
      bodyBytes = Math.max(0, (last === unfinished ? bodyBytes : Number(last.headers['content-length'] ?? 0)) - pieceBytes)
      unfinished = last
    }

    function receive (chunk: Buffer): void {
      let start = 0
      while (start < chunk.length) {
        const headEnd = chunk.indexOf(HEAD_END, start + Math.max(bodyBytes, MIN_PIECE_BYTES - HEAD_END.length))
        const end = headEnd === -1 ? chunk.length : headEnd + HEAD_END.length
        for (const parse of parsers) parse.call(socket, chunk.subarray(start, end))
        notePiece(end - start)
        start = end
        if (socket.destroyed || !socket.listeners('data').includes(receive)) return
        if (socket.isPaused()) break
      }
      if (start < chunk.length) socket.unshift(chunk.subarray(start))
    }
    // With a listener Node passes the bytes on to it instead of parsing them before.
    socket.on('data', receive)
  })
}
