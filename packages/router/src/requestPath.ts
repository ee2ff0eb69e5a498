import { perform, type Command, type Decision } from '@quinceshunt/effects'
import { combineRunStates, decideAfterAttempt, type AttemptOutcome, type GiveUpCode, type RunState } from '@quinceshunt/requests'
import type { CallerError } from './callerError.js'
import type { AdmissionOutcome, ReservationOutcome, Slot, SlotOutcome } from './services.js'

/** What a bill is made of. */
export interface Charge {
  readonly promptTokens: number
  readonly completionTokens: number
  /** True when no usage report was received, and the ceiling is charged. */
  readonly estimated: boolean
}

/** How one attempt ended. `Answer` is what a complete one yields. */
export type AttemptResult<Answer> =
  | { readonly kind: 'answered', readonly answer: Answer, readonly charge: Charge }
  /** The backend server refused the request for what it is; another one would do the same. */
  | { readonly kind: 'rejected', readonly error: CallerError, readonly charge: Charge | undefined }
  | { readonly kind: 'failed', readonly outcome: AttemptOutcome, readonly unitsSentToCaller: number, readonly charge: Charge | undefined }
  /** The caller went away; `charge` is undefined when certainly nothing was run. */
  | { readonly kind: 'callerGone', readonly charge: Charge | undefined }

export interface AdmitCommand extends Command<'admit', AdmissionOutcome> { readonly kind: 'admit' }
export interface ReserveCommand extends Command<'reserve', ReservationOutcome> { readonly kind: 'reserve' }
/** `trial`: resolves undefined when no backend server is free for a trial. */
export interface AcquireCommand extends Command<'acquire', SlotOutcome | undefined> { readonly kind: 'acquire', readonly excluded: ReadonlySet<string>, readonly trial: boolean }
export interface AttemptCommand<Answer> extends Command<'attempt', AttemptResult<Answer>> { readonly kind: 'attempt', readonly slot: Slot, readonly resumeOffset: number | undefined }
export interface ReleaseSlotCommand extends Command<'releaseSlot'> { readonly kind: 'releaseSlot', readonly slot: Slot, readonly result: SlotResult, readonly trial: boolean }
export interface NowCommand extends Command<'now', number> { readonly kind: 'now' }
/** Ends the reservation; resolves when the bill is written or its wait is over. */
export interface SettleCommand extends Command<'settle'> { readonly kind: 'settle', readonly charge: Charge }
export interface ReleaseReservationCommand extends Command<'releaseReservation'> { readonly kind: 'releaseReservation' }

/** `completed`: the backend server did its part; `unused`: it did not run the request and is not to blame. */
export type SlotResult = 'completed' | 'unused' | 'failed' | 'crashed'

/** Commands of the request path. */
export type RequestCommand<Answer> =
  | AdmitCommand | ReserveCommand | AcquireCommand | AttemptCommand<Answer> | ReleaseSlotCommand
  | NowCommand | SettleCommand | ReleaseReservationCommand

/** What the request path depends on. */
export interface RequestPlan {
  /** As the sheet says for the route; chat completions are idempotent. */
  readonly idempotent: boolean
  /** Unix milliseconds. */
  readonly deadline: number
  /** Takes one retry from the instance's retry budget when there is one. */
  readonly takeRetry: (now: number) => boolean
}

/** How a request ended. */
export type RequestResult<Answer> =
  | { readonly kind: 'answered', readonly answer: Answer }
  /** `inStream`: part of the answer was sent, so that it ends in an error event. */
  | { readonly kind: 'failed', readonly error: CallerError, readonly inStream: boolean }
  | { readonly kind: 'callerGone', readonly run: RunState }

/** Wait before a caller should try again after a failure that may pass. */
const RETRY_AFTER_MILLISECONDS = 1000

/** Serves one request: admission, reservation, attempts at backend servers, and exactly one settlement or release. */
export function * serveRequest<Answer> (plan: RequestPlan): Decision<RequestCommand<Answer>, RequestResult<Answer>> {
  const admission = yield * perform<AdmitCommand>({ kind: 'admit' })
  if (admission.kind === 'quarantined') return failed(quarantinedError('no'))
  const reserved = yield * perform<ReserveCommand>({ kind: 'reserve' })
  if (reserved.kind === 'refused') {
    const status = reserved.code === 'budget_exhausted' ? 402 : 503
    return failed({ status, code: reserved.code, message: reserved.message, run: 'no', retryAt: reserved.retryAt })
  }
  const ended = yield * runAttempts<Answer>(plan, admission.kind === 'suspect')
  // Ended in one place, so that no path leaves a reservation open or settles it twice.
  if (ended.charge === undefined) yield * perform<ReleaseReservationCommand>({ kind: 'releaseReservation' })
  else yield * perform<SettleCommand>({ kind: 'settle', charge: ended.charge })
  return ended.result
}

/** Result of all attempts; `charge` is undefined when the request was certainly not run. */
interface AttemptsEnd<Answer> {
  readonly result: RequestResult<Answer>
  readonly charge: Charge | undefined
}

