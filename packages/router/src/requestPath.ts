import { perform, type Command, type Decision } from '@quinceshunt/effects'
import { combineRunStates, decideAfterAttempt, type AttemptOutcome, type GiveUpCode, type RunState } from '@quinceshunt/requests'
import type { CallerError } from './callerError.js'
import type { AdmissionOutcome, ReservationOutcome, Slot, SlotOutcome } from './services.js'

/** Token usage to bill for a request. */
export interface Charge {
  readonly promptTokens: number
  readonly completionTokens: number
  /** Whether the reserved ceiling is charged because the engine reported no usage. */
  readonly estimated: boolean
}

/** Outcome of one attempt; `Answer` is the type of a complete response. */
export type AttemptResult<Answer> =
  | { readonly kind: 'answered', readonly answer: Answer, readonly charge: Charge }
  /** The request itself is invalid, so other backend servers would reject it too. */
  | { readonly kind: 'rejected', readonly error: CallerError, readonly charge: Charge | undefined }
  | { readonly kind: 'failed', readonly outcome: AttemptOutcome, readonly unitsSentToCaller: number, readonly charge: Charge | undefined }
  /** The caller disconnected; `charge` is undefined if the request certainly was not run. */
  | { readonly kind: 'callerGone', readonly charge: Charge | undefined }

export interface AdmitCommand extends Command<'admit', AdmissionOutcome> { readonly kind: 'admit' }
export interface ReserveCommand extends Command<'reserve', ReservationOutcome> { readonly kind: 'reserve' }
/** If `trial` is set, resolves with undefined when no backend server is available for a trial. */
export interface AcquireCommand extends Command<'acquire', SlotOutcome | undefined> { readonly kind: 'acquire', readonly excluded: ReadonlySet<string>, readonly trial: boolean }
export interface AttemptCommand<Answer> extends Command<'attempt', AttemptResult<Answer>> { readonly kind: 'attempt', readonly slot: Slot, readonly resumeOffset: number | undefined }
export interface ReleaseSlotCommand extends Command<'releaseSlot'> { readonly kind: 'releaseSlot', readonly slot: Slot, readonly result: SlotReleaseResult, readonly trial: boolean }
export interface NowCommand extends Command<'now', number> { readonly kind: 'now' }
/** Settles the reservation; resolves when the bill has been written or its wait time has elapsed. */
export interface SettleCommand extends Command<'settle'> { readonly kind: 'settle', readonly charge: Charge }
export interface ReleaseReservationCommand extends Command<'releaseReservation'> { readonly kind: 'releaseReservation' }

/** `unused`: the request did not complete, through no fault of the backend server. */
export type SlotReleaseResult = 'completed' | 'unused' | 'failed' | 'crashed'

/** Commands of the request path. */
export type RequestCommand<Answer> =
  | AdmitCommand | ReserveCommand | AcquireCommand | AttemptCommand<Answer> | ReleaseSlotCommand
  | NowCommand | SettleCommand | ReleaseReservationCommand

/** Properties of a request that its control flow depends on. */
export interface RequestPlan {
  /** From the sheet's route; true for chat completions. */
  readonly idempotent: boolean
  /** Unix milliseconds. */
  readonly deadline: number
  /** Acquires one retry from the instance's retry budget; returns false if none is left. */
  readonly tryAcquireRetry: (now: number) => boolean
}

/** Outcome of a request. */
export type RequestResult<Answer> =
  | { readonly kind: 'answered', readonly answer: Answer }
  /** `inStream`: part of a stream has been sent, so the error must be sent as an event. */
  | { readonly kind: 'failed', readonly error: CallerError, readonly inStream: boolean }
  | { readonly kind: 'callerGone', readonly run: RunState }

/** Advertised to callers after transient failures. */
const RETRY_DELAY_MS = 1000

/** Serves one request: admission, reservation, attempts, and exactly one settlement or release of the reservation. */
export function * serveRequest<Answer> (plan: RequestPlan): Decision<RequestCommand<Answer>, RequestResult<Answer>> {
  const admission = yield * perform<AdmitCommand>({ kind: 'admit' })
  if (admission.kind === 'quarantined') return failed(quarantinedError('no'))
  const reservation = yield * perform<ReserveCommand>({ kind: 'reserve' })
  if (reservation.kind === 'refused') {
    const status = reservation.code === 'budget_exhausted' ? 402 : 503
    return failed({ status, code: reservation.code, message: reservation.message, run: 'no', retryAt: reservation.retryAt })
  }
  const outcome = yield * runAttempts<Answer>(plan, admission.kind === 'suspect')
  // The only place that ends the reservation, so that no code path leaks it or settles it twice.
  if (outcome.charge === undefined) yield * perform<ReleaseReservationCommand>({ kind: 'releaseReservation' })
  else yield * perform<SettleCommand>({ kind: 'settle', charge: outcome.charge })
  return outcome.result
}

