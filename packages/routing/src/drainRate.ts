import { PRIORITIES, rankOfPriority, type Priority } from './priority.js'

/** Weight of the newest observation in the exponentially weighted mean of hold times. */
const NEWEST_HOLD_TIME_WEIGHT = 0.2

/** Mean time for which a request holds a slot, by priority, in milliseconds; absent until a request has ended. */
export type HoldTimes = Readonly<Partial<Record<Priority, number>>>

/** Returns the means updated with one observation. */
export function updateHoldTimes (holdTimes: HoldTimes, priority: Priority, observedMilliseconds: number): HoldTimes {
  const previousMean = holdTimes[priority]
  const mean = previousMean === undefined ? observedMilliseconds : previousMean + NEWEST_HOLD_TIME_WEIGHT * (observedMilliseconds - previousMean)
  return { ...holdTimes, [priority]: mean }
}

/** State of a queue from which the expected wait is computed. */
export interface QueueLoad {
  readonly waiting: Readonly<Record<Priority, number>>
  /** Concurrency limit for this instance's requests. */
  readonly window: number
  /** Concurrency limit for bulk requests, within `window`. */
  readonly bulkWindow: number
  readonly running: number
  readonly holdTimes: HoldTimes
}

/**
 * Expected wait of a new request of a priority, in milliseconds: the hold times of the requests dispatched before it,
 * divided among the slots. Undefined until a request has ended, as the drain rate is unknown until then.
 */
export function expectedWait (load: QueueLoad, priority: Priority): number | undefined {
  const prioritiesAhead = PRIORITIES.slice(0, rankOfPriority(priority) + 1)
  const knownMeans = Object.values(load.holdTimes)
  if (knownMeans.length === 0) return undefined
  const fallbackMean = knownMeans.reduce((sum, hold) => sum + hold, 0) / knownMeans.length
  const holdTimeOf = (name: Priority): number => load.holdTimes[name] ?? fallbackMean
  const slotTimeAhead = prioritiesAhead.reduce((sum, name) => sum + load.waiting[name] * holdTimeOf(name), 0)
  // When all slots are taken, the first is released after about one hold time divided by the number of slots.
  const firstSlotWait = load.running >= load.window ? holdTimeOf(priority) : 0
  const overallWait = (slotTimeAhead + firstSlotWait) / load.window
  if (priority !== 'bulk') return overallWait
  return Math.max(overallWait, load.waiting.bulk * holdTimeOf('bulk') / load.bulkWindow)
}
