import { assertNever } from '@quinceshunt/effects'
import { backendProcessOf, type BackendState } from './backendState.js'

/** Processes that leave or want nothing beyond which those that matter no longer are looked for and forgotten. */
const MIN_SWEEP_SIZE = 1000
/** A leaving process whose entry has been missing from the list has exited by then, even if it serves for many seconds longer. */
const REMEMBERED_LEAVING_MS = 600_000
/** A time written in error must not exclude a process for as long as it runs. */
const MAX_PAUSE_MS = 86_400_000
/** A resumption lasts as long as the pause before it, up to this: the callers that were refused in the pause return then. */
const MAX_RESUMPTION_MS = 5000
/** When all backend servers that resume are busy, callers return after this time: each return costs them one of few attempts. */
const RESUMPTION_RETURN_MS = 400
/** Share of the remaining time that is added to it, so that callers return at about the rate at which they were refused. */
const RETURN_SHARE = 0.5
/** Callers that are refused at the same moment do not return at the same moment. */
const RETURN_SPREAD_MS = 200

/** A process can be listed this long after its first responses, which are attributed to the process that was listed before. */
const LISTING_DELAY_MS = 2000

/** Whether one run of a backend server's process takes requests, as its responses say. Times by `steadyNow`. */
export type Acceptance =
  | { readonly kind: 'accepting' }
  /** It wants no requests before `until`; Infinity when it leaves too, as it will not want any after that. */
  | { readonly kind: 'paused', readonly until: number }
  /** The time for which it wanted none has ended a moment ago. */
  | { readonly kind: 'resuming' }
  /** It is about to end; `since` is the time of its first response that said so. */
  | { readonly kind: 'leaving', readonly since: number }

/** What the responses of all backend servers say, by process, so that it outlives their entries in the list. */
export interface BackendAcceptance {
  /** Records that a process leaves; false when that was known. */
  markLeaving (backendProcess: string, now: number): boolean
  /** Records that a process wants nothing for a time; returns the end, by `steadyNow`, or undefined when no earlier one is moved. */
  pause (backendProcess: string, milliseconds: number, now: number): number | undefined
  /** Takes over for a newly listed process what was attributed to its predecessor but may be its own. */
  restart (predecessor: string, backendProcess: string, now: number): void
  acceptanceOf (backendProcess: string, now: number): Acceptance
  /** Number of processes that are remembered. */
  readonly size: number
}

/** What is known of processes. */
interface ProcessRecords<Known> {
  get (backendProcess: string): Known | undefined
  set (backendProcess: string, known: Known, now: number): void
  readonly size: number
}

/** Returns true for what still matters. */
type KnownFilter<Known> = (backendProcess: string, known: Known) => boolean

/** Creates empty records that drop what matters no longer whenever their number has doubled. */
function createProcessRecords<Known> (createFilter: (now: number) => KnownFilter<Known>): ProcessRecords<Known> {
  const records = new Map<string, Known>()
  let sweepSize = MIN_SWEEP_SIZE

  function sweep (matters: KnownFilter<Known>): void {
    for (const [backendProcess, known] of records) if (!matters(backendProcess, known)) records.delete(backendProcess)
    sweepSize = Math.max(MIN_SWEEP_SIZE, 2 * records.size)
  }

  return {
    get: (backendProcess) => records.get(backendProcess),
    set: (backendProcess, known, now) => {
      records.set(backendProcess, known)
      if (records.size > sweepSize) sweep(createFilter(now))
    },
    get size () { return records.size }
  }
}

/** A time for which a process wants nothing. */
interface Pause {
  readonly namedAt: number
  readonly until: number
  /** End of the resumption after it. */
  readonly resumedAt: number
}

const NO_PAUSE: Pause = { namedAt: -Infinity, until: -Infinity, resumedAt: -Infinity }

