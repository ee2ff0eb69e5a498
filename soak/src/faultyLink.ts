import { connect, createServer, type AddressInfo, type Socket } from 'node:net'
import type { LinkFault } from './faultPlan.js'

const LINK_DELAY_MS = 250

/** A TCP proxy on loopback that injects faults into its connections. */
export interface FaultyLink {
  readonly address: string
  /** Current fault. Undefined ends it, but silenced connections stay paused, as after a real network partition. */
  fault: LinkFault | undefined
  close (): Promise<void>
}

/** Starts a link to the server at `target`. */
export async function startFaultyLink (target: string): Promise<FaultyLink> {
  const [host = '', port = ''] = target.split(':')
  const sockets = new Set<Socket>()

  function forward (from: Socket, to: Socket, direction: 'server' | 'client'): void {
    from.on('data', (chunk: Buffer) => {
      switch (link.fault) {
        case undefined:
          to.write(chunk)
          return
        case 'delay':
          from.pause()
          setTimeout(() => {
            to.write(chunk)
            from.resume()
          }, LINK_DELAY_MS)
          return
        case 'reset':
          from.resetAndDestroy()
          to.resetAndDestroy()
          return
        case 'silence':
          from.pause()
          return
        case 'cutTowardsServer':
          if (direction === 'server') from.pause()
          else to.write(chunk)
          return
        case 'cutTowardsClient':
          if (direction === 'client') from.pause()
          else to.write(chunk)
      }
    })
    from.on('end', () => to.end())
    from.on('error', () => to.destroy())
    from.on('close', () => {
      sockets.delete(from)
      to.destroy()
    })
  }

  const server = createServer({ allowHalfOpen: true }, (incoming) => {
    const outgoing = connect({ host, port: Number(port), allowHalfOpen: true })
    sockets.add(incoming).add(outgoing)
    forward(incoming, outgoing, 'server')
    forward(outgoing, incoming, 'client')
  })
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
  const link: FaultyLink = {
    address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
    fault: undefined,
    close: async () => {
      for (const socket of sockets) socket.destroy()
      await new Promise((resolve) => server.close(resolve))
    }
  }
  return link
}
