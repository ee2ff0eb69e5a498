import { steadyNow } from '../clock.js'
import { backendProcessOf, type BackendState } from '../decisions/backendState.js'
import type { FleetLoads } from '../decisions/fleetLoads.js'
import { createRoomShortage, type RoomShortage, type ShortageChange } from '../decisions/roomShortage.js'
import type { ResponseFields } from '../ports.js'
import type { DecisionLog } from './decisionLog.js'

/** The fleet's figures change once per second. */
const FLEET_CHECK_INTERVAL_MS = 100
/** The oldest are forgotten first. */
const MAX_REMEMBERED_PROCESSES = 1000

/** Services that are short of room, as this instance sees them. */
export interface RoomShortages {
  isShort (service: string): boolean
  readonly shortServices: readonly string[]
  /** Remembers whether a response gives another reason than a lack of capacity for a rejection. */
  observe (backend: BackendState, response: ResponseFields): void
  /** A backend server rejected a request. */
  noteRejection (backend: BackendState): void
  noteDenial (service: string): void
}

/** Dependencies of the shortages. */
export interface RoomShortagesOptions {
  readonly isEnabled: boolean
  readonly loads: () => FleetLoads
  readonly log: DecisionLog
}

interface KnownShortage {
  readonly shortage: RoomShortage
  fleetCheckedAt: number
  startedAt: number
  denied: number
}

/** Creates shortages of no service. */
export function createRoomShortages ({ isEnabled, loads, log }: RoomShortagesOptions): RoomShortages {
  const known = new Map<string, KnownShortage>()
  /** Processes whose last response said that they want no requests for a time, or leave. */
  const notAccepting = new Set<string>()

  function recordNotAccepting (backendProcess: string): void {
    notAccepting.delete(backendProcess)
    notAccepting.add(backendProcess)
    const oldest = notAccepting.values().next().value
    if (notAccepting.size > MAX_REMEMBERED_PROCESSES && oldest !== undefined) notAccepting.delete(oldest)
  }

  function of (service: string): KnownShortage {
    const found = known.get(service)
    if (found !== undefined) return found
    const created = { shortage: createRoomShortage(), fleetCheckedAt: -Infinity, startedAt: 0, denied: 0 }
    known.set(service, created)
    return created
  }

  function logChange (service: string, change: ShortageChange | undefined, cause: Record<string, unknown>): void {
    if (change === undefined) return
    const state = of(service)
    if (change === 'started') {
      state.startedAt = steadyNow()
      state.denied = 0
      log.event('roomShort', { service, ...cause })
      return
    }
    log.event('roomEnough', { service, shortMilliseconds: steadyNow() - state.startedAt, denied: state.denied })
  }

  function isShort (service: string): boolean {
    if (!isEnabled) return false
    const now = steadyNow()
    const state = of(service)
    if (now - state.fleetCheckedAt >= FLEET_CHECK_INTERVAL_MS) {
      state.fleetCheckedAt = now
      const figures = loads().service(service, now)
      if (figures !== undefined) logChange(service, state.shortage.noteFleet(figures, now), { cause: 'fleet', rejectedPerSecond: figures.rejectedPerSecond, sentPerSecond: figures.sentPerSecond })
      logChange(service, state.shortage.check(now), {})
    }
    return state.shortage.isShort
  }

  return {
    isShort,
    get shortServices () { return isEnabled ? [...known.keys()].filter(isShort) : [] },
    observe: ({ entry }, { pause, isLeaving, isMisdirected }) => {
      if (!isEnabled) return
      if (pause.kind !== 'none' || isLeaving || isMisdirected) recordNotAccepting(backendProcessOf(entry))
      else notAccepting.delete(backendProcessOf(entry))
    },
    noteRejection: ({ entry }) => {
      if (!isEnabled || notAccepting.has(backendProcessOf(entry))) return
      logChange(entry.service, of(entry.service).shortage.noteRejection(steadyNow()), { backend: entry.id })
    },
    noteDenial: (service) => {
      const state = of(service)
      state.denied++
      state.shortage.noteDenial(steadyNow())
    }
  }
}
