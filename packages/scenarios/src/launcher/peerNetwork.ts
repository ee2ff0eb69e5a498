import type { ConnectionPorts } from './connectionOwner.js'
import { startForwarder, type Forwarder, type LinkState } from './forwarder.js'
import { createOwnerLookup } from './ownerLookup.js'

/** Simulated network between instances: every router's peer listener is reached through a forwarder. */
export interface PeerNetwork {
  /** Starts the forwarder of one instance. */
  add (instanceId: string): Promise<Forwarder>
  /** Registers the process of an instance, so that its connections can be attributed to it. */
  setProcess (instanceId: string, processId: number): void
  /** Interrupts the links between two instances in both directions. */
  cut (one: string, other: string, state?: Exclude<LinkState, 'open'>): void
  /** Interrupts all links of an instance, including those from unknown processes. */
  isolate (instanceId: string, state?: Exclude<LinkState, 'open'>): void
  /** Bytes sent over all links in both directions so far. */
  bytes (): number
  /** Reopens all links. */
  heal (): void
  stop (): Promise<void>
}

/** Creates a network without instances. */
export function createPeerNetwork (): PeerNetwork {
  const forwarders = new Map<string, Forwarder>()
  const instanceIdByProcessId = new Map<number, string>()
  const pairStates = new Map<string, LinkState>()
  const isolationStates = new Map<string, LinkState>()
  const pairKey = (one: string, other: string): string => [one, other].sort().join(' ')

  const owners = createOwnerLookup(() => [...instanceIdByProcessId.keys()])

  async function findSource (ports: ConnectionPorts): Promise<string | undefined> {
    const processId = await owners.find(ports)
    return processId === undefined ? undefined : instanceIdByProcessId.get(processId)
  }

  function dependsOnSource (destination: string): boolean {
    return !isolationStates.has(destination) && (pairStates.size > 0 || isolationStates.size > 0)
  }

  function getState (source: string | undefined, destination: string): LinkState {
    const isolationState = isolationStates.get(destination) ?? (source === undefined ? undefined : isolationStates.get(source))
    return isolationState ?? (source === undefined ? undefined : pairStates.get(pairKey(source, destination))) ?? 'open'
  }

  function refresh (): void {
    for (const forwarder of forwarders.values()) forwarder.refresh()
  }

  return {
    add: async (instanceId) => {
      const forwarder = await startForwarder({ dependsOnSource: () => dependsOnSource(instanceId), findSource, getState: (source) => getState(source, instanceId) })
      forwarders.set(instanceId, forwarder)
      return forwarder
    },
    setProcess: (instanceId, processId) => {
      for (const [knownProcessId, knownInstanceId] of instanceIdByProcessId) if (knownInstanceId === instanceId) instanceIdByProcessId.delete(knownProcessId)
      instanceIdByProcessId.set(processId, instanceId)
    },
    cut: (one, other, state = 'refused') => {
      pairStates.set(pairKey(one, other), state)
      refresh()
    },
    isolate: (instanceId, state = 'refused') => {
      isolationStates.set(instanceId, state)
      refresh()
    },
    bytes: () => [...forwarders.values()].reduce((sum, forwarder) => sum + forwarder.bytes(), 0),
    heal: () => {
      pairStates.clear()
      isolationStates.clear()
      refresh()
    },
    stop: async () => { await Promise.all([...[...forwarders.values()].map((forwarder) => forwarder.stop()), owners.stop()]) }
  }
}
