import { steadyNow } from '../clock.js'
import type { DecisionLog } from './decisionLog.js'
import type { Peer } from './fleetTask.js'
import { postToPeer } from './peerMessages.js'
import type { Post } from './tokenLoans.js'

/** A caller waits for the reply; a home that takes longer is slow or cut off. */
const REPLY_TIMEOUT_MS = 120
/** A home that did not reply is not asked for this time. */
const AVOIDANCE_MS = 5000

/** Calls to the homes of something, in order of preference. */
export interface HomeCalls {
  /** Homes that are not known to be out of reach, in order of preference. */
  reachable (homes: readonly Peer[]): readonly Peer[]
  /** Posts a message once; undefined without a reply. */
  post (home: Peer, path: string, message: object): Promise<unknown>
}

/** Creates calls that avoid no home. `post` is replaced by tests. */
export function createHomeCalls (log: DecisionLog, post: Post = postToPeer): HomeCalls {
  const avoidedUntil = new Map<string, number>()
  return {
    reachable: (homes) => {
      const now = steadyNow()
      return homes.filter((home) => (avoidedUntil.get(home.incarnationId) ?? 0) <= now)
    },
    post: async (home, path, message) => {
      const outcome = await post(home.address, path, { to: home.incarnationId, ...message }, REPLY_TIMEOUT_MS)
      if (outcome.kind === 'answered') return outcome.reply
      if (outcome.kind === 'failed') {
        avoidedUntil.set(home.incarnationId, steadyNow() + AVOIDANCE_MS)
        log.decision('peerDidNotAnswer', { peer: home.address, path, reason: outcome.reason })
      }
      return undefined
    }
  }
}
