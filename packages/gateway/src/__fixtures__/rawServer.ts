import { createServer, type AddressInfo, type Server, type Socket } from 'node:net'

/** A TCP server that sends raw bytes, for malformed responses that HTTP libraries don't send. */
export interface RawServer {
  readonly address: string
  readonly connections: number
  close (): Promise<void>
}

/** Starts a raw server; `respond` is called once the headers of a request are complete. */
export async function startRawServer (respond: (socket: Socket, requestText: string) => void): Promise<RawServer> {
  const sockets = new Set<Socket>()
  let connections = 0
  const server: Server = createServer((socket) => {
    connections++
    sockets.add(socket)
    socket.on('error', () => sockets.delete(socket))
    socket.on('close', () => sockets.delete(socket))
    let text = ''
    socket.on('data', (chunk) => {
      text += chunk.toString()
      if (!text.includes('\r\n\r\n')) return
      const request = text
      text = ''
      respond(socket, request)
    })
  })
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
  return {
    address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
    get connections () { return connections },
    close: async () => {
      for (const socket of sockets) socket.destroy()
      await new Promise((resolve) => server.close(resolve))
    }
  }
}
