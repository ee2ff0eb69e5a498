/**
 * Decides which part of its new connections an instance forwards to peers.
 *
 * Pattern: the load balancer selects an instance by a hash of the caller, so that one large client account gives a single small
 * instance more than it can serve. Forwarding a connection costs less than half of the processor time of serving it.
 */

/** From this part of its processor time on, an instance forwards more: above it, requests wait for each other. */
const MAX_LOAD = 0.75
/** Below this part it forwards less. Far enough below `MAX_LOAD` that a connection more that is served here does not bring the load there. */
const ROOM_LOAD = 0.5
const INCREASE = 0.5
const DECREASE = 0.1
/** Events that wait for so long show that the processor is full, also where other processes take it. */
const MAX_EVENT_LOOP_DELAY_MS = 100

/** How busy an instance was in the last interval. */
export interface RecentLoad {
  /** Part of the processor time that the instance has. */
  readonly processor: number
  readonly eventLoopDelayMilliseconds: number
}

/** Returns the part of new connections, 0 to 1, that are forwarded in the next interval. */
export function nextForwardedShare (before: number, { processor, eventLoopDelayMilliseconds }: RecentLoad): number {
  if (processor >= MAX_LOAD || eventLoopDelayMilliseconds >= MAX_EVENT_LOOP_DELAY_MS) return Math.min(1, before + INCREASE)
  return processor < ROOM_LOAD ? Math.max(0, before - DECREASE) : before
}

/** A peer and the connections that it still takes. */
export interface PeerRoom {
  readonly connections: number
}

/** Selects a peer in proportion to its room, so that none gets more than its part; `random` is 0 to 1. Undefined when none has room. */
export function choosePeerWithRoom<Room extends PeerRoom> (rooms: readonly Room[], random: number): Room | undefined {
  let left = random * rooms.reduce((sum, { connections }) => sum + Math.max(0, connections), 0)
  return rooms.find(({ connections }) => {
    if (connections <= 0) return false
    left -= connections
    return left <= 0
  })
}
