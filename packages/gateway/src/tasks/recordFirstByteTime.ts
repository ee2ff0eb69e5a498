import { PREFILL_TOKENS_PER_MILLISECOND, type Choice } from '../decisions/backendChoice.js'
import { recordFirstByte } from '../decisions/backendTally.js'
import type { GatewayContext } from './gatewayContext.js'

/** Normal time to the first byte under load, in addition to the prefill: what exceeds it counts against the backend server. */
const NORMAL_FIRST_BYTE_MS = 120

/** The request that an attempt serves. */
interface TimedRequest {
  readonly service: string
  /** Sends so far. */
  readonly attempts: number
}

type TimingContext = Pick<GatewayContext, 'timings' | 'settings'>

/** Returns the time to the first byte above which it counts against the backend server. */
export function lateFirstByteAfter ({ timings, settings }: TimingContext, { service }: TimedRequest, { prefillTokens }: Choice): number {
  const tokensPerMillisecond = settings.shareLoads ? timings.of(service).tokensPerMillisecond : PREFILL_TOKENS_PER_MILLISECOND
  return NORMAL_FIRST_BYTE_MS + prefillTokens / tokensPerMillisecond
}

/** Records the time to the first byte of a successful response; a rejection takes no prefill. */
export function recordFirstByteTime ({ timings }: TimingContext, request: TimedRequest, { state, prefillTokens }: Choice, milliseconds: number): void {
  const timing = timings.of(request.service)
  recordFirstByte(state.tally, milliseconds, timing.expectedFirstByte(prefillTokens))
  // A repeated request may find its prompt in the cache, so that it gives no information about the prefill time.
  if (request.attempts === 1) timing.recordFirstByte(prefillTokens, milliseconds)
}
