import { assertNever, perform, type Command, type Decision } from '@quinceshunt/effects'
import type { DeliverySemantics } from '../fleetConfiguration.js'

/** Outcome of one attempt to serve a request from a backend server. */
export type AttemptOutcome =
  /** The complete response was written to the caller. */
  | { readonly kind: 'delivered', readonly status: number }
  /** No byte of the request reached the backend server. */
  | { readonly kind: 'notSent', readonly reason: string }
  /** The instance that was to serve the request in place of this one has not taken it, or was not reached. */
  | { readonly kind: 'notTaken', readonly reason: string }
  /** The backend server reports that it has not run the request. */
  | { readonly kind: 'notRun', readonly reason: string }
  /**
   * A signed error response that is buffered and not yet sent to the caller. `isBackendFailing`: the backend server has
   * failed other requests too, so that another one may succeed.
   */
  | { readonly kind: 'errorResponse', readonly status: number, readonly isBackendFailing: boolean }
  /** The response is unusable or incomplete; the request may have run. `headersSent`: to the caller. */
  | { readonly kind: 'broken', readonly reason: string, readonly headersSent: boolean }
  /** The backend server is silent and a retry at another one is reserved. The attempt goes on until that retry is answered. */
  | { readonly kind: 'setAside', readonly reason: string, readonly headersSent: boolean, readonly nextBackendId: string }
  /** A retry that was ended because the attempt that was set aside for it has gone on. */
  | { readonly kind: 'superseded' }
  | { readonly kind: 'callerGone' }
  /** The caller's or the route's timeout has passed. */
  | { readonly kind: 'timedOut', readonly headersSent: boolean }

/** Outcome of reserving a retry while an attempt is still in progress; its share of the retry budget is consumed. */
export type RetryReservation =
  | { readonly kind: 'reserved', readonly backendId: string }
  | { readonly kind: 'refused', readonly reason: string }

/** Outcome of a token reservation. */
export type ReservationOutcome =
  | { readonly kind: 'reserved' }
  /** The account's balance does not cover the request. */
  | { readonly kind: 'exhausted' }
  /** No tokens are available at present; `retryAt` in Unix milliseconds. */
  | { readonly kind: 'unavailable', readonly retryAt: number }

/** Outcome of the selection of a backend server; `retryAt` in Unix milliseconds. */
export type ChoiceOutcome =
  /** `isAvoided`: it could not be reached a moment ago, and no other one can be chosen. */
  | { readonly kind: 'chosen', readonly backendId: string, readonly isAvoided?: boolean }
  | { readonly kind: 'none', readonly reason: string, readonly retryAt: number }
  /** The request must not be sent, as it crashes backend servers. */
  | { readonly kind: 'quarantined', readonly reason: string, readonly retryAt: number }

/** Whether the caller still waits; false when its connection has ended. */
export type ConfirmCaller = Command<'confirmCaller', boolean>
export type ReserveTokens = Command<'reserveTokens', ReservationOutcome>
export type ChooseBackend = Command<'chooseBackend', ChoiceOutcome> & { readonly excluded: readonly string[] }
export type SendAttempt = Command<'sendAttempt', AttemptOutcome> & { readonly backendId: string }
/** Goes on with the attempt that was set aside; undefined when it was given up for the retry. */
export type ContinueAttempt = Command<'continueAttempt', AttemptOutcome | undefined>
/** Consumes one retry of the fleet's retry budget; false when it is exhausted. */
export type ConsumeRetry = Command<'consumeRetry', boolean>
/** Reserves one more send to one of the backend servers that were given up for a silence. */
export type ReserveReturn = Command<'reserveReturn', RetryReservation> & { readonly backendIds: readonly string[] }
export type PlanCommand = ConfirmCaller | ReserveTokens | ChooseBackend | SendAttempt | ContinueAttempt | ConsumeRetry | ReserveReturn

/** Final result of a request, as reported to the caller. */
export type PlanResult =
  | { readonly kind: 'delivered', readonly status: number }
  /** The buffered error response of the backend server is forwarded. */
  | { readonly kind: 'passFailure' }
  /** The request has not run and will not; `retryAt` in Unix milliseconds. */
  | { readonly kind: 'notRun', readonly reason: string, readonly retryAt: number }
  | { readonly kind: 'exhausted' }
  /** The request may have run. */
  | { readonly kind: 'unknown', readonly reason: string }
  | { readonly kind: 'timedOut', readonly wasSent: boolean }
  /** A partly sent response can't be completed; the connection is closed, so that the caller does not take it as complete. */
  | { readonly kind: 'cutOff', readonly reason: string }
  | { readonly kind: 'callerGone' }

/** Input of a plan. */
export interface PlanInput {
  readonly deliverySemantics: DeliverySemantics
  /** Maximum number of attempts that reach a backend server. */
  readonly maximumAttempts: number
  /** Returns the retry time, in Unix milliseconds, to suggest to a caller after a rejection. */
  readonly retryAt: () => number
}

/** Failed connections, none of which counts as an attempt, after which backend servers that are avoided get no more of them. */
const MAX_CONNECT_FAILURES = 3

/** Instances that may decline a relayed request; with one more it is rejected. */
const MAX_DECLINES = 3

/** Returns true when a request that may have run may be sent again. */
export function isRetryable (deliverySemantics: DeliverySemantics): boolean {
  switch (deliverySemantics.kind) {
    case 'idempotent':
    case 'resumableStream': return true
    case 'once':
    case 'onceStream': return false
    default: return assertNever(deliverySemantics)
  }
}

