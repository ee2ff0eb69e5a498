import { FairOrder, type FairRequest } from '@quinceshunt/routing/fairOrder'

/**
 * Line of requests that wait for room at the backend servers of one service, at the instance that issues this room.
 *
 * Load: a burst of 2.4 times what a service of three or four backend servers of six slots serves, or one client account that sends
 * 7.5 times its usual rate. Requests wait for the time that the caller can spare; what would wait longer is denied immediately with
 * the time at which a slot is expected. Order: urgency, then fairness between client accounts, then age.
 */

/** A request in the line. Times are by one clock. */
export interface LineEntry extends FairRequest {
  /** From 0, the most urgent. */
  readonly priority: number
  readonly enqueuedAt: number
  /** Until when waiting makes sense. */
  readonly waitUntil: number
}

/** The line of one service. */
export interface RoomLine<Entry extends LineEntry> {
  readonly length: number
  add (entry: Entry): void
  /** Removes and returns matching entries. */
  remove (matches: (entry: Entry) => boolean): readonly Entry[]
  /** Removes and returns the next entry that can be served. */
  takeNext (canServe: (entry: Entry) => boolean): Entry | undefined
  /** Expected wait of an entry that is in the line, milliseconds; `slots` is the number of slots that could serve it. */
  expectedWait (entry: Entry, slots: number, now: number): number
  /** Requests have ended, so that their slots are free. */
  noteFreed (slots: number, now: number): void
  /** Requests were denied elsewhere for an earlier denial; their callers return too. */
  noteDenied (requests: number, now: number): void
  /** When the caller of a request that is denied now may return. Later denials get later times. */
  retryAt (expectedWait: number, now: number): number
  /** Interval at which slots become free, and denied callers return, milliseconds. */
  returnInterval (now: number): number
}

/** One grant in this many goes to a less urgent request, if one waits. */
export const LESS_URGENT_GRANT_INTERVAL = 10
/** Time constant of the average of slots freed per second: some tens of requests of 20 to 60 ms. */
const RATE_AVERAGE_MS = 1000
/** The rate is unknown until slots were freed for this long, which is longer than the usual request takes. */
const RATE_WARM_UP_MS = 100
/** For services whose rate is unknown: 18 slots with requests of 180 ms. */
const UNKNOWN_SLOTS_PER_SECOND = 100
const MIN_SLOTS_PER_SECOND = 1
/** Bounds of the time after which a denied caller may return. Beyond the upper one, callers return as fast as they were denied. */
export const RETURN_MS = { least: 50, most: 5000 } as const

