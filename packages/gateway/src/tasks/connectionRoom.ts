import * as v from 'valibot'
import type { MessageResult } from './peerMessages.js'

/** Messages of the path `/connections/room`: how many connections a peer takes from this instance within a second. */

/** Bounds the number in a message; no instance has so many new connections a second. */
const MAX_CONNECTIONS = 10_000

const roomRequestSchema = v.object({ to: v.string() })
const roomReplySchema = v.object({ connections: v.pipe(v.number(), v.integer(), v.minValue(0), v.maxValue(MAX_CONNECTIONS)) })

/** Message to a peer; `to` is the incarnation that it is meant for. */
export type ConnectionRoomRequest = v.InferOutput<typeof roomRequestSchema>

/** Handles a message; `room` is the number of connections that are taken. */
export function answerRoomRequest (message: unknown, incarnationId: string, room: number): MessageResult {
  const asked = v.safeParse(roomRequestSchema, message)
  if (!asked.success) return undefined
  if (asked.output.to !== incarnationId) return 'otherIncarnation'
  return Promise.resolve({ connections: Math.min(MAX_CONNECTIONS, room) })
}

/** Parses a reply; no room when it is malformed. */
export function parseRoom (reply: unknown): number {
  const parsed = v.safeParse(roomReplySchema, reply)
  return parsed.success ? parsed.output.connections : 0
}
