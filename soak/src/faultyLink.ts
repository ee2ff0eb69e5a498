import { connect, createServer, type AddressInfo, type Socket } from 'node:net'
import type { LinkFault } from './faultPlan.js'

/** Time by which a slow link holds bytes, milliseconds. */
const DELAY = 250

/** A proxy on loopback that harms connections on demand. */
export interface FaultyLink {
  readonly address: string
  /** Undefined heals it; connections that were silenced stay dead, as after a real cut. */
  fault: LinkFault | undefined
  close (): Promise<void>
}

/** Starts a link to a server. */
export async function startFaultyLink (target: string): Promise<FaultyLink> {
  const [host = '', port = ''] = target.split(':')
  const sockets = new Set<Socket>()

  function carry (from: Socket, to: Socket, towards: 'server' | 'client'): void {
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
          }, DELAY)
          return
        case 'reset':
          from.resetAndDestroy()
          to.resetAndDestroy()
          return
        case 'silence':
          from.pause()
          return
        case 'cutTowardsServer':
          if (towards === 'server') from.pause()
          else to.write(chunk)
          return
        case 'cutTowardsClient':
          if (towards === 'client') from.pause()
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
    carry(incoming, outgoing, 'server')
    carry(outgoing, incoming, 'client')
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