/** Outcome of all attempts; `charge` is undefined if the request certainly was not run. */
interface AttemptsOutcome<Answer> {
  readonly result: RequestResult<Answer>
  readonly charge: Charge | undefined
}

function * runAttempts<Answer> (plan: RequestPlan, suspect: boolean): Decision<RequestCommand<Answer>, AttemptsOutcome<Answer>> {
  const excluded = new Set<string>()
  let trial = suspect
  let run: RunState = 'no'
  let charge: Charge | undefined
  for (;;) {
    const acquired = yield * perform<AcquireCommand>({ kind: 'acquire', excluded, trial })
    if (acquired === undefined) return { result: failed(trialUnavailableError(run)), charge }
    if (acquired.kind === 'shed') {
      const { status, code, message, retryAt } = acquired
      return { result: failed({ status, code, message, run, retryAt }), charge }
    }
    if (!trial) {
      // A request with the same content may have crashed a backend server while this one was queued.
      const readmission = yield * perform<AdmitCommand>({ kind: 'admit' })
      if (readmission.kind !== 'admitted') {
        yield * perform<ReleaseSlotCommand>({ kind: 'releaseSlot', slot: acquired.slot, result: 'unused', trial })
        if (readmission.kind === 'quarantined') return { result: failed(quarantinedError(run)), charge }
        trial = true
        continue
      }
    }
    let resumeOffset: number | undefined
    for (;;) {
      const attempt: AttemptResult<Answer> = yield * perform<AttemptCommand<Answer>>({ kind: 'attempt', slot: acquired.slot, resumeOffset })
      if (attempt.kind !== 'failed') {
        yield * perform<ReleaseSlotCommand>({ kind: 'releaseSlot', slot: acquired.slot, result: attempt.kind === 'callerGone' ? 'unused' : 'completed', trial })
        return finalOutcome(attempt, charge, run)
      }
      // Keeps the charge of an earlier attempt that may have run if this attempt certainly did not.
      charge = attempt.charge ?? charge
      const now = yield * perform<NowCommand>({ kind: 'now' })
      const decision = decideAfterAttempt({
        outcome: attempt.outcome,
        idempotent: plan.idempotent,
        bytesSentToCaller: attempt.unitsSentToCaller,
        earlierRunState: run,
        now,
        deadline: plan.deadline,
        tryAcquireRetry: () => plan.tryAcquireRetry(now)
      })
      run = combineRunStates(run, decision.run)
      if (decision.kind === 'resume') {
        resumeOffset = decision.offset
        continue
      }
      yield * perform<ReleaseSlotCommand>({ kind: 'releaseSlot', slot: acquired.slot, result: slotReleaseResult(attempt.outcome), trial })
      if (decision.kind === 'giveUp') return { result: { kind: 'failed', error: giveUpError(decision.code, run, now), inStream: decision.inStream }, charge }
      excluded.add(acquired.slot.backendServer.id)
      if (decision.asTrial) {
        trial = true
        const readmission = yield * perform<AdmitCommand>({ kind: 'admit' })
        if (readmission.kind === 'quarantined') return { result: failed(quarantinedError(run)), charge }
        // Crashes that are not attributed to requests, such as those of a whole failure domain, create no suspect.
        trial = readmission.kind === 'suspect'
      }
      break
    }
  }
}

function slotReleaseResult (outcome: AttemptOutcome): SlotReleaseResult {
  if (outcome.kind === 'crashed') return 'crashed'
  return outcome.kind === 'refusedBeforeRunning' ? 'unused' : 'failed'
}

function finalOutcome<Answer> (attempt: Exclude<AttemptResult<Answer>, { readonly kind: 'failed' }>, earlierCharge: Charge | undefined, run: RunState): AttemptsOutcome<Answer> {
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

function trialUnavailableError (run: RunState): CallerError {
  return { status: 503, code: 'request_suspect', message: 'a backend server crashed while running this content, so it only runs in isolation; no backend server is free for that now', run }
}

function giveUpError (code: GiveUpCode, run: RunState, now: number): CallerError {
  const { status, message } = GIVE_UP_ERRORS[code]
  return { status, code, message, run, retryAt: now + RETRY_DELAY_MS }
}

const GIVE_UP_ERRORS: Record<GiveUpCode, { readonly status: number, readonly message: string }> = {
  backend_server_unavailable: { status: 503, message: 'no backend server could be reached' },
  overloaded: { status: 503, message: 'all backend servers refused the request before running it' },
  backend_server_failed: { status: 502, message: 'the backend server closed the connection before responding' },
  backend_server_crashed: { status: 502, message: 'the backend server crashed while running the request' },
  answer_broken_off: { status: 502, message: 'the response was interrupted and could not be resumed' },
  answer_mismatch: { status: 502, message: 'the backend server sent the response of another request, which was dropped' },
  deadline_exceeded: { status: 504, message: 'the request did not complete before its deadline' },
  retry_budget_exhausted: { status: 503, message: 'the attempt failed, and the retry budget of this instance is exhausted' }
}
