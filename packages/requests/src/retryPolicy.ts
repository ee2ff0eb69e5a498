import { assertNever } from '@quinceshunt/effects'

/** How an attempt at a backend server ended without a complete response. */
export type AttemptOutcome =
  /** No byte of the request left this instance, for example because the connection was refused. */
  | { readonly kind: 'neverSent' }
  /** The backend server rejected the request before running it (429 or 503). */
  | { readonly kind: 'refusedBeforeRunning' }
  /** The connection closed after the request was sent and before the first byte of a response. */
  | { readonly kind: 'resetBeforeFirstByte' }
  /** The response was cut off, but the backend server is alive. */
  | { readonly kind: 'brokenAfterBytes', readonly bytesReceived: number, readonly resumable: boolean }
  /** The backend server crashed, so its streams can't be resumed. */
  | { readonly kind: 'crashed', readonly bytesReceived: number }
  /** The response carried the ID of another request and was discarded. */
  | { readonly kind: 'wrongRequestId' }
  /** The attempt timed out after the request was sent. */
  | { readonly kind: 'timeout', readonly bytesReceived: number }

/** Whether the request ran, as reported to the caller. */
export type RunState = 'no' | 'yes' | 'unknown'

/** Error code of a request that is not retried any further. */
export type GiveUpCode =
  | 'backend_server_unavailable' | 'overloaded' | 'backend_server_failed' | 'backend_server_crashed'
  | 'answer_broken_off' | 'answer_mismatch' | 'deadline_exceeded' | 'retry_budget_exhausted'

/** What to do after a failed attempt. */
export type RetryDecision =
  /** `asTrial`: the request is now a suspect and may only run as a trial. */
  | { readonly kind: 'retryElsewhere', readonly asTrial: boolean, readonly run: RunState }
  /** Resume the stream on the same engine at this byte offset of its response. */
  | { readonly kind: 'resume', readonly offset: number, readonly run: RunState }
  /** `inStream`: bytes were already sent to the caller, so the response ends with an error event and never with `[DONE]`. */
  | { readonly kind: 'giveUp', readonly run: RunState, readonly code: GiveUpCode, readonly inStream: boolean }

/** Input of `decideAfterAttempt`. */
export interface AttemptContext {
  readonly outcome: AttemptOutcome
  /** As configured in the sheet for the route. */
  readonly idempotent: boolean
  /** Bytes of the response already sent to the caller. */
  readonly bytesSentToCaller: number
  /** Combined state of the earlier attempts of the request; `no` for the first attempt. */
  readonly earlierRunState: RunState
  /** Unix milliseconds. */
  readonly now: number
  /** Unix milliseconds. */
  readonly deadline: number
  /** Consumes one retry of the retry budget; called only if a retry would be made. */
  readonly tryAcquireRetry: () => boolean
}

/** Decides whether a failed attempt is retried, resumed or given up, and whether the request may have run. */
export function decideAfterAttempt (context: AttemptContext): RetryDecision {
  const run = combineRunStates(context.earlierRunState, runStateAfter(context.outcome, context.idempotent))
  const preferred = preferredDecision(context, run)
  if (preferred.kind === 'giveUp') return preferred
  if (context.now >= context.deadline) return giveUp(context, run, 'deadline_exceeded')
  return context.tryAcquireRetry() ? preferred : giveUp(context, run, 'retry_budget_exhausted')
}

/** Combines the states of two attempts: `yes` takes precedence over `unknown`, and `unknown` over `no`. */
export function combineRunStates (first: RunState, second: RunState): RunState {
  if (first === 'yes' || second === 'yes') return 'yes'
  return first === 'unknown' || second === 'unknown' ? 'unknown' : 'no'
}

/** Never `yes` for a non-idempotent request with an incomplete response, since its effect may be incomplete too. */
function runStateAfter (outcome: AttemptOutcome, idempotent: boolean): RunState {
  switch (outcome.kind) {
    case 'neverSent':
    case 'refusedBeforeRunning': return 'no'
    case 'resetBeforeFirstByte':
    case 'wrongRequestId': return 'unknown'
    case 'brokenAfterBytes':
    case 'crashed':
    case 'timeout': return idempotent && outcome.bytesReceived > 0 ? 'yes' : 'unknown'
    default: return assertNever(outcome)
  }
}

function preferredDecision (context: AttemptContext, run: RunState): RetryDecision {
  const { outcome } = context
  switch (outcome.kind) {
    case 'neverSent': return retryElsewhere(context, run, 'backend_server_unavailable')
    case 'refusedBeforeRunning': return retryElsewhere(context, run, 'overloaded')
    case 'resetBeforeFirstByte': return retryElsewhere(context, run, 'backend_server_failed')
    case 'wrongRequestId': return retryElsewhere(context, run, 'answer_mismatch')
    case 'crashed': return retryElsewhere(context, run, 'backend_server_crashed')
    case 'timeout': return retryElsewhere(context, run, 'deadline_exceeded')
    case 'brokenAfterBytes':
      if (context.idempotent && outcome.resumable) return { kind: 'resume', offset: outcome.bytesReceived, run }
      return retryElsewhere(context, run, 'answer_broken_off')
    default: return assertNever(outcome)
  }
}

/** A non-idempotent request is retried only if it certainly has not run. */
function retryElsewhere (context: AttemptContext, run: RunState, code: GiveUpCode): RetryDecision {
  if (context.bytesSentToCaller > 0) return giveUp(context, run, code)
  if (!context.idempotent && run !== 'no') return giveUp(context, run, code)
  return { kind: 'retryElsewhere', asTrial: context.outcome.kind === 'crashed', run }
}

function giveUp (context: AttemptContext, run: RunState, code: GiveUpCode): RetryDecision {
  return { kind: 'giveUp', run, code, inStream: context.bytesSentToCaller > 0 }
}
