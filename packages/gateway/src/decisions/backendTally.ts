/** What this instance has seen of one process of a backend server since it reported last. */
export interface BackendTally {
  /** Requests sent, answered with a response of any kind, and rejected for lack of capacity. */
  sent: number
  answered: number
  rejected: number
  /** Sum, over `ratioCount` responses, of the natural logarithm of observed by expected time to the first byte. */
  logRatioSum: number
  ratioCount: number
}

/** Creates an empty tally. */
export function createBackendTally (): BackendTally {
  return { sent: 0, answered: 0, rejected: 0, logRatioSum: 0, ratioCount: 0 }
}

/** Returns the tally so far and empties it. */
export function takeTally (tally: BackendTally): BackendTally {
  const taken = { ...tally }
  Object.assign(tally, createBackendTally())
  return taken
}

/** Records the time to the first byte of a response. */
export function recordFirstByte (tally: BackendTally, observedMilliseconds: number, expectedMilliseconds: number): void {
  tally.logRatioSum += Math.log(Math.max(1, observedMilliseconds) / Math.max(1, expectedMilliseconds))
  tally.ratioCount++
}
