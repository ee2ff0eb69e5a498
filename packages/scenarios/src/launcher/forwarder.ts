import { connect, createServer, type AddressInfo, type Server, type Socket } from 'node:net'

/** What happens to connections from one process to another. */
export type LinkState = 'open' | 'refused' | 'stalled'

/** Forwards TCP connections to one listener, so that links to it can be cut. */
export interface Forwarder {
  /** http://IP:PORT that others use. */
  readonly address: string
  /** Where connections go, http://IP:PORT. */
  setTarget (address: string): void
  /** Bytes forwarded in both directions so far. */
  bytes (): number
  /** Applies the states of links anew, after a change. */
  refresh (): void
  stop (): Promise<void>
}

/** A connection that is being forwarded. */
interface Link {
  readonly inbound: Socket
  /** Names the process that opened it; undefined when it is not one of the fleet. */
  readonly findSource: () => string | undefined
  outbound?: Socket
}

/**
 * Starts a forwarder; `findSource` names the process behind a client port. `stateOf` gives the state of a link, and asks
 * for its source only when it matters, since finding it takes milliseconds on a busy machine.
 */
export async function startForwarder (
  findSource: (clientPort: number, serverPort: number) => string | undefined,
  stateOf: (source: () => string | undefined) => LinkState
): Promise<Forwarder> {
  const links = new Set<Link>()
  let endedBytes = 0
  let target: URL | undefined
  const server = createServer({ pauseOnConnect: true }, (inbound) => {
    const { port } = server.address() as AddressInfo
    const link: Link = { inbound, findSource: once(() => findSource(inbound.remotePort ?? 0, port)) }
    links.add(link)
    inbound.on('error', () => undefined)
    inbound.on('close', () => end(link))
    apply(link)
  })

  function end (link: Link): void {
    if (links.delete(link)) endedBytes += bytesOf(link)
    link.inbound.destroy()
    link.outbound?.destroy()
  }

  function apply (link: Link): void {
    switch (stateOf(link.findSource)) {
      case 'refused': return end(link)
      case 'stalled': return stall(link)
      case 'open': return open(link)
    }
  }

  /** Data already sent stays in the sockets and is delivered when the link opens again, as after a real partition. */
  function stall (link: Link): void {
    if (link.outbound === undefined) return
    link.inbound.unpipe(link.outbound)
    link.outbound.unpipe(link.inbound)
    link.inbound.pause()
    link.outbound.pause()
  }

  function open (link: Link): void {
    if (target === undefined) return end(link)
    if (link.outbound === undefined) {
      link.outbound = connect(Number(target.port), target.hostname)
      link.outbound.setNoDelay(true)
      link.outbound.on('error', () => end(link))
      link.outbound.on('close', () => end(link))
    }
    // A second pipe to the same socket would write everything twice.
    link.inbound.unpipe(link.outbound)
    link.outbound.unpipe(link.inbound)
    link.inbound.pipe(link.outbound)
    link.outbound.pipe(link.inbound)
  }

  const address = await listen(server)
  return {
    address,
    setTarget: (value) => { target = new URL(value) },
    bytes: () => [...links].reduce((sum, link) => sum + bytesOf(link), endedBytes),
    refresh: () => links.forEach(apply),
    stop: () => new Promise((resolve) => {
      links.forEach(end)
      server.close(() => resolve())
    })
  }
}

function once<Value> (find: () => Value): () => Value {
  let found: { readonly value: Value } | undefined
  return () => {
    found ??= { value: find() }
    return found.value
  }
}

function bytesOf (link: Link): number {
  return link.inbound.bytesRead + link.inbound.bytesWritten
}

function listen (server: Server): Promise<string> {
  return new Promise((resolve, reject) => {
    server.once('error', reject)
    server.listen(0, '127.0.0.1', () => resolve(`http://127.0.0.1:${(server.address() as AddressInfo).port}`))
  })
}
