import { connect, createServer, type AddressInfo, type Server, type Socket } from 'node:net'

/** State of the link from one process to another. */
export type LinkState = 'open' | 'refused' | 'stalled'

/** TCP proxy in front of one listener, so that links to it can be interrupted. */
export interface Forwarder {
  /** URL that clients connect to, http://IP:PORT. */
  readonly address: string
  /** Sets the URL of the listener to forward to, http://IP:PORT. */
  setTarget (address: string): void
  /** Bytes forwarded in both directions so far. */
  bytes (): number
  /** Applies changed link states to open connections. */
  refresh (): void
  stop (): Promise<void>
}

/** Connection that is being forwarded. */
interface Link {
  readonly inbound: Socket
  /** Identifies the process that opened the connection; undefined if it does not belong to the fleet. */
  readonly findSource: () => string | undefined
  outbound?: Socket
}

/**
 * Starts a forwarder; `findSource` identifies the process that owns a client port. `getState` returns the state of a
 * link and calls `source` only if needed, since finding the process takes milliseconds on a busy machine.
 */
export async function startForwarder (
  findSource: (clientPort: number, serverPort: number) => string | undefined,
  getState: (source: () => string | undefined) => LinkState
): Promise<Forwarder> {
  const links = new Set<Link>()
  let closedLinkBytes = 0
  let target: URL | undefined
  const server = createServer({ pauseOnConnect: true }, (inbound) => {
    const { port } = server.address() as AddressInfo
    const link: Link = { inbound, findSource: memoize(() => findSource(inbound.remotePort ?? 0, port)) }
    links.add(link)
    inbound.on('error', () => undefined)
    inbound.on('close', () => closeLink(link))
    applyState(link)
  })

  function closeLink (link: Link): void {
    if (links.delete(link)) closedLinkBytes += countBytes(link)
    link.inbound.destroy()
    link.outbound?.destroy()
  }

  function applyState (link: Link): void {
    switch (getState(link.findSource)) {
      case 'refused': return closeLink(link)
      case 'stalled': return stallLink(link)
      case 'open': return openLink(link)
    }
  }

  /** Data already sent stays in the sockets and is delivered once the link reopens, as after a real partition. */
  function stallLink (link: Link): void {
    if (link.outbound === undefined) return
    link.inbound.unpipe(link.outbound)
    link.outbound.unpipe(link.inbound)
    link.inbound.pause()
    link.outbound.pause()
  }

  function openLink (link: Link): void {
    if (target === undefined) return closeLink(link)
    if (link.outbound === undefined) {
      link.outbound = connect(Number(target.port), target.hostname)
      link.outbound.setNoDelay(true)
      link.outbound.on('error', () => closeLink(link))
      link.outbound.on('close', () => closeLink(link))
    }
    // Piping twice to the same socket would write all data twice.
    link.inbound.unpipe(link.outbound)
    link.outbound.unpipe(link.inbound)
    link.inbound.pipe(link.outbound)
    link.outbound.pipe(link.inbound)
  }

  const address = await listen(server)
  return {
    address,
    setTarget: (value) => { target = new URL(value) },
    bytes: () => [...links].reduce((sum, link) => sum + countBytes(link), closedLinkBytes),
    refresh: () => links.forEach(applyState),
    stop: () => new Promise((resolve) => {
      links.forEach(closeLink)
      server.close(() => resolve())
    })
  }
}

function memoize<Value> (compute: () => Value): () => Value {
  let cached: { readonly value: Value } | undefined
  return () => {
    cached ??= { value: compute() }
    return cached.value
  }
}

function countBytes (link: Link): number {
  return link.inbound.bytesRead + link.inbound.bytesWritten
}

function listen (server: Server): Promise<string> {
  return new Promise((resolve, reject) => {
    server.once('error', reject)
    server.listen(0, '127.0.0.1', () => resolve(`http://127.0.0.1:${(server.address() as AddressInfo).port}`))
  })
}
