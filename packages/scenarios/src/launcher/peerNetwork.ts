import { findConnectionOwner } from './connectionOwner.js'
import { startForwarder, type Forwarder, type LinkState } from './forwarder.js'

/** Links between instances: every router's peer listener is reached through a forwarder. */
export interface PeerNetwork {
  /** Starts the forwarder of one instance. */
  add (instanceId: string): Promise<Forwarder>
  /** Tells which process an instance is, so that connections can be attributed to it. */
  setProcess (instanceId: string, processId: number): void
  /** Cuts the links between two instances in both directions. */
  cut (one: string, other: string, state?: Exclude<LinkState, 'open'>): void
  /** Cuts all links of an instance, also those from processes that are not known. */
  isolate (instanceId: string, state?: Exclude<LinkState, 'open'>): void
  /** Bytes sent over all links in both directions so far. */
  bytes (): number
  /** Opens all links. */
  heal (): void
  stop (): Promise<void>
}

/** Creates a network without instances. */
export function createPeerNetwork (): PeerNetwork {
  const forwarders = new Map<string, Forwarder>()
  const processes = new Map<number, string>()
  const pairs = new Map<string, LinkState>()
  const isolated = new Map<string, LinkState>()
  const pairKey = (one: string, other: string): string => [one, other].sort().join(' ')

  function findSource (clientPort: number, serverPort: number): string | undefined {
    const owner = findConnectionOwner(clientPort, serverPort, [...processes.keys()])
    return owner === undefined ? undefined : processes.get(owner)
  }

  function stateOf (findSource: () => string | undefined, destination: string): LinkState {
    if (pairs.size === 0 && isolated.size === 0) return 'open'
    const source = isolated.has(destination) ? undefined : findSource()
    const whole = isolated.get(destination) ?? (source === undefined ? undefined : isolated.get(source))
    return whole ?? (source === undefined ? undefined : pairs.get(pairKey(source, destination))) ?? 'open'
  }

  function refresh (): void {
    for (const forwarder of forwarders.values()) forwarder.refresh()
  }

  return {
    add: async (instanceId) => {
      const forwarder = await startForwarder(findSource, (findSourceOf) => stateOf(findSourceOf, instanceId))
      forwarders.set(instanceId, forwarder)
      return forwarder
    },
    setProcess: (instanceId, processId) => {
      for (const [known, name] of processes) if (name === instanceId) processes.delete(known)
      processes.set(processId, instanceId)
    },
    cut: (one, other, state = 'refused') => {
      pairs.set(pairKey(one, other), state)
      refresh()
    },
    isolate: (instanceId, state = 'refused') => {
      isolated.set(instanceId, state)
      refresh()
    },
    bytes: () => [...forwarders.values()].reduce((sum, forwarder) => sum + forwarder.bytes(), 0),
    heal: () => {
      pairs.clear()
      isolated.clear()
      refresh()
    },
    stop: async () => { await Promise.all([...forwarders.values()].map((forwarder) => forwarder.stop())) }
  }
}
