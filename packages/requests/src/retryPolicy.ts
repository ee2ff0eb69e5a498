import { assertNever } from '@quinceshunt/effects'

/** How one attempt at a backend server ended without a complete answer. */
export type AttemptOutcome =
  /** No byte of the request left this instance, for example because the connection was refused. */
  | { readonly kind: 'neverSent' }
  /** The backend server answered that it refused the request before running it (429 or 503). */
  | { readonly kind: 'refusedBeforeRunning' }
  /** The connection ended after the request was sent and before any byte of an answer. */
  | { readonly kind: 'resetBeforeFirstByte' }
  /** The answer broke off; the backend server is alive. */
  | { readonly kind: 'brokenAfterBytes', readonly bytesReceived: number, readonly resumable: boolean }
  /** The backend server crashed; its streams are lost with it. */
  | { readonly kind: 'crashed', readonly bytesReceived: number }
  /** The answer carried the ID of another request and was dropped. */
  | { readonly kind: 'wrongRequestId' }
  /** The attempt's own time limit passed after the request was sent. */
  | { readonly kind: 'timeout', readonly bytesReceived: number }

/** Whether a request was run, as told to the caller. */
export type RunKnowledge = 'no' | 'yes' | 'unknown'

/** Error code of a request that is given up. */
export type GiveUpCode =
  | 'backend_server_unavailable' | 'overloaded' | 'backend_server_failed' | 'backend_server_crashed'
  | 'answer_broken_off' | 'answer_mismatch' | 'deadline_exceeded' | 'retry_budget_exhausted'

/** What to do after an attempt that failed. */
export type RetryDecision =
  /** `asTrial`: the request is a suspect now and may only be sent as a trial. */
  | { readonly kind: 'retryElsewhere', readonly asTrial: boolean, readonly run: RunKnowledge }
  /** Continue the stream on the same engine from this byte of its answer. */
  | { readonly kind: 'resume', readonly offset: number, readonly run: RunKnowledge }
  /** `inStream`: bytes were sent to the caller, so the answer ends in an error event and never in `[DONE]`. */
  | { readonly kind: 'giveUp', readonly run: RunKnowledge, readonly code: GiveUpCode, readonly inStream: boolean }

/** What a decision after an attempt depends on. */
export interface AttemptContext {
  readonly outcome: AttemptOutcome
  /** As the sheet says for the route. */
  readonly idempotent: boolean
  /** Bytes of the answer that have been sent to the caller. */
  readonly bytesSentToCaller: number
  /** What earlier attempts of the same request left known; `no` for the first attempt. */
  readonly earlierRun: RunKnowledge
  /** Unix milliseconds. */
  readonly now: number
  /** Unix milliseconds. */
  readonly deadline: number
  /** Asks the retry budget for one retry; called only when a retry would be made. */
  readonly takeRetry: () => boolean
}

/** Decides whether a failed attempt is retried, resumed or given up, and what is then known about its run. */
export function decideAfterAttempt (context: AttemptContext): RetryDecision {
  const run = combineRun(context.earlierRun, runAfter(context.outcome, context.idempotent))
  const wanted = wantedDecision(context, run)
  if (wanted.kind === 'giveUp') return wanted
  if (context.now >= context.deadline) return giveUp(context, run, 'deadline_exceeded')
  return context.takeRetry() ? wanted : giveUp(context, run, 'retry_budget_exhausted')
}

/** Knowledge after two attempts: one that certainly ran decides, then one that may have run. */
export function combineRun (first: RunKnowledge, second: RunKnowledge): RunKnowledge {
  if (first === 'yes' || second === 'yes') return 'yes'
  return first === 'unknown' || second === 'unknown' ? 'unknown' : 'no'
}

/** A non-idempotent request whose answer is incomplete is never `yes`: its effect may be incomplete as well. */
function runAfter (outcome: AttemptOutcome, idempotent: boolean): RunKnowledge {
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

function wantedDecision (context: AttemptContext, run: RunKnowledge): RetryDecision {
  const { outcome } = context
  switch (outcome.kind) {
    case 'neverSent': return elsewhere(context, run, 'backend_server_unavailable')
    case 'refusedBeforeRunning': return elsewhere(context, run, 'overloaded')
    case 'resetBeforeFirstByte': return elsewhere(context, run, 'backend_server_failed')
    case 'wrongRequestId': return elsewhere(context, run, 'answer_mismatch')
    case 'crashed': return elsewhere(context, run, 'backend_server_crashed')
    case 'timeout': return elsewhere(context, run, 'deadline_exceeded')
    case 'brokenAfterBytes':
      if (context.idempotent && outcome.resumable) return { kind: 'resume', offset: outcome.bytesReceived, run }
      return elsewhere(context, run, 'answer_broken_off')
    default: return assertNever(outcome)
  }
}

/** A non-idempotent request goes elsewhere only while it has certainly not been run. */
function elsewhere (context: AttemptContext, run: RunKnowledge, code: GiveUpCode): RetryDecision {
  if (context.bytesSentToCaller > 0) return giveUp(context, run, code)
  if (!context.idempotent && run !== 'no') return giveUp(context, run, code)
  return { kind: 'retryElsewhere', asTrial: context.outcome.kind === 'crashed', run }
}

function giveUp (context: AttemptContext, run: RunKnowledge, code: GiveUpCode): RetryDecision {
  return { kind: 'giveUp', run, code, inStream: context.bytesSentToCaller > 0 }
}