/** Creates a record in which all processes accept requests; `listedProcesses` returns those that are in the list now. */
export function createBackendAcceptance (listedProcesses: () => ReadonlySet<string>): BackendAcceptance {
  const leavingSince = createProcessRecords<number>((now) => {
    const listed = listedProcesses()
    return (backendProcess, since) => now < since + REMEMBERED_LEAVING_MS || listed.has(backendProcess)
  })
  const pauses = createProcessRecords<Pause>((now) => (_backendProcess, { resumedAt }) => now < resumedAt)
  return {
    markLeaving: (backendProcess, now) => {
      if (leavingSince.get(backendProcess) !== undefined) return false
      leavingSince.set(backendProcess, now, now)
      return true
    },
    pause: (backendProcess, milliseconds, now) => {
      const duration = Math.ceil(Math.min(milliseconds, MAX_PAUSE_MS))
      // `now` is rounded down, so that the end is a millisecond later.
      const until = now + 1 + duration
      const known = pauses.get(backendProcess)
      if (milliseconds === 0 || until <= (known?.until ?? 0)) return undefined
      const resumedAt = until + Math.min(duration, MAX_RESUMPTION_MS)
      pauses.set(backendProcess, { namedAt: now, until, resumedAt: Math.max(resumedAt, known?.resumedAt ?? 0) }, now)
      return until
    },
    restart: (predecessor, backendProcess, now) => {
      const pause = pauses.get(predecessor) ?? NO_PAUSE
      if (now < pause.namedAt + LISTING_DELAY_MS) pauses.set(backendProcess, pause, now)
    },
    acceptanceOf: (backendProcess, now) => {
      const { until, resumedAt } = pauses.get(backendProcess) ?? NO_PAUSE
      const since = leavingSince.get(backendProcess)
      if (now < until) return { kind: 'paused', until: since === undefined ? until : Infinity }
      if (since !== undefined) return { kind: 'leaving', since }
      return { kind: now < resumedAt ? 'resuming' : 'accepting' }
    },
    get size () { return leavingSince.size + pauses.size }
  }
}

/** Properties of a request that decide which backend servers it may be sent to. */
export interface AcceptanceRequest {
  readonly receivedAt: number
  /** Time for which a leaving backend server still serves. */
  readonly drainMilliseconds: number
  /** Number of instances that send requests to the same backend servers. */
  readonly instances: number
}

/**
 * Returns false for a backend server that resumes while it has this instance's even share of requests. Without this limit
 * all instances send what has accumulated to the first backend server that resumes, which turns requests away again.
 */
function hasRoom ({ entry, pending }: BackendState, instances: number): boolean {
  return pending.size < Math.max(1, Math.floor(entry.slots / instances))
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
      case 'resuming':
        if (hasRoom(candidate, request.instances)) accepting.push(candidate)
        break
      case 'leaving':
        if (request.receivedAt < found.since + request.drainMilliseconds) draining.push(candidate)
        break
      default: assertNever(found)
    }
  }
  return accepting.length > 0 ? accepting : draining
}

/** When a backend server wants requests again, by `steadyNow`; `now` if it accepts them, Infinity if it never will. */
function acceptanceAt (candidate: BackendState, acceptance: BackendAcceptance, instances: number, now: number): number {
  const found = acceptance.acceptanceOf(backendProcessOf(candidate.entry), now)
  switch (found.kind) {
    case 'accepting': return now
    case 'resuming': return hasRoom(candidate, instances) ? now : now + RESUMPTION_RETURN_MS
    case 'paused': return found.until
    case 'leaving': return Infinity
    default: return assertNever(found)
  }
}

/** When a caller may return for whose request all candidates want nothing, by `steadyNow`; undefined when one accepts requests or none ever will. `spread` is in [0, 1). */
export function returnAt (candidates: readonly BackendState[], acceptance: BackendAcceptance, instances: number, now: number, spread: number): number | undefined {
  const first = candidates.reduce((earliest, candidate) => Math.min(earliest, acceptanceAt(candidate, acceptance, instances, now)), Infinity)
  if (first === Infinity || first === now) return undefined
  const delay = (first - now) * RETURN_SHARE
  return first + (delay > MAX_RESUMPTION_MS ? spread * MAX_RESUMPTION_MS : delay + spread * RETURN_SPREAD_MS)
}
