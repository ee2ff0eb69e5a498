import type { BackendServerEntry } from '../fleetConfiguration.js'
import type { PromptPart, ReportedLoad } from '../ports.js'
import { createBackendTally, takeTally, type BackendTally } from './backendTally.js'
import { noKnownLimit, type KnownLimit } from './permitIssuer.js'

const FAILURE_HALF_LIFE_MS = 4000
/** Short, so that a slow backend server is tried again after a few half-lives. */
const EXCESS_DELAY_HALF_LIFE_MS = 3000
/** Weight of a new sample in the moving average of the excess delay. */
const EXCESS_DELAY_SMOOTHING = 0.3
/** Doubles with each consecutive failure to reach the backend server. */
const INITIAL_AVOIDANCE_MS = 500
/** Limits the backoff, so that a recovered backend server is found within seconds. */
const MAX_AVOIDANCE_MS = 4000
/** Per backend server; the least recently sent parts are evicted first. */
const MAX_CACHED_PARTS = 4000

/** What one attempt shows about the health of its backend server. */
export type BackendObservation =
  | { readonly kind: 'answered', readonly delayMilliseconds: number, readonly expectedMilliseconds: number }
  | { readonly kind: 'errorResponse' }
  | { readonly kind: 'rejected' }
  | { readonly kind: 'unreachable' }
  | { readonly kind: 'broken' }
  | { readonly kind: 'silent' }

/** An attempt in progress at a backend server. */
export interface PendingAttempt {
  /** Unix milliseconds. */
  readonly sentAt: number
  /** Prompt tokens that the engine has to process before it emits the first output token. */
  readonly prefillTokens: number
  /** True once the first byte of the response has arrived. */
  answered: boolean
}

/** Denial of permits for requests to a backend server that names a limit. Times by `steadyNow`. */
export interface PermitDenial {
  readonly askAgainAt: number
  /** When a caller that is rejected for it may return. */
  readonly retryAt: number
  /** Permits a second that this instance can count on. */
  readonly share: number
  /** Callers that were rejected since. */
  rejected: number
}

/** This instance's view of one backend server. Created and removed by the backend task. */
export interface BackendState {
  entry: BackendServerEntry
  readonly pending: Set<PendingAttempt>
  reportedLoad: ReportedLoad & { readonly receivedAt: number, readonly attemptsAtReceipt: number } | undefined
  /** Attempts since the backend server was listed. */
  attempts: number
  /** Unix milliseconds at which it last sent any byte. */
  lastByteAt: number
  /** Unix milliseconds until which it gets requests only when no other backend server can. */
  avoidedUntil: number
  avoidanceMilliseconds: number
  /** When this instance last failed to reach it, if it has sent no byte since. */
  lostSince: number | undefined
  lastProbeAt: number
  /** A new connection failed a moment ago: until then only kept ones are used, which may live on. */
  refusesNewUntil: number
  /** Doubles with each new connection that fails after another one. */
  refusalMilliseconds: number
  /** When a new connection first failed since the last byte or probe. */
  refusedSince: number
  failures: { weight: number, at: number }
  delay: { milliseconds: number, at: number }
  limit: KnownLimit
  /** Latest known end of the process's cold period, by `steadyNow`; 0 when none is known. */
  coldUntil: number
  /** When the process was listed, by `steadyNow`. */
  processListedAt: number
  /** Permits that were denied to this instance, by priority. */
  readonly denials: Map<number, PermitDenial>
  /** Unix milliseconds of the last denial. */
  lastDeniedAt: number
  /** Requests that wanted a permit, by priority, of which the issuer does not know yet. */
  readonly unreportedDemand: Map<number, number>
  /** Expected expiry, in Unix milliseconds, of each prompt part that this instance sent there, by part ID. */
  readonly cachedParts: Map<string, number>
  /** For the load figures that instances share. */
  readonly tally: BackendTally
}

/** Creates the state of a newly listed backend server. */
export function createBackendState (entry: BackendServerEntry, now: number): BackendState {
  return {
    entry,
    pending: new Set(),
    reportedLoad: undefined,
    attempts: 0,
    lastByteAt: now,
    avoidedUntil: 0,
    avoidanceMilliseconds: 0,
    lostSince: undefined,
    lastProbeAt: 0,
    refusesNewUntil: 0,
    refusalMilliseconds: 0,
    refusedSince: 0,
    failures: { weight: 0, at: now },
    delay: { milliseconds: 0, at: now },
    limit: noKnownLimit,
    coldUntil: 0,
    processListedAt: now,
    denials: new Map(),
    lastDeniedAt: 0,
    unreportedDemand: new Map(),
    cachedParts: new Map(),
    tally: createBackendTally()
  }
}

function decay (value: number, at: number, now: number, halfLife: number): number {
  return value * 2 ** (-Math.max(0, now - at) / halfLife)
}

/** Exponentially decayed count of recent failures. */
export function failureWeight (state: BackendState, now: number): number {
  return decay(state.failures.weight, state.failures.at, now, FAILURE_HALF_LIFE_MS)
}

/** Exponentially decayed average of the delay beyond the expected one, milliseconds. */
export function excessDelay (state: BackendState, now: number): number {
  return decay(state.delay.milliseconds, state.delay.at, now, EXCESS_DELAY_HALF_LIFE_MS)
}

/** Time since the oldest unanswered attempt was sent; 0 if the backend server has sent any byte after it. */
export function silenceMilliseconds (state: BackendState, now: number): number {
  let oldest: number | undefined
  for (const attempt of state.pending) if (!attempt.answered && (oldest === undefined || attempt.sentAt < oldest)) oldest = attempt.sentAt
  return oldest === undefined || state.lastByteAt > oldest ? 0 : now - oldest
}

/** Prompt tokens of unanswered attempts that this instance sent there. */
export function pendingPrefillTokens (state: BackendState): number {
  let tokens = 0
  for (const attempt of state.pending) if (!attempt.answered) tokens += attempt.prefillTokens
  return tokens
}

/** Updates the backend server's health from one observation. */
export function recordObservation (state: BackendState, observation: BackendObservation, now: number): void {
  switch (observation.kind) {
    case 'answered': {
      state.avoidanceMilliseconds = 0
      const excess = Math.max(0, observation.delayMilliseconds - observation.expectedMilliseconds)
      const previous = excessDelay(state, now)
      state.delay = { milliseconds: previous + (excess - previous) * EXCESS_DELAY_SMOOTHING, at: now }
      return
    }
    case 'errorResponse':
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

/** Names one run of a backend server's process by the server's ID and its start time in Unix milliseconds. */
export function processName (id: string, startedAt: number): string {
  return `${id}/${startedAt}`
}

/** Names the run of a backend server's process that an entry is of. */
export function backendProcessOf (entry: BackendServerEntry): string {
  return processName(entry.id, entry.startedAt)
}

/** Records that the prompt parts are expected in the backend server's cache until `cachedUntil`. */
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

/** Resets the state that belongs to the process behind the entry, after a restart under the same ID. */
export function resetProcessState (state: BackendState): void {
  takeTally(state.tally)
  state.cachedParts.clear()
  state.reportedLoad = undefined
  state.limit = noKnownLimit
  state.coldUntil = 0
  state.denials.clear()
  state.lastDeniedAt = 0
  state.unreportedDemand.clear()
  state.avoidedUntil = 0
  state.avoidanceMilliseconds = 0
  state.lostSince = undefined
  state.lastProbeAt = 0
  state.refusesNewUntil = 0
  state.refusalMilliseconds = 0
}
