/**
 * Decides whether a service is short of room, so that each request to it asks for room before it is sent.
 *
 * Load: bursts of more requests than the slots and the queues of a service's backend servers hold, or the usual load after one of
 * few servers was lost or became slow. The servers then reject up to 28% of a day's requests, and one that may run only once is lost.
 */

/** Rejections of this instance's requests within the window that start a shortage. */
const REJECTIONS_TO_START = 2
const START_WINDOW_MS = 2000
/** Share of the requests that all instances sent which starts a shortage when it is rejected. */
const FLEET_SHARE_TO_START = 0.02
/** Older figures of the fleet say nothing about the present load. */
const FLEET_FIGURE_MAX_AGE_MS = 5000
/** A shortage ends when nothing was rejected or denied for this time. */
const END_AFTER_MS = 5000

/** Figures of all instances for one service; the rates are of the last seconds. */
export interface FleetFigures {
  readonly sentPerSecond: number
  readonly rejectedPerSecond: number
  readonly asOf: number
}

/** Start or end of a shortage. */
export type ShortageChange = 'started' | 'ended'

/** Shortage of one service as one instance sees it. Times are by any one clock. */
export interface RoomShortage {
  readonly isShort: boolean
  /** A backend server rejected a request of this instance for lack of capacity. */
  noteRejection (now: number): ShortageChange | undefined
  /** Takes over the fleet's figures. */
  noteFleet (figures: FleetFigures, now: number): ShortageChange | undefined
  /** A request was denied room, which is a rejection that a backend server did not have to make; prolongs a shortage. */
  noteDenial (now: number): void
  /** Ends the shortage when its time has come. */
  check (now: number): ShortageChange | undefined
}

/** Creates the state of a service that has enough room. */
export function createRoomShortage (): RoomShortage {
  let rejectedAt: readonly number[] = []
  let isShort = false
  let lastSeenAt = -Infinity

  function start (): ShortageChange | undefined {
    if (isShort) return undefined
    isShort = true
    return 'started'
  }

  return {
    get isShort () { return isShort },
    noteRejection: (now) => {
      lastSeenAt = now
      rejectedAt = [...rejectedAt, now].slice(-REJECTIONS_TO_START)
      const areEnough = rejectedAt.length === REJECTIONS_TO_START && now - (rejectedAt[0] ?? now) <= START_WINDOW_MS
      return areEnough ? start() : undefined
    },
    noteFleet: ({ sentPerSecond, rejectedPerSecond, asOf }, now) => {
      const isUsable = rejectedPerSecond > 0 && sentPerSecond > 0 && now - asOf <= FLEET_FIGURE_MAX_AGE_MS
      if (!isUsable || rejectedPerSecond <= FLEET_SHARE_TO_START * sentPerSecond) return undefined
      // The same figure is read with each request; only its own time says how recent the rejections are.
      lastSeenAt = Math.max(lastSeenAt, Math.min(asOf, now))
      return start()
    },
    noteDenial: (now) => { if (isShort) lastSeenAt = now },
    check: (now) => {
      if (!isShort || now - lastSeenAt < END_AFTER_MS) return undefined
      isShort = false
      rejectedAt = []
      return 'ended'
    }
  }
}
