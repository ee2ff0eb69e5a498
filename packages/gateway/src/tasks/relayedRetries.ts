import * as v from 'valibot'
import type { RelayEnvelope } from '../decisions/relayEnvelope.js'
import type { RetryKind } from '../decisions/relayedRetries.js'
import type { DecisionLog } from './decisionLog.js'
import type { Peer } from './fleetTask.js'
import { PEER_PATH, postToPeer } from './peerMessages.js'
import type { Post } from './tokenLoans.js'

/** The backend server that is given up may answer meanwhile. */
const ASK_TIMEOUT_MS = 300

const replySchema = v.object({ isGranted: v.boolean() })

/** Reply to a peer that asks for a retry. */
export type RetryReply = v.InferOutput<typeof replySchema>

/** A relay whose peer may ask for retries. */
export interface OpenRelay {
  readonly relayId: string
  /** Ends the grants, as the relay has ended. */
  close (): void
}

/** What a log line says of a relay. */
export interface RelayFields {
  /** ID of the caller's attempt. */
  readonly request: string
  /** Instance that may ask for retries. */
  readonly peer: string
}

/** Grants retries of the requests that this instance relays, and asks for those of requests that peers relay to it. */
export interface RelayedRetries {
  open (fields: RelayFields, grant: (kind: RetryKind) => boolean): OpenRelay
  answer (relayId: string, kind: RetryKind): RetryReply
  /** Asks the origin of a relay; false also without a reply, although the origin may have counted the retry then. */
  ask (relay: RelayEnvelope, kind: RetryKind): Promise<boolean>
}

/** Dependencies of the task. */
export interface RelayedRetriesOptions {
  readonly log: DecisionLog
  readonly peers: () => readonly Peer[]
  readonly count: (outcome: string) => void
  /** Delivers one message; replaced by tests. */
  readonly post?: Post
}

/** Creates a record without relays. */
export function createRelayedRetries ({ log, peers, count, post = postToPeer }: RelayedRetriesOptions): RelayedRetries {
  const open = new Map<string, { readonly fields: RelayFields, readonly grant: (kind: RetryKind) => boolean }>()
  let relays = 0

  return {
    open: (fields, grant) => {
      const relayId = String(++relays)
      open.set(relayId, { fields, grant })
      return { relayId, close: () => { open.delete(relayId) } }
    },
    answer: (relayId, kind) => {
      const relay = open.get(relayId)
      const isGranted = relay?.grant(kind) === true
      // A granted attempt counts as sent although the peer may be gone before it sends.
      log.decision('relayedRetryAnswered', { ...relay?.fields, relay: relayId, kind, isOpen: relay !== undefined, isGranted })
      count(isGranted ? 'granted' : 'refused')
      return { isGranted }
    },
    ask: async ({ from, furtherAttempts }, kind) => {
      if (furtherAttempts === undefined) return false
      const { incarnationId, relayId } = furtherAttempts
      const origin = peers().find((peer) => peer.instanceId === from && peer.incarnationId === incarnationId)
      if (origin === undefined) return false
      const outcome = await post(origin.address, PEER_PATH.retries, { to: incarnationId, relayId, kind }, ASK_TIMEOUT_MS)
      if (outcome.kind === 'failed') log.decision('peerDidNotAnswer', { peer: origin.address, path: PEER_PATH.retries, reason: outcome.reason })
      const reply = v.safeParse(replySchema, outcome.kind === 'answered' ? outcome.reply : undefined)
      return reply.success && reply.output.isGranted
    }
  }
}
