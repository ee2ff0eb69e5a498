import { connect, createServer, type AddressInfo, type Server, type Socket } from 'node:net'
import type { ConnectionPorts } from './connectionOwner.js'

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

/** Who opened a connection: found only when needed, since finding the process takes long on a busy machine. */
type LinkSource =
  | { readonly kind: 'unknown' }
  | { readonly kind: 'sought' }
  /** The instance ID is undefined if the process does not belong to the fleet. */
  | { readonly kind: 'found', readonly instanceId: string | undefined }

/** Connection that is being forwarded. */
interface Link {
  readonly inbound: Socket
  readonly ports: ConnectionPorts
  source: LinkSource
  outbound?: Socket
}

/** Decides about the links to one listener. */
export interface LinkPolicy {
  /** Whether the state of links depends on who opened them. */
  dependsOnSource (): boolean
  /** Identifies the instance that opened a connection; undefined if it does not belong to the fleet. */
  findSource (ports: ConnectionPorts): Promise<string | undefined>
  /** State of the links from an instance; undefined for processes outside the fleet or if states don't depend on the source. */
  getState (source: string | undefined): LinkState
}

/** Policy of a forwarder whose links are never interrupted. */
export const OPEN_LINKS: LinkPolicy = { dependsOnSource: () => false, findSource: async () => undefined, getState: () => 'open' }

/** Starts a forwarder; data waits on links whose source is needed and not yet found. */
export async function startForwarder (policy: LinkPolicy): Promise<Forwarder> {
  const links = new Set<Link>()
  let closedLinkBytes = 0
  let target: URL | undefined
  const server = createServer({ pauseOnConnect: true }, (inbound) => {
    const { port } = server.address() as AddressInfo
    const link: Link = { inbound, ports: { client: inbound.remotePort ?? 0, server: port }, source: { kind: 'unknown' } }
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
    if (!links.has(link)) return
    if (link.source.kind !== 'found' && policy.dependsOnSource()) {
      stallLink(link)
      return seekSource(link)
    }
    switch (policy.getState(link.source.kind === 'found' ? link.source.instanceId : undefined)) {
      case 'refused': return closeLink(link)
      case 'stalled': return stallLink(link)
      case 'open': return openLink(link)
    }
  }

  function seekSource (link: Link): void {
    if (link.source.kind !== 'unknown') return
    link.source = { kind: 'sought' }
    policy.findSource(link.ports).then((instanceId) => {
      link.source = { kind: 'found', instanceId }
      applyState(link)
    }, () => closeLink(link))
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

function countBytes (link: Link): number {
  return link.inbound.bytesRead + link.inbound.bytesWritten
}

function listen (server: Server): Promise<string> {
  return new Promise((resolve, reject) => {
    server.once('error', reject)
    server.listen(0, '127.0.0.1', () => resolve(`http://127.0.0.1:${(server.address() as AddressInfo).port}`))
  })
}
