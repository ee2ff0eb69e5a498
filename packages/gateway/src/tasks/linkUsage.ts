import { subscribe, unsubscribe } from 'node:diagnostics_channel'
import type { Socket } from 'node:net'

/** With whom a connection is. */
export type LinkPurpose = 'callers' | 'backendServers' | 'peers' | 'store' | 'operations'

/** Bytes that were received and sent. */
export interface LinkBytes { received: number, sent: number }

/** Addresses, HOST:PORT, that tell the purpose of a connection. Peers listen on the same port at all instances. */
export interface LinkAddresses {
  readonly callersAddress: string
  readonly peerAddress: string
  readonly storeAddress: string
}

/** Counts the bytes on all connections of this process. */
export interface LinkUsage {
  /** Returns the bytes since the last call, without those of the layers below. */
  sample (): Readonly<Record<LinkPurpose, LinkBytes>>
  stop (): void
}

interface CountedSocket { readonly purpose: LinkPurpose, received: number, sent: number }

function noBytes (): Record<LinkPurpose, LinkBytes> {
  return { callers: { received: 0, sent: 0 }, backendServers: { received: 0, sent: 0 }, peers: { received: 0, sent: 0 }, store: { received: 0, sent: 0 }, operations: { received: 0, sent: 0 } }
}

function portOf (address: string): number {
  return Number(address.slice(address.lastIndexOf(':') + 1))
}

/** Starts to count. Node publishes each new socket, so that no part of the process has to register its connections. */
export function startLinkUsage (addresses: LinkAddresses): LinkUsage {
  const counted = new Map<Socket, CountedSocket>()
  const [callersPort, peerPort] = [portOf(addresses.callersAddress), portOf(addresses.peerAddress)]
  let bytes = noBytes()

  function purposeOfOutgoing ({ remoteAddress, remotePort }: Socket): LinkPurpose {
    if (`${remoteAddress ?? ''}:${remotePort ?? 0}` === addresses.storeAddress) return 'store'
    if (remotePort === peerPort) return 'peers'
    return remotePort === callersPort ? 'operations' : 'backendServers'
  }

  function purposeOfAccepted ({ localPort }: Socket): LinkPurpose {
    if (localPort === callersPort) return 'callers'
    return localPort === peerPort ? 'peers' : 'operations'
  }

  function add (socket: Socket, usage: CountedSocket): void {
    const { bytesRead, bytesWritten } = socket
    bytes[usage.purpose].received += bytesRead - usage.received
    bytes[usage.purpose].sent += bytesWritten - usage.sent
    usage.received = bytesRead
    usage.sent = bytesWritten
  }

  function track (socket: Socket, purpose: LinkPurpose): void {
    const usage = { purpose, received: 0, sent: 0 }
    counted.set(socket, usage)
    socket.once('close', () => {
      add(socket, usage)
      counted.delete(socket)
    })
  }

  const onOutgoing = (message: unknown): void => {
    const { socket } = message as { readonly socket: Socket }
    socket.once('connect', () => track(socket, purposeOfOutgoing(socket)))
  }
  const onAccepted = (message: unknown): void => {
    const { socket } = message as { readonly socket: Socket }
    track(socket, purposeOfAccepted(socket))
  }
  subscribe('net.client.socket', onOutgoing)
  subscribe('net.server.socket', onAccepted)

  return {
    sample: () => {
      for (const [socket, usage] of counted) add(socket, usage)
      const sampled = bytes
      bytes = noBytes()
      return sampled
    },
    stop: () => {
      unsubscribe('net.client.socket', onOutgoing)
      unsubscribe('net.server.socket', onAccepted)
    }
  }
}
