import { assertNever, perform, type Command, type Decision } from '@quinceshunt/effects'
import type { DeliverySemantics } from '../fleetConfiguration.js'

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
  | { readonly kind: 'failedAnswer', readonly status: number, readonly isBackendFailing: boolean }
  /** The answer can't be used or broke off; it may have run. `begun`: the caller has the head of the answer. */
  | { readonly kind: 'broken', readonly reason: string, readonly headersSent: boolean }
  | { readonly kind: 'callerGone' }
  /** The caller's or the route's time is over. */
  | { readonly kind: 'timedOut', readonly headersSent: boolean }

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
export type ConsumeRetry = Command<'consumeRetry', boolean>
export type PlanCommand = ReserveTokens | ChooseBackend | SendAttempt | ConsumeRetry

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
  readonly deliverySemantics: DeliverySemantics
  /** Most backend servers to which the request may be sent. */
  readonly maximumAttempts: number
  /** Unix milliseconds at which a caller is best told to return after a rejection. */
  readonly retryAt: () => number
}

/** Connections that may fail before a byte is sent, beyond which the request is refused. */
const MAXIMUM_CONNECT_FAILURES = 3

/** True when the request may be sent again although it may have run. */
export function isRetryable (deliverySemantics: DeliverySemantics): boolean {
  switch (deliverySemantics.kind) {
    case 'idempotent':
    case 'resumableStream': return true
    case 'once':
    case 'onceStream': return false
    default: return assertNever(deliverySemantics)
  }
}

/** Carries a request to its answer: reserves tokens, sends it, and sends it again where that is allowed. */
export function * planRequest (input: PlanInput): Decision<PlanCommand, PlanResult> {
  const reservation = yield * perform<ReserveTokens>({ kind: 'reserveTokens' })
  if (reservation.kind === 'exhausted') return { kind: 'exhausted' }
  if (reservation.kind === 'unavailable') return { kind: 'notRun', reason: 'no tokens at hand', retryAt: reservation.retryAt }
  const retryable = isRetryable(input.deliverySemantics)
  const excluded: string[] = []
  let attempts = 0
  let connectFailures = 0
  let mayHaveRun = false
  let headersSent = false
  let hasBufferedFailure = false
  let lastReason = ''

  function failureResult (retryAt: number): PlanResult {
    if (headersSent) return { kind: 'cutOff', reason: lastReason }
    if (hasBufferedFailure) return { kind: 'passFailure' }
    return mayHaveRun ? { kind: 'unknown', reason: lastReason } : { kind: 'notRun', reason: lastReason, retryAt }
  }

  for (;;) {
    const choice = yield * perform<ChooseBackend>({ kind: 'chooseBackend', excluded: [...excluded] })
    if (choice.kind === 'none') {
      if (lastReason === '') lastReason = 'no backend server'
      return failureResult(choice.retryAt)
    }
    const outcome = yield * perform<SendAttempt>({ kind: 'sendAttempt', backendId: choice.backendId })
    switch (outcome.kind) {
      case 'delivered': return outcome
      case 'callerGone': return outcome
      case 'timedOut': return outcome.headersSent || headersSent ? { kind: 'cutOff', reason: 'out of time' } : { kind: 'timedOut', wasSent: true }
      case 'notSent':
        connectFailures++
        excluded.push(choice.backendId)
        lastReason = outcome.reason
        if (connectFailures > MAXIMUM_CONNECT_FAILURES) return failureResult(input.retryAt())
        continue
      case 'notRun':
        lastReason = outcome.reason
        break
      case 'failedAnswer':
        mayHaveRun = true
        hasBufferedFailure = true
        lastReason = `status ${outcome.status}`
        if (!retryable || !outcome.isBackendFailing) return { kind: 'passFailure' }
        break
      case 'broken':
        mayHaveRun = true
        headersSent ||= outcome.headersSent
        lastReason = outcome.reason
        if (!retryable) return failureResult(input.retryAt())
        break
      default: return assertNever(outcome)
    }
    attempts++
    excluded.push(choice.backendId)
    if (attempts >= input.maximumAttempts) return failureResult(input.retryAt())
    if (!(yield * perform<ConsumeRetry>({ kind: 'consumeRetry' }))) return failureResult(input.retryAt())
  }
}
