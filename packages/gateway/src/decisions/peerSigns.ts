/**
 * Tells a peer that is gone or paused from one whose backend server works on a relayed request. The peer sends nothing for such a
 * request until it has an answer, so that it is asked; any reply shows that it is alive.
 */

/** What is known of one process of a peer. Times by `steadyNow`. */
export interface PeerSigns {
  /** When it last sent a byte of any kind; -Infinity if it never did. */
  lastSignAt: number
  lastAskedAt: number
  isAsked: boolean
  /** Questions in a row, up to the last one, that got no reply. */
  unanswered: number
  /** Another process replied in its place. */
  isReplaced: boolean
}

/** Time without a sign after which a peer is asked. */
const ASK_AFTER_MS = 1000
const ASK_INTERVAL_MS = 500
/** Questions further apart than this don't count together. */
const QUESTIONS_IN_A_ROW_MS = 3000
/** Several, as this process may have been paused, and single messages are lost. */
const UNANSWERED_OF_SILENT_PEER = 3

/** What to do about a peer from which a request waits for an answer. */
export type PeerVerdict = 'wait' | 'ask' | 'silent' | 'replaced'

/** Creates the record of a peer of which nothing is known. */
export function createPeerSigns (): PeerSigns {
  return { lastSignAt: -Infinity, lastAskedAt: -Infinity, isAsked: false, unanswered: 0, isReplaced: false }
}

/** Judges a peer that has sent nothing for a request since `waitingSince`. */
export function judgePeer (signs: PeerSigns, waitingSince: number, now: number): PeerVerdict {
  if (signs.isReplaced) return 'replaced'
  const quietSince = Math.max(signs.lastSignAt, waitingSince)
  if (now - quietSince < ASK_AFTER_MS) return 'wait'
  // Questions from before the request was sent tell nothing of it.
  if (signs.isAsked) return 'wait'
  if (signs.unanswered >= UNANSWERED_OF_SILENT_PEER && signs.lastAskedAt >= quietSince + ASK_AFTER_MS) return 'silent'
  return now - signs.lastAskedAt >= ASK_INTERVAL_MS ? 'ask' : 'wait'
}

/** Records a byte from the peer. */
export function recordSign (signs: PeerSigns, now: number): void {
  signs.lastSignAt = now
  signs.unanswered = 0
}

/** Records that the peer is being asked. */
export function recordAsked (signs: PeerSigns, now: number): void {
  if (now - signs.lastAskedAt > QUESTIONS_IN_A_ROW_MS) signs.unanswered = 0
  signs.isAsked = true
  signs.lastAskedAt = now
}

/** Records how a question ended. */
export function recordReply (signs: PeerSigns, reply: 'answered' | 'replaced' | 'none', now: number): void {
  signs.isAsked = false
  switch (reply) {
    case 'answered': return recordSign(signs, now)
    case 'replaced':
      signs.isReplaced = true
      return
    case 'none':
      signs.unanswered++
  }
}
