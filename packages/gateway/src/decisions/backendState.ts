import type { BackendServerEntry } from '../fleetConfiguration.js'
import type { PromptPart, ReportedLoad } from '../ports.js'

/** Time in which a failure's weight halves, milliseconds. */
const FAILURE_HALF_LIFE_MS = 4000
/** Time in which an observed delay's weight halves, milliseconds; slow backend servers are tried again after a few. */
const EXCESS_DELAY_HALF_LIFE_MS = 3000
/** Weight of a new observation of delay against the earlier ones. */
const EXCESS_DELAY_SMOOTHING = 0.3
/** First time for which a backend server that could not be reached is avoided, milliseconds; doubles each time. */
const INITIAL_AVOIDANCE_MS = 500
/** Longest time for which a backend server is avoided, milliseconds, so that a returning one is found within seconds. */
const MAX_AVOIDANCE_MS = 4000
/** Prompt parts remembered for one backend server. */
const MAX_CACHED_PARTS = 4000

/** How one send to a backend server ended, as far as it tells of the backend server. */
export type BackendObservation =
  | { readonly kind: 'answered', readonly delayMilliseconds: number, readonly expectedMilliseconds: number }
  | { readonly kind: 'failedAnswer' }
  | { readonly kind: 'rejected' }
  | { readonly kind: 'unreachable' }
  | { readonly kind: 'broken' }
  | { readonly kind: 'silent' }

/** A request under way at a backend server. */
export interface PendingAttempt {
  /** Unix milliseconds. */
  readonly sentAt: number
  /** Prompt tokens that it has to read before its first token. */
  readonly prefillTokens: number
  /** True once the first byte of the answer has come. */
  answered: boolean
}

/** What this instance knows of one backend server. Owned by the backend table; others read it. */
export interface BackendState {
  entry: BackendServerEntry
  readonly pending: Set<PendingAttempt>
  reportedLoad: ReportedLoad & { readonly receivedAt: number, readonly attemptsAtReceipt: number } | undefined
  /** Sends since the process started. */
  attempts: number
  /** Unix milliseconds at which any byte last came from it. */
  lastByteAt: number
  /** Unix milliseconds until which it gets requests only when no other can. */
  avoidedUntil: number
  avoidanceMilliseconds: number
  failures: { weight: number, at: number }
  delay: { milliseconds: number, at: number }
  /** Unix milliseconds until which a prompt part that this instance sent there is expected to be cached. */
  readonly cachedParts: Map<string, number>
}

/** Creates the state of a backend server that was just listed. */
export function createBackendState (entry: BackendServerEntry, now: number): BackendState {
  return {
    entry,
    pending: new Set(),
    reportedLoad: undefined,
    attempts: 0,
    lastByteAt: now,
    avoidedUntil: 0,
    avoidanceMilliseconds: 0,
    failures: { weight: 0, at: now },
    delay: { milliseconds: 0, at: now },
    cachedParts: new Map()
  }
}

function decay (value: number, at: number, now: number, halfLife: number): number {
  return value * 2 ** (-Math.max(0, now - at) / halfLife)
}

/** Recent failures, each counting less with time. */
export function failureWeight (state: BackendState, now: number): number {
  return decay(state.failures.weight, state.failures.at, now, FAILURE_HALF_LIFE_MS)
}

/** Recent delay beyond what was expected, milliseconds. */
export function excessDelay (state: BackendState, now: number): number {
  return decay(state.delay.milliseconds, state.delay.at, now, EXCESS_DELAY_HALF_LIFE_MS)
}

/** Time for which the oldest unanswered request has waited without any byte from the backend server, milliseconds. */
export function silenceMilliseconds (state: BackendState, now: number): number {
  let oldest: number | undefined
  for (const send of state.pending) if (!send.answered && (oldest === undefined || send.sentAt < oldest)) oldest = send.sentAt
  return oldest === undefined || state.lastByteAt > oldest ? 0 : now - oldest
}

/** Prompt tokens that this instance sent there and that are not known to have been read. */
export function pendingPrefillTokens (state: BackendState): number {
  let tokens = 0
  for (const send of state.pending) if (!send.answered) tokens += send.prefillTokens
  return tokens
}

/** Records what a send told of its backend server. */
export function recordObservation (state: BackendState, observation: BackendObservation, now: number): void {
  switch (observation.kind) {
    case 'answered': {
      state.avoidanceMilliseconds = 0
      const excess = Math.max(0, observation.delayMilliseconds - observation.expectedMilliseconds)
      const previous = excessDelay(state, now)
      state.delay = { milliseconds: previous + (excess - previous) * EXCESS_DELAY_SMOOTHING, at: now }
      return
    }
    case 'failedAnswer':
      addFailure(state, 0.5, now)
      return
    case 'rejected':
      addFailure(state, 0.3, now)
      return
    case 'broken':
      addFailure(state, 1, now)
      return
    case 'unreachable':
    case 'silent':
      addFailure(state, 1, now)
      state.avoidanceMilliseconds = Math.min(MAX_AVOIDANCE_MS, Math.max(INITIAL_AVOIDANCE_MS, state.avoidanceMilliseconds * 2))
      state.avoidedUntil = now + state.avoidanceMilliseconds
  }
}

function addFailure (state: BackendState, weight: number, now: number): void {
  state.failures = { weight: failureWeight(state, now) + weight, at: now }
}

/** Remembers that a request's parts were sent there. */
export function markPartsCached (state: BackendState, parts: readonly PromptPart[], cachedUntil: number): void {
  for (const part of parts) {
    state.cachedParts.delete(part.id)
    state.cachedParts.set(part.id, cachedUntil)
  }
  while (state.cachedParts.size > MAX_CACHED_PARTS) {
    const oldest = state.cachedParts.keys().next().value
    if (oldest === undefined) return
    state.cachedParts.delete(oldest)
  }
}

/** Forgets all that depends on the process behind the entry: it started again under the same ID. */
export function resetProcessState (state: BackendState): void {
  state.cachedParts.clear()
  state.reportedLoad = undefined
  state.avoidedUntil = 0
  state.avoidanceMilliseconds = 0
}
