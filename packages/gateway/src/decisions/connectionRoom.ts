/**
 * Decides how many connections a second an instance takes from its peers.
 *
 * Each interval's number follows from what the interval before used, so that an instance fills up to a part of its capacity and no further,
 * whoever asks.
 */

/** An instance fills up to this part of its processor time, and to half of it of its link's rate. Callers of its own may add to both within a second. */
const TARGET_USE = 0.6
const TARGET_LINK_USE = 0.3
/** Cost of a request while there are too few to tell. A mean above it has a large part of what the instance uses without requests. */
const MAX_COST_MS = 10
const MIN_COST_MS = 2
const ASSUMED_BYTES = 20_000
const MIN_REQUESTS = 5

/** What the instance used in an interval, and what it has for one. */
export interface IntervalUse {
  readonly processorMilliseconds: number
  /** Infinite where the settings name no limit. */
  readonly availableProcessorMilliseconds: number
  /** Of the direction that has more. */
  readonly linkBytes: number
  /** Infinite where the settings name no limit. */
  readonly availableLinkBytes: number
  /** Requests that ended here. */
  readonly requests: number
  /** Connections taken from peers. */
  readonly taken: number
}

/** Returns how many connections may be taken in the next interval. */
export function connectionRoom ({ processorMilliseconds, availableProcessorMilliseconds, linkBytes, availableLinkBytes, requests, taken }: IntervalUse): number {
  const [cost, bytes] = requests < MIN_REQUESTS ? [MAX_COST_MS, ASSUMED_BYTES] : [Math.min(MAX_COST_MS, Math.max(MIN_COST_MS, processorMilliseconds / requests)), Math.max(1, linkBytes / requests)]
  const further = Math.min(
    (availableProcessorMilliseconds * TARGET_USE - processorMilliseconds) / cost,
    (availableLinkBytes * TARGET_LINK_USE - linkBytes) / bytes
  )
  return Math.max(0, Math.floor(taken + further))
}
