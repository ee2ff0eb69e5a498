/**
 * Times after which an attempt without progress is no longer waited for. Load: backend servers that fall silent for a second or so
 * and then go on, and slow ones beside sound ones.
 */

/** Multiple of the latency target after which a retryable request without a response is sent to another backend server. */
const STALL_TIMEOUT_FACTOR = { plain: 0.9, stream: 1.6 } as const
/** Multiple of the event gap target after which a stalled resumable stream is resumed at another backend server. */
const EVENT_GAP_TIMEOUT_FACTOR = 2.5
/** A lower bound for requests without a response. */
const MIN_STALL_TIMEOUT_MS = 250
/** A lower bound for streams that have begun, as a sound backend server may fall silent for about a second. */
export const MIN_STREAM_SILENCE_MS = 1500
/** Callers abandon a stream after a gap of the longest of these: a time, and multiples of the latency target and the event gap target. */
const ABANDONED_STREAM = { milliseconds: 2000, latencyTargets: 4, eventGapTargets: 8 } as const
/** The last event reaches the caller later than this process, so that its gap ends later too. */
const ABANDONED_STREAM_MARGIN_MS = 500

/** Targets of a route. */
export interface StallTargets {
  readonly latencyTargetMilliseconds: number
  readonly eventGapTargetMilliseconds: number
}

/** An attempt without progress, and its backend server. */
export interface StalledAttempt {
  readonly isStream: boolean
  /** True once the response headers were sent to the caller. */
  readonly headersSent: boolean
  /** See `silenceMilliseconds`. */
  readonly backendSilence: number
  /** Time since the backend server last sent any byte. */
  readonly sinceLastByte: number
}

/** Time without progress after which a retry at another backend server is worth more than a longer wait. */
export function stallTimeout (targets: StallTargets, attempt: StalledAttempt): number {
  const isBackendSilent = attempt.backendSilence > 0 || attempt.sinceLastByte > MIN_STALL_TIMEOUT_MS
  const factor = isBackendSilent ? 1 : 2
  if (attempt.headersSent) return Math.max(MIN_STREAM_SILENCE_MS, targets.eventGapTargetMilliseconds * EVENT_GAP_TIMEOUT_FACTOR * factor)
  return Math.max(MIN_STALL_TIMEOUT_MS, targets.latencyTargetMilliseconds * (attempt.isStream ? STALL_TIMEOUT_FACTOR.stream : STALL_TIMEOUT_FACTOR.plain)) * factor
}

/** Time without an event after which the caller has given its stream up. */
export function abandonedGap (targets: StallTargets): number {
  return Math.max(ABANDONED_STREAM.milliseconds, ABANDONED_STREAM.latencyTargets * targets.latencyTargetMilliseconds, ABANDONED_STREAM.eventGapTargets * targets.eventGapTargetMilliseconds) + ABANDONED_STREAM_MARGIN_MS
}
