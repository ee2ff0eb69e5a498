/** Clock that all instances share: the store's monotonic clock, estimated from its responses. */
export interface SharedClock {
  /** Records that a response with the store's time was received at `receivedAt`. */
  observe (storeTime: number, receivedAt: number): void
  /** Converts a local time; undefined before the first response. */
  fromLocal (at: number): number | undefined
}

/** Creates a clock without observations. The fastest response gives the best estimate, and the offset never shrinks. */
export function createSharedClock (): SharedClock {
  let offset: number | undefined
  return {
    observe: (storeTime, receivedAt) => { offset = Math.max(offset ?? -Infinity, storeTime - receivedAt) },
    fromLocal: (at) => offset === undefined ? undefined : at + offset
  }
}
