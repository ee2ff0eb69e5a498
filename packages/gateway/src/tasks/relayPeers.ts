import { steadyNow } from '../clock.js'
import { choosePeer, type PeerState } from '../decisions/peerChoice.js'
import type { Peer } from './fleetTask.js'

/** A peer that declined is asked again after this time: it may reach the backend servers again, or have less to do. */
const DECLINED_MS = 500
/** A peer that did not answer is asked again after this time. */
const UNANSWERED_MS = 1500
/** A peer that another one has named counts as one that takes requests for this time. */
const NAMED_MS = 1000

/** How a relayed request ended, as far as it tells of the peer. */
export type RelayResult =
  | { readonly kind: 'served' }
  /** `elsewhere` is the peer that it names. */
  | { readonly kind: 'declined', readonly elsewhere: string }
  | { readonly kind: 'unanswered' }

/** A relayed request in progress. */
export interface RelayInProgress {
  /** Takes over what the peer's answer, or its absence, tells of it. */
  learn (result: RelayResult): void
  end (): void
}

/** The peers to which this instance relays requests. */
export interface RelayPeers {
  /** Selects a peer for a request to a service, without those to which it was relayed before. */
  choose (service: string, excluded: readonly string[]): Peer | undefined
  /** True when `choose` would find one. */
  hasChoice (service: string, excluded: readonly string[]): boolean
  begin (peer: Peer, service: string): RelayInProgress
  /** A peer that serves relayed requests for a service now; empty without one. */
  knownGood (service: string): string
  /** When a peer that has declined is asked again. */
  retryAt (service: string): number
}

interface PeerRecord {
  inProgress: number
  declinedUntil: number
  servedAt: number
  namedUntil: number
}

/** Creates a record of no relayed request. */
export function createRelayPeers (options: { readonly peers: () => readonly Peer[], readonly failureDomain: string }): RelayPeers {
  /** By service and process, as a peer can be cut off from one service, and a new process from none. */
  const records = new Map<string, PeerRecord>()

  const keyOf = (service: string, incarnationId: string): string => `${service}\n${incarnationId}`

  function recordOf (service: string, incarnationId: string): PeerRecord {
    const key = keyOf(service, incarnationId)
    const known = records.get(key)
    if (known !== undefined) return known
    const record = { inProgress: 0, declinedUntil: 0, servedAt: 0, namedUntil: 0 }
    records.set(key, record)
    return record
  }

  function stateOf (peer: Peer, service: string, now: number): PeerState & { readonly peer: Peer } {
    const record = records.get(keyOf(service, peer.incarnationId))
    return {
      peer,
      instanceId: peer.instanceId,
      failureDomain: peer.failureDomain,
      inProgress: record?.inProgress ?? 0,
      declinedUntil: record?.declinedUntil ?? 0,
      servedAt: record?.servedAt ?? 0,
      isNamed: (record?.namedUntil ?? 0) > now
    }
  }

  function choose (service: string, excluded: readonly string[]): Peer | undefined {
    const now = steadyNow()
    const states = options.peers().filter(({ instanceId }) => !excluded.includes(instanceId)).map((peer) => stateOf(peer, service, now))
    return choosePeer(states, options.failureDomain, now, Math.random())?.peer
  }

  function forgetEnded (): void {
    const running = new Set(options.peers().map(({ incarnationId }) => incarnationId))
    for (const [key, { inProgress }] of records) if (inProgress === 0 && !running.has(key.slice(key.indexOf('\n') + 1))) records.delete(key)
  }

  return {
    choose,
    hasChoice: (service, excluded) => choose(service, excluded) !== undefined,
    begin: (peer, service) => {
      const record = recordOf(service, peer.incarnationId)
      record.inProgress++
      return {
        learn: (result) => {
          const now = steadyNow()
          switch (result.kind) {
            case 'served':
              record.servedAt = now
              record.declinedUntil = 0
              break
            case 'declined': {
              record.declinedUntil = now + DECLINED_MS
              record.servedAt = 0
              record.namedUntil = 0
              const named = options.peers().find(({ instanceId }) => instanceId === result.elsewhere)
              if (named !== undefined) recordOf(service, named.incarnationId).namedUntil = now + NAMED_MS
              break
            }
            case 'unanswered':
              record.declinedUntil = now + UNANSWERED_MS
              record.servedAt = 0
              record.namedUntil = 0
          }
        },
        end: () => {
          record.inProgress--
          forgetEnded()
        }
      }
    },
    knownGood: (service) => {
      const now = steadyNow()
      const good = options.peers().map((peer) => stateOf(peer, service, now)).filter(({ declinedUntil, servedAt }) => declinedUntil <= now && servedAt > 0)
      return good.sort((left, right) => right.servedAt - left.servedAt)[0]?.instanceId ?? ''
    },
    retryAt: (service) => {
      const now = steadyNow()
      const declined = options.peers().map((peer) => stateOf(peer, service, now).declinedUntil).filter((until) => until > now)
      return declined.length === 0 ? now + DECLINED_MS : Math.min(...declined)
    }
  }
}
