import { assertNever } from '@quinceshunt/effects'

/** Health of a backend server as seen by this instance. */
export type HealthState =
  /** In use; consecutive failures of requests and of load polls are counted separately, so that one doesn't mask the other. */
  | { readonly kind: 'healthy', readonly failedRequests: number, readonly failedPolls: number, readonly ejections: number }
  /** Not used until a probe at `probeAt` (Unix milliseconds) succeeds. */
  | { readonly kind: 'ejected', readonly probeAt: number, readonly ejections: number }
  /** The probe succeeded; one trial request at a time is allowed until one succeeds. */
  | { readonly kind: 'halfOpen', readonly trialRunning: boolean, readonly ejections: number }

/** An event that affects the health of a backend server; `at` is Unix milliseconds. */
export type HealthEvent =
  | { readonly kind: 'requestStarted', readonly at: number }
  | { readonly kind: 'requestSucceeded', readonly at: number }
  | { readonly kind: 'requestFailed', readonly at: number }
  | { readonly kind: 'pollSucceeded', readonly at: number }
  | { readonly kind: 'pollFailed', readonly at: number }
  /** Its process has certainly ended. */
  | { readonly kind: 'crashed', readonly at: number }
  /** A new process responded. */
  | { readonly kind: 'restarted', readonly at: number }

/** Consecutive failures that eject a backend server; with a poll every 500 ms this takes 1.5 s. */
export const FAILURES_TO_EJECT = 3
/** Delay before the first probe; doubles with each consecutive ejection. */
export const FIRST_PROBE_DELAY_MS = 1000
export const MAX_PROBE_DELAY_MS = 15_000

/** State before the first event. */
export function initialHealth (): HealthState {
  return { kind: 'healthy', failedRequests: 0, failedPolls: 0, ejections: 0 }
}

/** Whether a request may be sent now. */
export function allowsRequest (state: HealthState): boolean {
  switch (state.kind) {
    case 'healthy': return true
    case 'ejected': return false
    case 'halfOpen': return !state.trialRunning
    default: return assertNever(state)
  }
}

/** Returns the state after an event. */
export function applyHealthEvent (state: HealthState, event: HealthEvent): HealthState {
  if (event.kind === 'crashed') return eject(state.ejections, event.at)
  if (event.kind === 'restarted') return initialHealth()
  switch (state.kind) {
    case 'healthy': return nextFromHealthy(state, event)
    case 'ejected':
      return event.kind === 'pollSucceeded' && event.at >= state.probeAt ? { kind: 'halfOpen', trialRunning: false, ejections: state.ejections } : state
    case 'halfOpen': return nextFromHalfOpen(state, event)
    default: return assertNever(state)
  }
}

function nextFromHealthy (state: Extract<HealthState, { kind: 'healthy' }>, event: HealthEvent): HealthState {
  const failedRequests = event.kind === 'requestFailed' ? state.failedRequests + 1 : event.kind === 'requestSucceeded' ? 0 : state.failedRequests
  const failedPolls = event.kind === 'pollFailed' ? state.failedPolls + 1 : event.kind === 'pollSucceeded' ? 0 : state.failedPolls
  if (failedRequests >= FAILURES_TO_EJECT || failedPolls >= FAILURES_TO_EJECT) return eject(state.ejections, event.at)
  const ejections = event.kind === 'requestSucceeded' ? 0 : state.ejections
  return { kind: 'healthy', failedRequests, failedPolls, ejections }
}

function nextFromHalfOpen (state: Extract<HealthState, { kind: 'halfOpen' }>, event: HealthEvent): HealthState {
  switch (event.kind) {
    case 'requestStarted': return { ...state, trialRunning: true }
    case 'requestSucceeded': return { kind: 'healthy', failedRequests: 0, failedPolls: 0, ejections: state.ejections }
    case 'requestFailed':
    case 'pollFailed': return eject(state.ejections, event.at)
    default: return state
  }
}

function eject (ejections: number, at: number): HealthState {
  const delay = Math.min(MAX_PROBE_DELAY_MS, FIRST_PROBE_DELAY_MS * 2 ** Math.min(ejections, 10))
  return { kind: 'ejected', probeAt: at + delay, ejections: ejections + 1 }
}
