import type { BackendState } from '../decisions/backendState.js'
import type { SharedClock } from '../decisions/sharedClock.js'
import { steadyNow } from '../clock.js'
import type { ResponseFields } from '../ports.js'
import type { DecisionLog } from './decisionLog.js'

/** What is known of the brittleness of a service's backend servers. */
export interface KnownBrittleness {
  /** Rejections in a second above which one falls over; undefined while they are not brittle. */
  readonly rejectionsPerSecond: number | undefined
  /** When the response arrived that says so; milliseconds on the clock that all instances share. */
  readonly seenAt: number
}

/** Room at brittle backend servers. */
export interface BackendRooms {
  /** Takes over what a response says of its service. */
  observe (backend: BackendState, response: ResponseFields, requestId: string): void
}

/** Dependencies of the rooms. */
export interface BackendRoomsOptions {
  readonly clock: SharedClock
  readonly log: DecisionLog
}

/** Creates the rooms of one process. */
export function createBackendRooms (options: BackendRoomsOptions): BackendRooms {
  const { clock, log } = options
  const brittleness = new Map<string, KnownBrittleness>()

  function takeOver (service: string, known: KnownBrittleness, cause: Record<string, unknown>): void {
    const previous = brittleness.get(service)
    if (previous !== undefined && known.seenAt <= previous.seenAt) return
    brittleness.set(service, known)
    if (known.rejectionsPerSecond === previous?.rejectionsPerSecond) return
    log.event('brittlenessChanged', { service, previous: previous?.rejectionsPerSecond, rejectionsPerSecond: known.rejectionsPerSecond, ...cause })
  }

  return {
    observe: (backend, { brittleness: named, isSigned, isMisdirected }, requestId) => {
      const { id, service } = backend.entry
      switch (named.kind) {
        case 'unreadable':
          log.decision('brittlenessUnreadable', { backend: id, value: named.value.slice(0, 100), request: requestId })
          return
        case 'none':
        case 'named':
          // Only a signed response shows that the backend server is no longer brittle.
          if (isMisdirected || (named.kind === 'none' && !isSigned)) return
          takeOver(service, { rejectionsPerSecond: named.kind === 'named' ? named.rejectionsPerSecond : undefined, seenAt: clock.fromLocal(steadyNow()) ?? 0 }, { backend: id, request: requestId })
      }
    }
  }
}
