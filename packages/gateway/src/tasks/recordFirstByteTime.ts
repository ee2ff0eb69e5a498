import type { Choice } from '../decisions/backendChoice.js'
import { recordFirstByte } from '../decisions/backendTally.js'
import type { ServiceTiming } from '../decisions/serviceTiming.js'

/** Normal time to the first byte under load, in addition to the prefill: what exceeds it counts against the backend server. */
const NORMAL_FIRST_BYTE_MS = 120

/** The request to whose attempt a first byte has come. */
interface TimedRequest {
  readonly service: string
  /** Sends so far. */
  readonly attempts: number
}

/** Records the time to the first byte of an attempt; returns the time above which it counts against the backend server. */
export function recordFirstByteTime ({ timings }: { readonly timings: { of (service: string): ServiceTiming } }, request: TimedRequest, { state, prefillTokens }: Choice, milliseconds: number): number {
  const timing = timings.of(request.service)
  recordFirstByte(state.tally, milliseconds, timing.expectedFirstByte(prefillTokens))
  // A repeated request may find its prompt in the cache, so that it tells nothing of the prefill.
  if (request.attempts === 1) timing.recordFirstByte(prefillTokens, milliseconds)
  return NORMAL_FIRST_BYTE_MS + prefillTokens / timing.tokensPerMillisecond
}
