import { PRIORITIES, rankOfPriority, type Priority } from './priority.js'

/** Weight of the newest observation in the mean time that a request holds a slot. */
const NEWEST_HOLD_WEIGHT = 0.2

/** Mean time that requests of each priority hold a slot, milliseconds; absent until one has ended. */
export type HoldTimes = Readonly<Partial<Record<Priority, number>>>

/** Adds one observation, milliseconds. */
export function observeHold (holds: HoldTimes, priority: Priority, milliseconds: number): HoldTimes {
  const known = holds[priority]
  const mean = known === undefined ? milliseconds : known + NEWEST_HOLD_WEIGHT * (milliseconds - known)
  return { ...holds, [priority]: mean }
}

/** State of a queue as far as it decides how long a request waits. */
export interface QueueLoad {
  readonly waiting: Readonly<Record<Priority, number>>
  /** Requests of this instance that may run at once. */
  readonly window: number
  /** Of these, bulk requests at most. */
  readonly bulkWindow: number
  readonly running: number
  readonly holds: HoldTimes
}

/**
 * Expected wait of a new request at its priority, milliseconds: the slot time of what goes before it, spread over the
 * slots. Undefined while no request has ended, because nothing is known of the drain rate then.
 */
export function expectedWait (load: QueueLoad, priority: Priority): number | undefined {
  const ahead = PRIORITIES.slice(0, rankOfPriority(priority) + 1)
  const known = Object.values(load.holds)
  if (known.length === 0) return undefined
  const fallback = known.reduce((sum, hold) => sum + hold, 0) / known.length
  const holdOf = (name: Priority): number => load.holds[name] ?? fallback
  const slotTime = ahead.reduce((sum, name) => sum + load.waiting[name] * holdOf(name), 0)
  // With every slot taken, the first one comes free after about one hold time spread over the slots.
  const firstFree = load.running >= load.window ? holdOf(priority) : 0
  const overall = (slotTime + firstFree) / load.window
  if (priority !== 'bulk') return overall
  return Math.max(overall, load.waiting.bulk * holdOf('bulk') / load.bulkWindow)
}
