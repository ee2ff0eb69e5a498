import { steadyNow } from '../clock.js'
import type { PeerRoom } from '../decisions/forwardedShare.js'
import { drawPeersToAsk } from '../decisions/peersToAsk.js'
import { parseRoom, type ConnectionRoomRequest } from './connectionRoom.js'
import type { Peer } from './fleetTask.js'
import { PEER_PATH, postToPeer } from './peerMessages.js'

/** Peers measure their room once a second. */
const ASK_INTERVAL_MS = 1000
/** A peer has its room measured twice by then. */
const VALID_MS = 1500
/** The asking instance is full, so that it may read a reply late. */
const TIMEOUT_MS = 1000
/** Doubled with each reply that does not come or tells of no room, so that a partition and a load that all instances have cost few messages. */
const FIRST_PAUSE_MS = 1000
const MAX_PAUSE_MS = 4000
/** Peers are asked for this many times what is needed: other full instances use the same room, and replies come late to a full instance. */
const SPARE_FACTOR = 2
/** Room that is expected of a peer before its first reply. */
const ASSUMED_CONNECTIONS = 8

/** Room at a peer for a second. */
export interface KnownRoom extends PeerRoom {
  readonly peer: Peer
  /** Notes that a connection is forwarded. */
  take (): void
}

/** What peers say of the connections that they take. */
export interface PeerRooms {
  /** Asks as many peers as `neededConnections` in the next second need beyond the known room, each of them at most once a second. */
  ask (neededConnections: number): void
  current (): readonly KnownRoom[]
  /** The peer has declined or does not answer; it gets nothing until it is asked again. */
  forget (peer: Peer): void
  /** Number of peers. */
  readonly peers: number
}

interface RoomRecord {
  connections: number
  /** What the last reply said. */
  lastReply: number
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

  function recordOf ({ incarnationId }: Peer): RoomRecord {
    const known = records.get(incarnationId)
    if (known !== undefined) return known
    const record: RoomRecord = { connections: 0, lastReply: ASSUMED_CONNECTIONS, validUntil: 0, askAgainAt: 0, withoutRoom: 0, isAsked: false }
    records.set(incarnationId, record)
    return record
  }

  async function askPeer (peer: Peer, record: RoomRecord): Promise<void> {
    const askedAt = steadyNow()
    record.isAsked = true
    const message: ConnectionRoomRequest = { to: peer.incarnationId }
    const outcome = await postToPeer(peer.address, PEER_PATH.connectionRoom, message, TIMEOUT_MS)
    const now = steadyNow()
    record.isAsked = false
    record.connections = outcome.kind === 'answered' ? parseRoom(outcome.reply) : 0
    record.lastReply = record.connections
    record.validUntil = now + VALID_MS
    record.askAgainAt = askedAt + ASK_INTERVAL_MS
    if (record.connections > 0) record.withoutRoom = 0
    else record.askAgainAt = now + Math.min(MAX_PAUSE_MS, FIRST_PAUSE_MS * 2 ** record.withoutRoom++)
  }

  function forgetStopped (): void {
    const running = new Set(peers().map(({ incarnationId }) => incarnationId))
    for (const incarnationId of records.keys()) if (!running.has(incarnationId)) records.delete(incarnationId)
  }

  function current (): readonly KnownRoom[] {
    return peers().flatMap((peer) => {
      const record = records.get(peer.incarnationId)
      if (record === undefined || record.connections <= 0 || record.validUntil <= steadyNow()) return []
      return [{ peer, connections: record.connections, take: () => { record.connections-- } }]
    })
  }

  return {
    ask: (neededConnections) => {
      const now = steadyNow()
      forgetStopped()
      const known = peers().map((peer) => ({ peer, record: recordOf(peer) }))
      const expected = known.filter(({ record }) => record.isAsked).map(({ record }) => ({ connections: record.lastReply }))
      const missing = neededConnections * SPARE_FACTOR - totalOf([...current(), ...expected])
      const askable = known
        .filter(({ record }) => !record.isAsked && record.askAgainAt <= now)
        .map(({ peer, record }) => ({ peer, record, expectedConnections: record.lastReply }))
      for (const { peer, record } of drawPeersToAsk(askable, missing, Math.random)) askPeer(peer, record).catch(() => {})
    },
    current,
    forget: (peer) => { recordOf(peer).connections = 0 },
    get peers () { return peers().length }
  }
}

function totalOf (rooms: readonly PeerRoom[]): number {
  return rooms.reduce((sum, { connections }) => sum + connections, 0)
}
