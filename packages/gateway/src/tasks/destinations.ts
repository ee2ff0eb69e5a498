import { areAllLostForGood, isReachable } from '../decisions/backendReach.js'
import type { Choice } from '../decisions/backendChoice.js'
import type { BackendState } from '../decisions/backendState.js'
import { findAvailableBackends } from './availableBackends.js'
import type { Peer } from './fleetTask.js'
import type { GatewayContext } from './gatewayContext.js'
import type { RequestState } from './requestTask.js'

/** Where a request is sent next. */
export type Destination =
  /** `isPermitted`: a permit was granted for the send. */
  | { readonly kind: 'backend', readonly choice: Choice, readonly isPermitted: boolean }
  /** Another instance serves it, as this one reaches no backend server that can. */
  | { readonly kind: 'peer', readonly peer: Peer }

/** Prefix of the IDs by which a plan names peers, beside those of backend servers. */
const PEER_PREFIX = 'peer/'
/** Backend servers to which a request could not connect before it is relayed: kept connections to the others may live on. */
const FAILED_CONNECTIONS_BEFORE_RELAY = 2
const MAX_LOAD_AGE_MS = 2000

/** ID of a destination in a plan. */
export function destinationIdOf (destination: Destination): string {
  return destination.kind === 'backend' ? destination.choice.state.entry.id : `${PEER_PREFIX}${destination.peer.instanceId}`
}

/** Instances to which a request was relayed, among the IDs that a plan excludes. */
export function excludedPeers (excluded: readonly string[]): readonly string[] {
  return excluded.flatMap((id) => id.startsWith(PEER_PREFIX) ? [id.slice(PEER_PREFIX.length)] : [])
}

/** Whether a peer serves a request in place of this instance. */
export type RelayNeed =
  | 'none'
  /** A peer is the better choice, if one takes requests: several backend servers accepted no connection. */
  | 'preferred'
  /** No backend server that may serve the request can be reached from here. */
  | 'required'

/** Returns whether a request is to be relayed. One that a peer has relayed is relayed no further. */
export function relayNeed (context: GatewayContext, state: RequestState, now: number): RelayNeed {
  if (state.relay !== undefined || context.fleet.peers.length === 0) return 'none'
  if (state.isRelayed) return 'required'
  const available = findAvailableBackends(context, state, [])
  if (available.kind === 'none') return 'none'
  // While all may only be silent and no peer does better, a request is better off waiting there.
  if (reachableBackends(context, available.backends, now).length === 0) {
    const doesPeerTakeRequests = context.relayPeers.hasChoice(state.service, excludedPeers(state.triedBackendIds))
    return doesPeerTakeRequests || areAllLostForGood(available.backends, now) ? 'required' : 'none'
  }
  return state.failedConnections >= FAILED_CONNECTIONS_BEFORE_RELAY && !available.backends.some((backend) => isFull(backend, now)) ? 'preferred' : 'none'
}

/** Selects the backend servers to which a request can be sent. */
export function reachableBackends ({ connections }: GatewayContext, backends: readonly BackendState[], now: number): readonly BackendState[] {
  return backends.filter((backend) => isReachable(backend, connections.hasIdle(backend.entry.address), now))
}

/** A full backend server resets connections, which is no partition; its peers fare no better. */
function isFull ({ reportedLoad }: BackendState, now: number): boolean {
  return reportedLoad !== undefined && now - reportedLoad.receivedAt < MAX_LOAD_AGE_MS && (reportedLoad.waiting > 0 || reportedLoad.running >= reportedLoad.slots)
}