/** Creates an empty line. */
export function createRoomLine<Entry extends LineEntry> (): RoomLine<Entry> {
  /** Oldest first. */
  let waiting: Entry[] = []
  const fairOrders = new Map<number, FairOrder<Entry>>()
  /** Number of the last grant of each priority. */
  const lastGrants = new Map<number, number>()
  let grants = 0
  let urgentGrantsInSuccession = 0
  let freed = 0
  let freedAt = 0
  let measuredSince: number | undefined
  let lastReturnAt = -Infinity

  function freedPerSecond (now: number): number | undefined {
    if (measuredSince === undefined || now - measuredSince < RATE_WARM_UP_MS) return undefined
    const decayed = freed * Math.exp(-Math.max(0, now - freedAt) / RATE_AVERAGE_MS)
    // An average that has just started covers less than its time constant.
    const coveredSeconds = RATE_AVERAGE_MS / 1000 * (1 - Math.exp(-(now - measuredSince) / RATE_AVERAGE_MS))
    return Math.max(MIN_SLOTS_PER_SECOND, decayed / coveredSeconds)
  }

  function returnInterval (now: number): number {
    return 1000 / (freedPerSecond(now) ?? UNKNOWN_SLOTS_PER_SECOND)
  }

  function choosePriority (servable: readonly Entry[]): number | undefined {
    const priorities = [...new Set(servable.map(({ priority }) => priority))].sort((left, right) => left - right)
    const [mostUrgent, ...lessUrgent] = priorities
    if (lessUrgent.length === 0 || urgentGrantsInSuccession < LESS_URGENT_GRANT_INTERVAL - 1) return mostUrgent
    return lessUrgent.reduce((longest, priority) => (lastGrants.get(priority) ?? 0) < (lastGrants.get(longest) ?? 0) ? priority : longest)
  }

  function isMostUrgent (priority: number): boolean {
    return waiting.every((entry) => entry.priority >= priority)
  }

  function dispatch (priority: number, servable: readonly Entry[]): Entry | undefined {
    const order = fairOrders.get(priority) ?? new FairOrder<Entry>()
    fairOrders.set(priority, order)
    const next = order.dispatch(servable.filter((entry) => entry.priority === priority))
    if (next === undefined) return undefined
    grants++
    lastGrants.set(priority, grants)
    urgentGrantsInSuccession = isMostUrgent(priority) ? urgentGrantsInSuccession + 1 : 0
    waiting = waiting.filter((entry) => entry !== next)
    return next
  }

  /** Entries of the same priority that are granted before this one, the newest of its account. */
  function aheadInPriority ({ account, priority }: Entry): number {
    const byAccount = new Map<string, number>()
    for (const entry of waiting) if (entry.priority === priority) byAccount.set(entry.account, (byAccount.get(entry.account) ?? 0) + 1)
    const own = byAccount.get(account) ?? 1
    byAccount.delete(account)
    return [...byAccount.values()].reduce((sum, count) => sum + Math.min(count, own), own - 1)
  }

  return {
    get length () { return waiting.length },
    add: (entry) => { waiting.push(entry) },
    remove: (matches) => {
      const removed = waiting.filter((entry) => matches(entry))
      if (removed.length > 0) waiting = waiting.filter((entry) => !removed.includes(entry))
      return removed
    },
    takeNext: (canServe) => {
      const servable = waiting.filter((entry) => canServe(entry))
      const priority = choosePriority(servable)
      return priority === undefined ? undefined : dispatch(priority, servable)
    },
    expectedWait: (entry, slots, now) => {
      const inPriority = aheadInPriority(entry)
      const moreUrgent = waiting.filter(({ priority }) => priority < entry.priority).length
      const rate = freedPerSecond(now)
      if (rate === undefined) return inPriority + moreUrgent < slots ? 0 : Infinity
      const inOrder = (inPriority + moreUrgent) * 1000 / rate
      if (moreUrgent === 0) return inOrder
      // Less urgent priorities share the grants that are reserved for them.
      const lessUrgent = new Set(waiting.filter(({ priority }) => !isMostUrgent(priority)).map(({ priority }) => priority)).size
      return Math.min(inOrder, inPriority * 1000 * LESS_URGENT_GRANT_INTERVAL * lessUrgent / rate)
    },
    noteFreed: (slots, now) => {
      if (slots <= 0) return
      if (measuredSince === undefined || now - freedAt > 2 * RATE_AVERAGE_MS) {
        measuredSince = now
        freed = 0
      }
      freed = freed * Math.exp(-Math.max(0, now - freedAt) / RATE_AVERAGE_MS) + slots
      freedAt = now
    },
    noteDenied: (requests, now) => {
      if (requests > 0) lastReturnAt = Math.min(now + RETURN_MS.most, Math.max(now, lastReturnAt) + requests * returnInterval(now))
    },
    retryAt: (expectedWait, now) => {
      const earliest = Math.max(now + Math.max(RETURN_MS.least, Number.isFinite(expectedWait) ? expectedWait : 0), lastReturnAt + returnInterval(now))
      lastReturnAt = Math.min(now + RETURN_MS.most, earliest)
      return lastReturnAt
    },
    returnInterval
  }
}
