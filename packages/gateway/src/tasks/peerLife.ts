import { assertNever } from '@quinceshunt/effects'
import { steadyNow } from '../clock.js'
import { createPeerSigns, judgePeer, recordAsked, recordReply, recordSign, type PeerSigns } from '../decisions/peerSigns.js'
import type { DecisionLog } from './decisionLog.js'
import type { Peer } from './fleetTask.js'
import { PEER_PATH, postToPeer } from './peerMessages.js'
import type { Post } from './tokenLoans.js'

const ASK_TIMEOUT_MS = 500

/** Whether a peer that has sent nothing for a while still lives. */
export interface PeerLife {
  noteBytes (peer: Peer): void
  /** Returns why a request that waits since then need not wait for the peer any longer; undefined while the peer may answer. */
  lossOf (peer: Peer, waitingSince: number): string | undefined
}

/** Dependencies of the task. */
export interface PeerLifeOptions {
  readonly log: DecisionLog
  readonly peers: () => readonly Peer[]
  /** Delivers one message; replaced by tests. */
  readonly post?: Post
}

/** Creates a record that asks peers while requests wait for them. */
export function createPeerLife ({ log, peers, post = postToPeer }: PeerLifeOptions): PeerLife {
  const signsByProcess = new Map<string, PeerSigns>()

  function signsOf (peer: Peer): PeerSigns {
    const known = signsByProcess.get(peer.incarnationId)
    if (known !== undefined) return known
    forgetGone()
    const signs = createPeerSigns()
    signsByProcess.set(peer.incarnationId, signs)
    return signs
  }

  function forgetGone (): void {
    const listed = new Set(peers().map(({ incarnationId }) => incarnationId))
    for (const incarnationId of signsByProcess.keys()) if (!listed.has(incarnationId)) signsByProcess.delete(incarnationId)
  }

  /** An empty list of reports is a message to which processes of all versions reply. */
  async function ask (peer: Peer, signs: PeerSigns): Promise<void> {
    recordAsked(signs, steadyNow())
    const outcome = await post(peer.address, PEER_PATH.reports, { to: peer.incarnationId, reports: [] }, ASK_TIMEOUT_MS)
    switch (outcome.kind) {
      case 'answered': return recordReply(signs, 'answered', steadyNow())
      case 'otherIncarnation': return recordReply(signs, 'replaced', steadyNow())
      case 'failed':
        log.decision('peerDidNotAnswer', { peer: peer.address, path: PEER_PATH.reports, reason: outcome.reason })
        return recordReply(signs, outcome.hasReplied === true ? 'answered' : 'none', steadyNow())
      default: assertNever(outcome)
    }
  }

  return {
    noteBytes: (peer) => recordSign(signsOf(peer), steadyNow()),
    lossOf: (peer, waitingSince) => {
      const signs = signsOf(peer)
      const now = steadyNow()
      const verdict = judgePeer(signs, waitingSince, now)
      switch (verdict) {
        case 'wait': return undefined
        case 'ask':
          ask(peer, signs).catch((error: unknown) => log.warning('peerNotAsked', { peer: peer.instanceId, reason: String(error) }))
          return undefined
        case 'silent': return `peer silent for ${now - Math.max(signs.lastSignAt, waitingSince)} ms`
        case 'replaced': return 'another process runs in place of the peer'
        default: return assertNever(verdict)
      }
    }
  }
}
