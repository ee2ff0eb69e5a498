import { steadyNow } from '../clock.js'
import type { PeerRoom } from '../decisions/forwardedShare.js'
import { parseRoom, type ConnectionRoomRequest } from './connectionRoom.js'
import type { Peer } from './fleetTask.js'
import { PEER_PATH, postToPeer } from './peerMessages.js'

/** Peers measure their room once a second. */
const REFRESH_MS = 1000
/** A peer has its room measured twice by then. */
const VALID_MS = 1500
/** The asking instance is full, so that it may read a reply late. */
const TIMEOUT_MS = 1000
/** Doubled with each reply that does not come or tells of no room, so that a partition and a load that all instances have cost few messages. */
const FIRST_PAUSE_MS = 1000
const MAX_PAUSE_MS = 4000
/** Peers asked, drawn where there are more. */
const MAX_PEERS = 32

/** Room at a peer for a second. */
export interface KnownRoom extends PeerRoom {
  readonly peer: Peer
  /** Notes that a connection is forwarded. */
  take (): void
}

/** What peers say of the connections that they take. */
export interface PeerRooms {
  /** Asks the peers, at most once a second. */
  refresh (): void
  current (): readonly KnownRoom[]
  /** The peer has declined or does not answer; it gets nothing until it is asked again. */
  forget (peer: Peer): void
  /** Number of peers. */
  readonly peers: number
}

interface RoomRecord {
  connections: number
  validUntil: number
  askAgainAt: number
  /** Questions in a row that brought no room. */
  withoutRoom: number
  isAsked: boolean
}

/** Knows of no room before the first replies. */
export function createPeerRooms (peers: () => readonly Peer[]): PeerRooms {
  /** By incarnation. */
  const records = new Map<string, RoomRecord>()
  let refreshAt = 0

  function recordOf ({ incarnationId }: Peer): RoomRecord {
    const known = records.get(incarnationId)
    if (known !== undefined) return known
    const record: RoomRecord = { connections: 0, validUntil: 0, askAgainAt: 0, withoutRoom: 0, isAsked: false }
    records.set(incarnationId, record)
    return record
  }

  async function ask (peer: Peer): Promise<void> {
    const record = recordOf(peer)
    if (record.isAsked || record.askAgainAt > steadyNow()) return
    record.isAsked = true
    const message: ConnectionRoomRequest = { to: peer.incarnationId }
    const outcome = await postToPeer(peer.address, PEER_PATH.connectionRoom, message, TIMEOUT_MS)
    const now = steadyNow()
    record.isAsked = false
    record.connections = outcome.kind === 'answered' ? parseRoom(outcome.reply) : 0
    record.validUntil = now + VALID_MS
    if (record.connections > 0) record.withoutRoom = 0
    else record.askAgainAt = now + Math.min(MAX_PAUSE_MS, FIRST_PAUSE_MS * 2 ** record.withoutRoom++)
  }

  function forgetStopped (): void {
    const running = new Set(peers().map(({ incarnationId }) => incarnationId))
    for (const incarnationId of records.keys()) if (!running.has(incarnationId)) records.delete(incarnationId)
  }

  return {
    refresh: () => {
      const now = steadyNow()
      if (now < refreshAt) return
      refreshAt = now + REFRESH_MS
      forgetStopped()
      for (const peer of drawnPeers(peers())) ask(peer).catch(() => {})
    },
    current: () => peers().flatMap((peer) => {
      const record = records.get(peer.incarnationId)
      if (record === undefined || record.connections <= 0 || record.validUntil <= steadyNow()) return []
      return [{ peer, connections: record.connections, take: () => { record.connections-- } }]
    }),
    forget: (peer) => { recordOf(peer).connections = 0 },
    get peers () { return peers().length }
  }
}

function drawnPeers (all: readonly Peer[]): readonly Peer[] {
  if (all.length <= MAX_PEERS) return all
  const first = Math.floor(Math.random() * all.length)
  return [...all.slice(first), ...all.slice(0, first)].slice(0, MAX_PEERS)
}