function * runAttempts<Answer> (plan: RequestPlan, suspect: boolean): Decision<RequestCommand<Answer>, AttemptsEnd<Answer>> {
  const excluded = new Set<string>()
  let trial = suspect
  let run: RunState = 'no'
  let charge: Charge | undefined
  for (;;) {
    const acquired = yield * perform<AcquireCommand>({ kind: 'acquire', excluded, trial })
    if (acquired === undefined) return { result: failed(noTrialError(run)), charge }
    if (acquired.kind === 'shed') {
      const { status, code, message, retryAt } = acquired
      return { result: failed({ status, code, message, run, retryAt }), charge }
    }
    if (!trial) {
      // The content may have crashed a backend server elsewhere while this request waited in a queue.
      const standing = yield * perform<AdmitCommand>({ kind: 'admit' })
      if (standing.kind !== 'admitted') {
        yield * perform<ReleaseSlotCommand>({ kind: 'releaseSlot', slot: acquired.slot, result: 'unused', trial })
        if (standing.kind === 'quarantined') return { result: failed(quarantinedError(run)), charge }
        trial = true
        continue
      }
    }
    let resumeOffset: number | undefined
    for (;;) {
      const attempt: AttemptResult<Answer> = yield * perform<AttemptCommand<Answer>>({ kind: 'attempt', slot: acquired.slot, resumeOffset })
      if (attempt.kind !== 'failed') {
        yield * perform<ReleaseSlotCommand>({ kind: 'releaseSlot', slot: acquired.slot, result: attempt.kind === 'callerGone' ? 'unused' : 'completed', trial })
        return endOf(attempt, charge, run)
      }
      // A later attempt that certainly did not run must not cancel the charge of an earlier one that may have run.
      charge = attempt.charge ?? charge
      const now = yield * perform<NowCommand>({ kind: 'now' })
      const next = decideAfterAttempt({
        outcome: attempt.outcome,
        idempotent: plan.idempotent,
        bytesSentToCaller: attempt.unitsSentToCaller,
        earlierRunState: run,
        now,
        deadline: plan.deadline,
        tryAcquireRetry: () => plan.takeRetry(now)
      })
      run = combineRunStates(run, next.run)
      if (next.kind === 'resume') {
        resumeOffset = next.offset
        continue
      }
      yield * perform<ReleaseSlotCommand>({ kind: 'releaseSlot', slot: acquired.slot, result: slotResult(attempt.outcome), trial })
      if (next.kind === 'giveUp') return { result: { kind: 'failed', error: giveUpError(next.code, run, now), inStream: next.inStream }, charge }
      excluded.add(acquired.slot.backendServer.id)
      if (next.asTrial) {
        trial = true
        const again = yield * perform<AdmitCommand>({ kind: 'admit' })
        if (again.kind === 'quarantined') return { result: failed(quarantinedError(run)), charge }
        // A crash that is not put down to requests, such as that of a whole failure domain, leaves no suspect.
        trial = again.kind === 'suspect'
      }
      break
    }
  }
}

function slotResult (outcome: AttemptOutcome): SlotResult {
  if (outcome.kind === 'crashed') return 'crashed'
  return outcome.kind === 'refusedBeforeRunning' ? 'unused' : 'failed'
}

function endOf<Answer> (attempt: Exclude<AttemptResult<Answer>, { readonly kind: 'failed' }>, earlierCharge: Charge | undefined, run: RunState): AttemptsEnd<Answer> {
  switch (attempt.kind) {
    case 'answered':
      return { result: { kind: 'answered', answer: attempt.answer }, charge: attempt.charge }
    case 'rejected':
      return { result: failed({ ...attempt.error, run: combineRunStates(run, attempt.error.run) }), charge: attempt.charge ?? earlierCharge }
    case 'callerGone':
      return { result: { kind: 'callerGone', run: combineRunStates(run, attempt.charge === undefined ? 'no' : 'unknown') }, charge: attempt.charge ?? earlierCharge }
  }
}

function failed<Answer> (error: CallerError): RequestResult<Answer> {
  return { kind: 'failed', error, inStream: false }
}

function quarantinedError (run: RunState): CallerError {
  return { status: 422, code: 'request_quarantined', message: 'requests with this content have crashed backend servers and are not run; change the content', run }
}

function noTrialError (run: RunState): CallerError {
  return { status: 503, code: 'request_suspect', message: 'a backend server crashed while it ran this content, and it can only be run on its own; none is free for that now', run }
}

function giveUpError (code: GiveUpCode, run: RunState, now: number): CallerError {
  const { status, message } = GIVE_UP_ERRORS[code]
  return { status, code, message, run, retryAt: now + RETRY_AFTER_MILLISECONDS }
}

const GIVE_UP_ERRORS: Record<GiveUpCode, { readonly status: number, readonly message: string }> = {
  backend_server_unavailable: { status: 503, message: 'no backend server could be reached' },
  overloaded: { status: 503, message: 'all backend servers refused the request before running it' },
  backend_server_failed: { status: 502, message: 'the backend server closed the connection before it answered' },
  backend_server_crashed: { status: 502, message: 'the backend server crashed while it ran the request' },
  answer_broken_off: { status: 502, message: 'the answer broke off and could not be resumed' },
  answer_mismatch: { status: 502, message: 'the backend server answered another request; its answer was dropped' },
  deadline_exceeded: { status: 504, message: 'the request was not answered before its deadline' },
  retry_budget_exhausted: { status: 503, message: 'the attempt failed, and too many requests are being retried already' }
}
