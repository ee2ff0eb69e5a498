import type { BackendServerMark, PeerIdentity } from '@quinceshunt/schemas'

/** Time without a message from or about a peer after which it is removed: ten regular rounds, as each calls only two peers. */
export const PEER_EXPIRY_MS = 20_000
/** Peers called in each gossip round. */
export const GOSSIP_FANOUT = 2
/** Peers listed in one message; each adds about 130 bytes per direction to four to eight calls per second. */
export const PEERS_PER_MESSAGE = 1
/** Time after it was learned for which a mark is sent in every message. */
export const FRESH_MARK_MS = 15_000
/** Older marks sent in each message, in rotation, so that they spread after a partition heals. */
export const OLD_MARKS_PER_MESSAGE = 4
export const MAX_MARKS_PER_MESSAGE = 64

/** Source of random numbers in [0, 1), passed in so that the functions here stay deterministic. */
export type RandomSource = () => number

interface PeerEntry {
  readonly identity: PeerIdentity
  /** Time of the last message from the peer itself; 0 for never. */
  readonly lastContactAt: number
  /** Time of the last message from the peer or that listed it. */
  readonly lastMentionedAt: number
}

/** Other instances known to this one, by instance ID. */
export class PeerTable {
  readonly #ownInstanceId: string
  readonly #peers = new Map<string, PeerEntry>()

  constructor (ownInstanceId: string) {
    this.#ownInstanceId = ownInstanceId
  }

  /** Records a message sent by a peer. */
  recordContact (identity: PeerIdentity, now: number): void {
    if (identity.instanceId === this.#ownInstanceId || identity.instanceId === '') return
    const known = this.#peers.get(identity.instanceId)
    this.#peers.set(identity.instanceId, { identity: retainLeaving(identity, known), lastContactAt: now, lastMentionedAt: now })
  }

  /** Records peers listed in another peer's message; what a peer has recently sent about itself takes precedence. */
  recordMentions (identities: readonly PeerIdentity[], now: number): void {
    for (const identity of identities) {
      if (identity.instanceId === this.#ownInstanceId || identity.instanceId === '') continue
      const known = this.#peers.get(identity.instanceId)
      const contacted = known !== undefined && known.lastContactAt + PEER_EXPIRY_MS > now
      const current = contacted ? known.identity : identity
      const leaving = current.leaving || (identity.leaving && identity.incarnation === current.incarnation)
      this.#peers.set(identity.instanceId, { identity: { ...current, leaving }, lastContactAt: known?.lastContactAt ?? 0, lastMentionedAt: now })
    }
  }

  /** Peers mentioned within the last 20 s; removes the others. */
  knownPeers (now: number): readonly PeerIdentity[] {
    for (const [id, entry] of this.#peers) {
      if (entry.lastMentionedAt + PEER_EXPIRY_MS <= now) this.#peers.delete(id)
    }
    return [...this.#peers.values()].map((entry) => entry.identity)
  }

  /** Peers to list in a message: only those with recent direct contact, so that a stopped one doesn't circulate forever. */
  peersToSend (now: number, random: RandomSource): readonly PeerIdentity[] {
    const contacted = [...this.#peers.values()].filter((entry) => entry.lastContactAt + PEER_EXPIRY_MS > now)
    // Leaving peers come first, because others must stop sending them work.
    const leaving = contacted.filter((entry) => entry.identity.leaving)
    const others = contacted.filter((entry) => !entry.identity.leaving)
    return [...pickRandom(leaving, PEERS_PER_MESSAGE, random), ...pickRandom(others, PEERS_PER_MESSAGE, random)]
      .slice(0, PEERS_PER_MESSAGE).map((entry) => entry.identity)
  }
}

/** Picks up to `count` distinct items at random. */
export function pickRandom<Item> (items: readonly Item[], count: number, random: RandomSource): readonly Item[] {
  const remaining = [...items]
  const picked: Item[] = []
  while (picked.length < count && remaining.length > 0) {
    picked.push(...remaining.splice(Math.floor(random() * remaining.length), 1))
  }
  return picked
}

/** A leaving mark with the time at which this instance learned it. */
export interface LearnedMark {
  readonly mark: BackendServerMark
  readonly learnedAt: number
}

/** Marks for one message: the fresh ones, newest first, then some older ones, rotated by `messageCount`. */
export function marksToSend (marks: readonly LearnedMark[], now: number, messageCount: number): readonly BackendServerMark[] {
  const newestFirst = [...marks].sort((left, right) => Number(right.mark.markedAt - left.mark.markedAt))
  const fresh = newestFirst.filter((entry) => now - entry.learnedAt < FRESH_MARK_MS)
  const old = newestFirst.filter((entry) => now - entry.learnedAt >= FRESH_MARK_MS)
  const start = old.length === 0 ? 0 : (messageCount * OLD_MARKS_PER_MESSAGE) % old.length
  const rotated = [...old.slice(start), ...old.slice(0, start)].slice(0, OLD_MARKS_PER_MESSAGE)
  return [...fresh.slice(0, MAX_MARKS_PER_MESSAGE - rotated.length), ...rotated].map((entry) => entry.mark)
}

/** An incarnation that was reported as leaving never becomes live again. */
function retainLeaving (identity: PeerIdentity, known: PeerEntry | undefined): PeerIdentity {
  const leaving = identity.leaving || (known !== undefined && known.identity.leaving && known.identity.incarnation === identity.incarnation)
  return { ...identity, leaving }
}
