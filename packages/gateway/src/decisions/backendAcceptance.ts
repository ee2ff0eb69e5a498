import { assertNever } from '@quinceshunt/effects'
import { backendProcessOf, type BackendState } from './backendState.js'

/** Processes that leave or want nothing beyond which those that matter no longer are looked for and forgotten. */
const MIN_SWEEP_SIZE = 1000
/** A leaving process whose entry has been missing from the list has exited by then, even if it serves for many seconds longer. */
const REMEMBERED_LEAVING_MS = 600_000
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
  /** Number of processes that are remembered. */
  readonly size: number
}

/** Times by process. */
interface ProcessTimes {
  get (backendProcess: string): number | undefined
  set (backendProcess: string, time: number, now: number): void
  readonly size: number
}

/** Returns true for the times that still matter. */
type TimeFilter = (backendProcess: string, time: number) => boolean

/** Creates an empty record that drops the times that matter no longer whenever their number has doubled. */
function createProcessTimes (createFilter: (now: number) => TimeFilter): ProcessTimes {
  const times = new Map<string, number>()
  let sweepSize = MIN_SWEEP_SIZE

  function sweep (matters: TimeFilter): void {
    for (const [backendProcess, time] of times) if (!matters(backendProcess, time)) times.delete(backendProcess)
    sweepSize = Math.max(MIN_SWEEP_SIZE, 2 * times.size)
  }

  return {
    get: (backendProcess) => times.get(backendProcess),
    set: (backendProcess, time, now) => {
      times.set(backendProcess, time)
      if (times.size > sweepSize) sweep(createFilter(now))
    },
    get size () { return times.size }
  }
}

/** Creates a record in which all processes accept requests; `listedProcesses` returns those that are in the list now. */
export function createBackendAcceptance (listedProcesses: () => ReadonlySet<string>): BackendAcceptance {
  const leavingSince = createProcessTimes((now) => {
    const listed = listedProcesses()
    return (backendProcess, since) => now < since + REMEMBERED_LEAVING_MS || listed.has(backendProcess)
  })
  const pausedUntil = createProcessTimes((now) => (_backendProcess, until) => now < until)
  return {
    markLeaving: (backendProcess, now) => {
      if (leavingSince.get(backendProcess) !== undefined) return false
      leavingSince.set(backendProcess, now, now)
      return true
    },
    pause: (backendProcess, milliseconds, now) => {
      // `now` is rounded down, so that the end is a millisecond later.
      const until = now + 1 + Math.ceil(Math.min(milliseconds, MAX_PAUSE_MS))
      if (milliseconds === 0 || until <= (pausedUntil.get(backendProcess) ?? 0)) return undefined
      pausedUntil.set(backendProcess, until, now)
      return until
    },
    acceptanceOf: (backendProcess, now) => {
      const until = pausedUntil.get(backendProcess) ?? 0
      const since = leavingSince.get(backendProcess)
      if (now < until) return { kind: 'paused', until: since === undefined ? until : Infinity }
      return since === undefined ? { kind: 'accepting' } : { kind: 'leaving', since }
    },
    get size () { return leavingSince.size + pausedUntil.size }
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
