import type { BackendState } from '../decisions/backendState.js'
import type { ResponseFields } from '../ports.js'
import type { DecisionLog } from './decisionLog.js'

/** An instance waits a random part of this time before it announces what another one may announce meanwhile. */
const MAX_ANNOUNCE_DELAY_MS = 200

/** What is known of the brittleness of a service's backend servers. */
export interface KnownBrittleness {
  /** Rejections in a second above which one falls over; undefined while they are not brittle. */
  readonly rejectionsPerSecond: number | undefined
  /** When the response arrived that says so; milliseconds on the clock that all instances share. */
  readonly seenAt: number
}

/** Services whose backend servers are brittle, as responses and other instances tell. */
export interface ServiceBrittleness {
  /** Undefined while the backend servers of the service are not brittle. */
  rejectionsPerSecond (service: string): number | undefined
  readonly brittleServices: readonly string[]
  /** Takes over what a response says of its service. */
  observe (backend: BackendState, response: ResponseFields, requestId: string): void
  /** Takes over what other instances announce. */
  learn (service: string, known: KnownBrittleness): void
}

/** Dependencies of the brittleness. */
export interface ServiceBrittlenessOptions {
  readonly log: DecisionLog
  readonly sharedNow: () => number
  /** Tells all instances of a change. */
  readonly announce: (service: string, known: KnownBrittleness) => void
  /** The backend servers of a service are no longer brittle. */
  readonly onEnded: (service: string) => void
}

/** Creates the state of services that are not brittle. */
export function createServiceBrittleness ({ log, sharedNow, announce: announceToAll, onEnded }: ServiceBrittlenessOptions): ServiceBrittleness {
  const brittleness = new Map<string, KnownBrittleness>()
  /** Rejections in a second of each service that all instances were told last. */
  const announced = new Map<string, number | undefined>()

  function takeOver (service: string, known: KnownBrittleness, cause: Record<string, unknown>): boolean {
    const previous = brittleness.get(service)
    if (previous !== undefined && known.seenAt <= previous.seenAt) return false
    brittleness.set(service, known)
    if (known.rejectionsPerSecond === previous?.rejectionsPerSecond) return false
    if (known.rejectionsPerSecond === undefined) onEnded(service)
    log.event('brittlenessChanged', { service, previous: previous?.rejectionsPerSecond, rejectionsPerSecond: known.rejectionsPerSecond, ...cause })
    return true
  }

  /** Several instances see a change at about the same time; the first one tells the others. */
  function announce (service: string): void {
    setTimeout(() => {
      const known = brittleness.get(service)
      if (known === undefined || known.rejectionsPerSecond === announced.get(service)) return
      announced.set(service, known.rejectionsPerSecond)
      announceToAll(service, known)
    }, Math.random() * MAX_ANNOUNCE_DELAY_MS)
  }

  return {
    rejectionsPerSecond: (service) => brittleness.get(service)?.rejectionsPerSecond,
    get brittleServices () { return [...brittleness].filter(([, { rejectionsPerSecond }]) => rejectionsPerSecond !== undefined).map(([service]) => service) },
    observe: (backend, { brittleness: named, isSigned, isMisdirected }, requestId) => {
      const { id, service } = backend.entry
      switch (named.kind) {
        case 'unreadable':
          log.decision('brittlenessUnreadable', { backend: id, value: named.value.slice(0, 100), request: requestId })
          return
        case 'none':
        case 'named': {
          // Only a signed response shows that the backend server is no longer brittle.
          if (isMisdirected || (named.kind === 'none' && (!isSigned || brittleness.get(service) === undefined))) return
          const known = { rejectionsPerSecond: named.kind === 'named' ? named.rejectionsPerSecond : undefined, seenAt: sharedNow() }
          if (takeOver(service, known, { backend: id, request: requestId })) announce(service)
        }
      }
    },
    learn: (service, known) => {
      announced.set(service, known.rejectionsPerSecond)
      takeOver(service, known, { cause: 'announced' })
    }
  }
}
