/**
 * Selects the peer that serves a request in place of an instance that reaches no backend server.
 *
 * Pattern: one instance, those of a failure domain or nearly all are cut off for seconds, so that few or many peers reach the backend
 * servers. Which ones is learned from what they take and decline.
 */

/** A peer and what this instance knows of it, for one service. */
export interface PeerState {
  readonly instanceId: string
  readonly failureDomain: string
  /** Relayed requests in progress there. */
  readonly inProgress: number
  /** It has declined, or did not answer, and is not asked before; 0 if it never did. */
  readonly declinedUntil: number
  /** When it last served a relayed request; 0 if it never did. */
  readonly servedAt: number
  /** Another peer has named it as one that takes requests. */
  readonly isNamed: boolean
}

/** A peer that served a request this long ago is preferred to one of which nothing is known. */
const KNOWN_GOOD_MS = 2000
const UNKNOWN_COST_FACTOR = 2
/** Traffic between failure domains takes longer and is billed. */
const OTHER_FAILURE_DOMAIN_COST_FACTOR = 1.3

/** Selects the cheapest peer that has not declined lately; `tieBreak`, in [0, 1), decides among equal costs. */
export function choosePeer<Candidate extends PeerState> (peers: readonly Candidate[], failureDomain: string, now: number, tieBreak: number): Candidate | undefined {
  const start = Math.floor(tieBreak * peers.length)
  let best: { readonly peer: Candidate, readonly cost: number } | undefined
  for (let index = 0; index < peers.length; index++) {
    const peer = peers[(start + index) % peers.length]
    if (peer === undefined || peer.declinedUntil > now) continue
    const isKnownGood = peer.isNamed || now - peer.servedAt < KNOWN_GOOD_MS
    const cost = (peer.inProgress + 1) * (isKnownGood ? 1 : UNKNOWN_COST_FACTOR) * (peer.failureDomain === failureDomain ? 1 : OTHER_FAILURE_DOMAIN_COST_FACTOR)
    if (best === undefined || cost < best.cost) best = { peer, cost }
  }
  return best?.peer
}
