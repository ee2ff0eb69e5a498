import { assertNever } from '@quinceshunt/effects'
import { backendProcessOf, type BackendState } from './backendState.js'

/** Far more than leave or want nothing at the same time; the least recently learned one is forgotten first. */
const MAX_PROCESSES = 1000
/** A time written in error must not exclude a process for as long as it runs. */
const MAX_PAUSE_MS = 86_400_000
/** Callers return within this share of the remaining time after its end, so that they do not all arrive at the same moment. */
const RETURN_SHARE = 0.25
const MAX_RETURN_MS = 500

/** Whether one run of a backend server's process takes requests, as its responses say. Times by `steadyNow`. */
export type Acceptance =
  | { readonly kind: 'accepting' }
  /** It wants no requests before `until`; Infinity when it leaves too, as it will not want any after that. */
  | { readonly kind: 'paused', readonly until: number }
  /** It is about to end; `since` is the time of its first response that said so. */
  | { readonly kind: 'leaving', readonly since: number }

/** What the responses of all backend servers say, by process, so that it outlives their entries in the list. */
export interface BackendAcceptance {
  /** Records that a process leaves; false when that was known. */
  markLeaving (backendProcess: string, now: number): boolean
  /** Records that a process wants nothing for a time; returns the end, by `steadyNow`, or undefined when no earlier one is moved. */
  pause (backendProcess: string, milliseconds: number, now: number): number | undefined
  acceptanceOf (backendProcess: string, now: number): Acceptance
}

/** Sets the value as the newest one and drops the oldest one beyond the maximum. */
function remember (map: Map<string, number>, key: string, value: number): void {
  map.delete(key)
  map.set(key, value)
  const [oldest] = map.keys()
  if (map.size > MAX_PROCESSES && oldest !== undefined) map.delete(oldest)
}

/** Creates a record in which all processes accept requests. */
export function createBackendAcceptance (): BackendAcceptance {
  const leavingSince = new Map<string, number>()
  const pausedUntil = new Map<string, number>()
  return {
    markLeaving: (backendProcess, now) => {
      if (leavingSince.has(backendProcess)) return false
      remember(leavingSince, backendProcess, now)
      return true
    },
    pause: (backendProcess, milliseconds, now) => {
      // `now` is rounded down, so that the end is a millisecond later.
      const until = now + 1 + Math.ceil(Math.min(milliseconds, MAX_PAUSE_MS))
      if (milliseconds === 0 || until <= (pausedUntil.get(backendProcess) ?? 0)) return undefined
      remember(pausedUntil, backendProcess, until)
      return until
    },
    acceptanceOf: (backendProcess, now) => {
      const until = pausedUntil.get(backendProcess) ?? 0
      const since = leavingSince.get(backendProcess)
      if (now < until) return { kind: 'paused', until: since === undefined ? until : Infinity }
      return since === undefined ? { kind: 'accepting' } : { kind: 'leaving', since }
    }
  }
}

/** Properties of a request that decide which backend servers it may be sent to. */
export interface AcceptanceRequest {
  readonly receivedAt: number
  /** Time for which a leaving backend server still serves. */
  readonly drainMilliseconds: number
}

/** Selects the candidates that take the request: those that accept requests or, if there are none, those that still serve although they leave. */
export function selectAccepting (candidates: readonly BackendState[], acceptance: BackendAcceptance, request: AcceptanceRequest, now: number): readonly BackendState[] {
  const accepting: BackendState[] = []
  const draining: BackendState[] = []
  for (const candidate of candidates) {
    const found = acceptance.acceptanceOf(backendProcessOf(candidate.entry), now)
    switch (found.kind) {
      case 'accepting':
        accepting.push(candidate)
        break
      case 'paused': break
      case 'leaving':
        if (request.receivedAt < found.since + request.drainMilliseconds) draining.push(candidate)
        break
      default: assertNever(found)
    }
  }
  return accepting.length > 0 ? accepting : draining
}

/** When the first of the candidates wants requests again, by `steadyNow`: `now` if one accepts them, undefined if none ever will. */
function firstAcceptanceAt (candidates: readonly BackendState[], acceptance: BackendAcceptance, now: number): number | undefined {
  let first: number | undefined
  for (const candidate of candidates) {
    const found = acceptance.acceptanceOf(backendProcessOf(candidate.entry), now)
    if (found.kind === 'leaving') continue
    const at = found.kind === 'paused' ? found.until : now
    if (at < (first ?? Infinity)) first = at
  }
  return first
}

/** When a caller may return for whose request all candidates want nothing, by `steadyNow`; undefined when one accepts requests or none ever will. `spread` is in [0, 1). */
export function returnAt (candidates: readonly BackendState[], acceptance: BackendAcceptance, now: number, spread: number): number | undefined {
  const first = firstAcceptanceAt(candidates, acceptance, now)
  if (first === undefined || first === now) return undefined
  return first + spread * Math.min(MAX_RETURN_MS, (first - now) * RETURN_SHARE)
}
