import { connect, createServer, type AddressInfo, type Socket } from 'node:net'

/** A forwarder before one backend server, which accepts connections also while the backend server is gone. */
export interface Forwarder {
  readonly address: string
  close (): Promise<void>
}

/** How a forwarder behaves; by default it does nothing late. */
export interface ForwarderOptions {
  /** Until it opens its own connection for one that it has accepted. */
  readonly connectDelayMilliseconds?: number
  /** Until it ends a connection that was idle when the backend server ended its own one. */
  readonly idleEndDelayMilliseconds?: number
}

const COMPLETE_RESPONSE = /^content-length:/im

/** Starts a forwarder to an address. An end on either side is passed on as an orderly one, as forwarders do that know of no resets. */
export async function startForwarder (target: string, { connectDelayMilliseconds = 0, idleEndDelayMilliseconds = 0 }: ForwarderOptions = {}): Promise<Forwarder> {
  const { hostname, port } = new URL(target)
  const sockets = new Set<Socket>()

  function register (socket: Socket): void {
    sockets.add(socket)
    socket.on('error', () => socket.destroy())
    socket.on('close', () => sockets.delete(socket))
  }

  function forward (incoming: Socket): void {
    const outgoing = connect({ host: hostname, port: Number(port) })
    let isIdle = false
    register(outgoing)
    incoming.on('data', (bytes) => {
      isIdle = false
      outgoing.write(bytes)
    })
    incoming.on('close', () => outgoing.end())
    outgoing.on('data', (bytes) => {
      isIdle = COMPLETE_RESPONSE.test(bytes.toString())
      incoming.write(bytes)
    })
    outgoing.on('close', () => setTimeout(() => incoming.end(), isIdle ? idleEndDelayMilliseconds : 0).unref())
  }

  const server = createServer((incoming) => {
    register(incoming)
    incoming.pause()
    setTimeout(() => {
      forward(incoming)
      incoming.resume()
    }, connectDelayMilliseconds)
  })
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
  return {
    address: `http://127.0.0.1:${(server.address() as AddressInfo).port}`,
    close: async () => {
      for (const socket of sockets) socket.destroy()
      await new Promise((resolve) => server.close(resolve))
    }
  }
}
