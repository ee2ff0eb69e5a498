import { assertNever, perform, type Command, type Decision } from '@quinceshunt/effects'
import type { Repetition } from '../fleetConfiguration.js'

/** How one send ended. */
export type AttemptOutcome =
  /** The caller has the whole answer. */
  | { readonly kind: 'delivered', readonly status: number }
  /** No byte reached the backend server. */
  | { readonly kind: 'notSent', readonly reason: string }
  /** The backend server says that it has not run the request. */
  | { readonly kind: 'notRun', readonly reason: string }
  /**
   * A failure that the backend server vouches for and the caller has not got yet. `serverFails`: it has failed others
   * too, so that another backend server may do better.
   */
  | { readonly kind: 'failedAnswer', readonly status: number, readonly serverFails: boolean }
  /** The answer can't be used or broke off; it may have run. `begun`: the caller has the head of the answer. */
  | { readonly kind: 'broken', readonly reason: string, readonly begun: boolean }
  | { readonly kind: 'callerGone' }
  /** The caller's or the route's time is over. */
  | { readonly kind: 'timedOut', readonly begun: boolean }

/** Outcome of asking for tokens. */
export type ReservationOutcome =
  | { readonly kind: 'reserved' }
  /** The balance can't cover the request. */
  | { readonly kind: 'exhausted' }
  /** Tokens can't be had now; `retryAt` in Unix milliseconds. */
  | { readonly kind: 'unavailable', readonly retryAt: number }

/** A backend server that was chosen, by its ID. */
export type ChoiceOutcome =
  | { readonly kind: 'chosen', readonly backendId: string }
  | { readonly kind: 'none', readonly retryAt: number }

export type ReserveTokens = Command<'reserveTokens', ReservationOutcome>
export type ChooseBackend = Command<'chooseBackend', ChoiceOutcome> & { readonly excluded: readonly string[] }
export type SendAttempt = Command<'sendAttempt', AttemptOutcome> & { readonly backendId: string }
/** Takes one repeated send from the fleet's budget; false when it is used up. */
export type TakeRepeat = Command<'takeRepeat', boolean>
export type PlanCommand = ReserveTokens | ChooseBackend | SendAttempt | TakeRepeat

/** What the caller is told in the end. */
export type PlanResult =
  | { readonly kind: 'delivered', readonly status: number }
  /** The held failure of the backend server is passed on. */
  | { readonly kind: 'passFailure' }
  /** It has not run and will not; `retryAt` in Unix milliseconds. */
  | { readonly kind: 'notRun', readonly reason: string, readonly retryAt: number }
  | { readonly kind: 'exhausted' }
  /** It may have run. */
  | { readonly kind: 'unknown', readonly reason: string }
  | { readonly kind: 'timedOut', readonly wasSent: boolean }
  /** An answer that has begun can't be completed: its connection is cut, so that it does not look complete. */
  | { readonly kind: 'cutOff', readonly reason: string }
  | { readonly kind: 'callerGone' }

/** What a plan depends on. */
export interface PlanInput {
  readonly repetition: Repetition
  /** Most backend servers to which the request may be sent. */
  readonly maximumSends: number
  /** Unix milliseconds at which a caller is best told to return after a rejection. */
  readonly retryAt: () => number
}

/** Connections that may fail before a byte is sent, beyond which the request is refused. */
const MAXIMUM_CONNECT_FAILURES = 3

/** True when the request may be sent again although it may have run. */
export function isRepeatable (repetition: Repetition): boolean {
  switch (repetition.kind) {
    case 'idempotent':
    case 'resumableStream': return true
    case 'once':
    case 'onceStream': return false
    default: return assertNever(repetition)
  }
}

/** Carries a request to its answer: reserves tokens, sends it, and sends it again where that is allowed. */
export function * planRequest (input: PlanInput): Decision<PlanCommand, PlanResult> {
  const reservation = yield * perform<ReserveTokens>({ kind: 'reserveTokens' })
  if (reservation.kind === 'exhausted') return { kind: 'exhausted' }
  if (reservation.kind === 'unavailable') return { kind: 'notRun', reason: 'no tokens at hand', retryAt: reservation.retryAt }
  const repeatable = isRepeatable(input.repetition)
  const excluded: string[] = []
  let sends = 0
  let connectFailures = 0
  let mayHaveRun = false
  let begun = false
  let heldFailure = false
  let lastReason = ''

  function giveUp (retryAt: number): PlanResult {
    if (begun) return { kind: 'cutOff', reason: lastReason }
    if (heldFailure) return { kind: 'passFailure' }
    return mayHaveRun ? { kind: 'unknown', reason: lastReason } : { kind: 'notRun', reason: lastReason, retryAt }
  }

  for (;;) {
    const choice = yield * perform<ChooseBackend>({ kind: 'chooseBackend', excluded: [...excluded] })
    if (choice.kind === 'none') {
      if (lastReason === '') lastReason = 'no backend server'
      return giveUp(choice.retryAt)
    }
    const outcome = yield * perform<SendAttempt>({ kind: 'sendAttempt', backendId: choice.backendId })
    switch (outcome.kind) {
      case 'delivered': return outcome
      case 'callerGone': return outcome
      case 'timedOut': return outcome.begun || begun ? { kind: 'cutOff', reason: 'out of time' } : { kind: 'timedOut', wasSent: true }
      case 'notSent':
        connectFailures++
        excluded.push(choice.backendId)
        lastReason = outcome.reason
        if (connectFailures > MAXIMUM_CONNECT_FAILURES) return giveUp(input.retryAt())
        continue
      case 'notRun':
        lastReason = outcome.reason
        break
      case 'failedAnswer':
        mayHaveRun = true
        heldFailure = true
        lastReason = `status ${outcome.status}`
        if (!repeatable || !outcome.serverFails) return { kind: 'passFailure' }
        break
      case 'broken':
        mayHaveRun = true
        begun ||= outcome.begun
        lastReason = outcome.reason
        if (!repeatable) return giveUp(input.retryAt())
        break
      default: return assertNever(outcome)
    }
    sends++
    excluded.push(choice.backendId)
    if (sends >= input.maximumSends) return giveUp(input.retryAt())
    if (!(yield * perform<TakeRepeat>({ kind: 'takeRepeat' }))) return giveUp(input.retryAt())
  }
}
