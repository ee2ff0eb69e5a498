/** A peer that may be asked for room. */
export interface AskablePeer {
  /** What its last reply said, or what a peer is expected to have before its first one. */
  readonly expectedConnections: number
}

/**
 * Draws peers until they are expected to have room for `missing` connections. Peers with more room tend to come first, but not always:
 * several full instances ask at the same time, and would all fill the largest peer. `random` is 0 to 1.
 */
export function * drawPeersToAsk<Peer extends AskablePeer> (peers: readonly Peer[], missing: number, random: () => number): Generator<Peer> {
  const drawn = peers
    .map((peer) => ({ peer, weight: Math.max(1, peer.expectedConnections) }))
    // Order of a draw without replacement in which the chance of each peer follows its weight.
    .map(({ peer, weight }) => ({ peer, weight, key: random() ** (1 / weight) }))
    .sort((a, b) => b.key - a.key)
  let left = missing
  for (const { peer, weight } of drawn) {
    if (left <= 0) return
    left -= weight
    yield peer
  }
}
