import type { BackendServerMark, PeerIdentity } from '@quinceshunt/schemas'

/** Time after which a peer that was not heard of is forgotten, milliseconds: ten regular rounds, as each calls only two peers. */
export const PEER_FORGET_MILLISECONDS = 20_000
/** Peers called in each gossip round. */
export const GOSSIP_FANOUT = 2
/** Peers named in one message; each costs about 130 bytes in each direction of four to eight calls a second. */
export const PEERS_PER_MESSAGE = 1
/** Marks sent in every message for this long after they were learned, milliseconds. */
export const FRESH_MARK_MILLISECONDS = 15_000
/** Older marks sent in each message, in rotation, so that a healed partition learns them too. */
export const OLD_MARKS_PER_MESSAGE = 4
/** Marks in one message at most. */
export const MARKS_PER_MESSAGE = 64

/** A fixed choice of random numbers from 0 to below 1, passed in so that decisions stay pure. */
export type Random = () => number

interface PeerEntry {
  readonly identity: PeerIdentity
  /** Last message from the peer itself; 0 for never. */
  readonly heardAt: number
  /** Last message that named it. */
  readonly heardOfAt: number
}

/** Other instances that this one has heard of, by instance ID. */
export class PeerTable {
  readonly #own: string
  readonly #peers = new Map<string, PeerEntry>()

  constructor (ownInstanceId: string) {
    this.#own = ownInstanceId
  }

  /** Records a message from a peer itself. */
  heard (identity: PeerIdentity, now: number): void {
    if (identity.instanceId === this.#own || identity.instanceId === '') return
    const known = this.#peers.get(identity.instanceId)
    this.#peers.set(identity.instanceId, { identity: withLeaving(identity, known), heardAt: now, heardOfAt: now })
  }

  /** Records peers that another one has heard from; a peer's own word about itself goes first. */
  heardOf (identities: readonly PeerIdentity[], now: number): void {
    for (const identity of identities) {
      if (identity.instanceId === this.#own || identity.instanceId === '') continue
      const known = this.#peers.get(identity.instanceId)
      const direct = known !== undefined && known.heardAt + PEER_FORGET_MILLISECONDS > now
      const kept = direct ? known.identity : identity
      const leaving = kept.leaving || (identity.leaving && identity.incarnation === kept.incarnation)
      this.#peers.set(identity.instanceId, { identity: { ...kept, leaving }, heardAt: known?.heardAt ?? 0, heardOfAt: now })
    }
  }

  /** Peers heard of within the last 20 s; older ones are forgotten. */
  current (now: number): readonly PeerIdentity[] {
    for (const [id, entry] of this.#peers) {
      if (entry.heardOfAt + PEER_FORGET_MILLISECONDS <= now) this.#peers.delete(id)
    }
    return [...this.#peers.values()].map((entry) => entry.identity)
  }

  /** Peers to name in a message: only those heard from directly, so that a stopped one isn't passed on for ever. */
  toName (now: number, random: Random): readonly PeerIdentity[] {
    const direct = [...this.#peers.values()].filter((entry) => entry.heardAt + PEER_FORGET_MILLISECONDS > now)
    // A leaving peer matters most: others must stop handing it work.
    const leaving = direct.filter((entry) => entry.identity.leaving)
    const others = direct.filter((entry) => !entry.identity.leaving)
    return [...pickRandom(leaving, PEERS_PER_MESSAGE, random), ...pickRandom(others, PEERS_PER_MESSAGE, random)]
      .slice(0, PEERS_PER_MESSAGE).map((entry) => entry.identity)
  }
}

/** Chooses distinct items at random. */
export function pickRandom<Item> (items: readonly Item[], count: number, random: Random): readonly Item[] {
  const left = [...items]
  const picked: Item[] = []
  while (picked.length < count && left.length > 0) {
    picked.push(...left.splice(Math.floor(random() * left.length), 1))
  }
  return picked
}

/** A leaving mark with the time at which this instance learned it. */
export interface LearnedMark {
  readonly mark: BackendServerMark
  readonly learnedAt: number
}

/** Marks for one message, newest first: all fresh ones and, in rotation by `turn`, some of the older. */
export function marksToSend (marks: readonly LearnedMark[], now: number, turn: number): readonly BackendServerMark[] {
  const newestFirst = [...marks].sort((left, right) => Number(right.mark.markedAt - left.mark.markedAt))
  const fresh = newestFirst.filter((entry) => now - entry.learnedAt < FRESH_MARK_MILLISECONDS)
  const old = newestFirst.filter((entry) => now - entry.learnedAt >= FRESH_MARK_MILLISECONDS)
  const start = old.length === 0 ? 0 : (turn * OLD_MARKS_PER_MESSAGE) % old.length
  const rotated = [...old.slice(start), ...old.slice(0, start)].slice(0, OLD_MARKS_PER_MESSAGE)
  return [...fresh.slice(0, MARKS_PER_MESSAGE - rotated.length), ...rotated].map((entry) => entry.mark)
}

/** A process that was reported as leaving never comes back as live under the same incarnation. */
function withLeaving (identity: PeerIdentity, known: PeerEntry | undefined): PeerIdentity {
  const leaving = identity.leaving || (known !== undefined && known.identity.leaving && known.identity.incarnation === identity.incarnation)
  return { ...identity, leaving }
}
