export const BYTES_PER_MEGABIT = 125_000

/** What the instance used in a time. */
export interface MeasuredUse {
  readonly sampledMilliseconds: number
  /** Requests that ended. */
  readonly requests: number
  /** Connections forwarded to peers, each for one request. */
  readonly forwarded: number
  readonly receivedBytes: number
  readonly sentBytes: number
  readonly processorMilliseconds: number
}
