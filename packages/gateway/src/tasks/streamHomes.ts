import { streamOriginSchema, type StreamOrigin } from '../decisions/streamOrigins.js'
import type { DecisionLog } from './decisionLog.js'
import type { Peer } from './fleetTask.js'
import { PEER_PATH } from './peerMessages.js'
import type { Post } from './tokenLoans.js'
import * as v from 'valibot'

/** A caller that takes a stream up waits for the replies. */
const ASK_TIMEOUT_MS = 150

const answerSchema = v.object({
  origin: v.optional(streamOriginSchema),
  /** True when streams of the service may have begun at several versions, as far as the home knows. */
  areVersionsMixed: v.boolean()
})

/** Answer of a home. */
export type StreamAnswer = v.InferOutput<typeof answerSchema>

/** What homes reply to a question for a stream. */
export type HomeReply =
  | { readonly kind: 'known', readonly origin: StreamOrigin }
  /** The home has no record of the stream. */
  | { readonly kind: 'unknown', readonly areVersionsMixed: boolean }
  /** The home did not reply. */
  | { readonly kind: 'none' }

/** Dependencies of a question. */
export interface StreamQuestionOptions {
  readonly post: Post
  readonly log: DecisionLog
}

/** What two homes know together. */
function combineReplies (left: HomeReply, right: HomeReply): HomeReply {
  if (left.kind === 'known' || right.kind === 'none') return left
  if (right.kind === 'known' || left.kind === 'none') return right
  return { kind: 'unknown', areVersionsMixed: left.areVersionsMixed || right.areVersionsMixed }
}

async function askHome ({ post, log }: StreamQuestionOptions, home: Peer, attemptId: string, service: string): Promise<HomeReply> {
  const outcome = await post(home.address, PEER_PATH.streamQueries, { to: home.incarnationId, attemptId, service }, ASK_TIMEOUT_MS)
  if (outcome.kind === 'failed') log.decision('peerDidNotAnswer', { peer: home.address, path: PEER_PATH.streamQueries, reason: outcome.reason })
  if (outcome.kind !== 'answered') return { kind: 'none' }
  const reply = v.safeParse(answerSchema, outcome.reply)
  if (!reply.success) return { kind: 'none' }
  const { origin, areVersionsMixed: isMixed } = reply.output
  return origin === undefined ? { kind: 'unknown', areVersionsMixed: isMixed } : { kind: 'known', origin }
}

/** Asks the homes of a stream where it began. Resolves with the first reply that knows the stream, or once all homes have replied or can't. */
export function askHomes (options: StreamQuestionOptions, homes: readonly Peer[], attemptId: string, service: string): Promise<HomeReply> {
  return new Promise((resolve) => {
    let pending = homes.length
    let combined: HomeReply = { kind: 'none' }
    const settle = (reply: HomeReply): void => {
      pending--
      combined = combineReplies(combined, reply)
      if (reply.kind === 'known' || pending === 0) resolve(combined)
    }
    if (pending === 0) resolve(combined)
    for (const home of homes) {
      askHome(options, home, attemptId, service).then(settle, (error: unknown) => {
        options.log.warning('streamQueryFailed', { reason: String(error) })
        settle({ kind: 'none' })
      })
    }
  })
}