/** Returns true when an attempt has brought nothing that must be forwarded, so that one that was set aside for it is still of use. */
function isWithoutAnswer (outcome: AttemptOutcome): boolean {
  switch (outcome.kind) {
    case 'notSent':
    case 'notTaken':
    case 'notRun':
    case 'broken':
    case 'superseded': return true
    case 'errorResponse': return outcome.isBackendFailing
    case 'delivered':
    case 'setAside':
    case 'callerGone':
    case 'timedOut': return false
    default: return assertNever(outcome)
  }
}

/** Plans a request: reserves tokens, sends it to a backend server, and retries where its delivery semantics allow it. */
export function * planRequest (input: PlanInput): Decision<PlanCommand, PlanResult> {
  const reservation = yield * perform<ReserveTokens>({ kind: 'reserveTokens' })
  if (reservation.kind === 'exhausted') return { kind: 'exhausted' }
  if (reservation.kind === 'unavailable') return { kind: 'notRun', reason: 'no tokens at hand', retryAt: reservation.retryAt }
  const retryable = isRetryable(input.deliverySemantics)
  const excluded: string[] = []
  let attempts = 0
  let connectFailures = 0
  let declines = 0
  let mayHaveRun = false
  let headersSent = false
  let hasBufferedFailure = false
  let lastReason = ''
  let reservedBackendId: string | undefined
  /** The backend server of the attempt that is set aside. */
  let setAsideId: string | undefined
  /** Backend servers that were given up for a retry elsewhere and may have gone on since; the request returns to one of them at most once. */
  let returnIds: string[] = []

  function failureResult (retryAt: number): PlanResult {
    if (headersSent) return { kind: 'cutOff', reason: lastReason }
    if (hasBufferedFailure) return { kind: 'passFailure' }
    return mayHaveRun ? { kind: 'unknown', reason: lastReason } : { kind: 'notRun', reason: lastReason, retryAt }
  }

  for (;;) {
    if (!(yield * perform<ConfirmCaller>({ kind: 'confirmCaller' }))) return { kind: 'callerGone' }
    const choice: ChoiceOutcome = reservedBackendId === undefined
      ? yield * perform<ChooseBackend>({ kind: 'chooseBackend', excluded: [...excluded] })
      : { kind: 'chosen', backendId: reservedBackendId }
    reservedBackendId = undefined
    if (choice.kind === 'quarantined') {
      lastReason = choice.reason
      return failureResult(choice.retryAt)
    }
    if (choice.kind === 'none') {
      if (lastReason === '') lastReason = choice.reason
      return failureResult(choice.retryAt)
    }
    if (connectFailures > MAX_CONNECT_FAILURES && choice.isAvoided === true) return failureResult(input.retryAt())
    let sentTo = choice.backendId
    let outcome = yield * perform<SendAttempt>({ kind: 'sendAttempt', backendId: choice.backendId })
    excluded.push(choice.backendId)
    const continued: AttemptOutcome | undefined = setAsideId !== undefined && isWithoutAnswer(outcome) ? yield * perform<ContinueAttempt>({ kind: 'continueAttempt' }) : undefined
    if (continued !== undefined) {
      // The attempt that was set aside was counted then; the retry counts in its place.
      mayHaveRun ||= outcome.kind === 'broken' || outcome.kind === 'superseded'
      hasBufferedFailure ||= outcome.kind === 'errorResponse'
      if (outcome.kind === 'notSent' || outcome.kind === 'notTaken') attempts--
      sentTo = setAsideId ?? sentTo
      outcome = continued
    } else if (setAsideId !== undefined) {
      returnIds.push(setAsideId)
    }
    setAsideId = undefined
    switch (outcome.kind) {
      case 'delivered': return outcome
      case 'callerGone': return outcome
      case 'timedOut': return outcome.headersSent || headersSent ? { kind: 'cutOff', reason: 'out of time' } : { kind: 'timedOut', wasSent: true }
      case 'notSent':
        connectFailures++
        lastReason = outcome.reason
        // Only a request that has returned is sent without an attempt left; another backend server would be one too many.
        if (attempts >= input.maximumAttempts) {
          if (connectFailures > MAX_CONNECT_FAILURES) return failureResult(input.retryAt())
          reservedBackendId = sentTo
        }
        continue
      case 'notTaken':
        declines++
        lastReason = outcome.reason
        if (declines > MAX_DECLINES) return failureResult(input.retryAt())
        continue
      case 'notRun':
        lastReason = outcome.reason
        break
      case 'errorResponse':
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
      case 'setAside':
        mayHaveRun = true
        headersSent ||= outcome.headersSent
        lastReason = outcome.reason
        attempts++
        reservedBackendId = outcome.nextBackendId
        setAsideId = sentTo
        continue
      case 'superseded':
        lastReason = 'the attempt before it has gone on'
        break
      default: return assertNever(outcome)
    }
    attempts++
    if (attempts < input.maximumAttempts && (yield * perform<ConsumeRetry>({ kind: 'consumeRetry' }))) continue
    if (returnIds.length === 0) return failureResult(input.retryAt())
    const returned = yield * perform<ReserveReturn>({ kind: 'reserveReturn', backendIds: returnIds })
    returnIds = []
    if (returned.kind === 'refused') return failureResult(input.retryAt())
    reservedBackendId = returned.backendId
  }
}
