import { connect, createServer, type AddressInfo, type Socket } from 'node:net'
import type { LinkFault } from './faultPlan.js'

const LINK_DELAY_MS = 250
const RESTART_PAUSE_MS = 50

/** A TCP proxy on loopback that injects faults into its connections. */
export interface FaultyLink {
  readonly address: string
  /** Current fault. Undefined ends it, but silenced connections stay paused, as after a real network partition. */
  fault: LinkFault | undefined
  /** Closes all connections in order and refuses new ones, as the kernel does for a process that is killed. */
  crash (): void
  /** Takes connections again, at the same address. */
  restart (): Promise<void>
  close (): Promise<void>
}

/** Starts a link to the server at `target`. */
export async function startFaultyLink (target: string): Promise<FaultyLink> {
  const [host = '', port = ''] = target.split(':')
  const sockets = new Set<Socket>()

  function forward (from: Socket, to: Socket, direction: 'server' | 'client'): void {
    // After bytes that were lost no orderly close arrives, which would look like the end of a response without a length.
    let hasLost = false
    // A paused socket reports its end all the same.
    let delayed = Promise.resolve()
    const lose = (): void => {
      hasLost = true
      from.pause()
    }
    from.on('data', (chunk: Buffer) => {
      switch (link.fault) {
        case undefined:
          to.write(chunk)
          return
        case 'delay':
          from.pause()
          delayed = new Promise((resolve) => setTimeout(resolve, LINK_DELAY_MS)).then(() => {
            to.write(chunk)
            from.resume()
          })
          return
        case 'reset':
          from.resetAndDestroy()
          to.resetAndDestroy()
          return
        case 'silence':
          lose()
          return
        case 'cutTowardsServer':
          if (direction === 'server') lose()
          else to.write(chunk)
          return
        case 'cutTowardsClient':
          if (direction === 'client') lose()
          else to.write(chunk)
      }
    })
    from.on('end', () => { delayed.then(() => { if (!hasLost) to.end() }, () => {}) })
    from.on('error', () => to.resetAndDestroy())
    from.on('close', () => {
      sockets.delete(from)
      if (hasLost) to.resetAndDestroy()
      else to.destroy()
    })
  }

  const server = createServer({ allowHalfOpen: true }, (incoming) => {
    const outgoing = connect({ host, port: Number(port), allowHalfOpen: true })
    sockets.add(incoming).add(outgoing)
    forward(incoming, outgoing, 'server')
    forward(outgoing, incoming, 'client')
  })
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
  const ownPort = (server.address() as AddressInfo).port

  function listenAgain (): Promise<void> {
    return new Promise((resolve) => {
      // Another program may hold the port for a moment.
      server.once('error', () => setTimeout(() => resolve(listenAgain()), RESTART_PAUSE_MS))
      server.listen(ownPort, '127.0.0.1', () => {
        server.removeAllListeners('error')
        resolve()
      })
    })
  }

  const link: FaultyLink = {
    address: `127.0.0.1:${ownPort}`,
    fault: undefined,
    crash: () => {
      server.close()
      for (const socket of sockets) socket.destroy()
    },
    restart: listenAgain,
    close: async () => {
      for (const socket of sockets) socket.destroy()
      await new Promise((resolve) => server.close(resolve))
    }
  }
  return link
}
