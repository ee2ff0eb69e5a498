import { assertNever } from '@quinceshunt/effects'
import type { BackendServerEntry, Route } from '../fleetConfiguration.js'
import type { ConnectionOrigin } from './processProofs.js'
import * as v from 'valibot'

/** What an instance tells others of a stream that it began to pass on. Times are on the clock that all instances share. */
export const streamOriginSchema = v.object({
  /** The caller's attempt that brought the first event. */
  attemptId: v.string(),
  service: v.string(),
  backendId: v.string(),
  /** Software version of the backend server that wrote the first event. */
  version: v.string(),
  begunAt: v.number(),
  /** The caller does not take the stream up again later. */
  expiresAt: v.number(),
  /** Whether the version is that of the process which began the stream; instances of an earlier version tell that of the listed entry. */
  certainty: v.optional(v.picklist(['certain', 'uncertain']))
})

/** Where a stream began. */
export type StreamOrigin = v.InferOutput<typeof streamOriginSchema>

/** What the version of a stream rests on. */
export type StartEvidence =
  /** The process that began the stream was certainly the listed one. */
  | { readonly kind: 'proven' }
  /** The entry that was listed then, which may have been that of a process before. */
  | { readonly kind: 'listed' }
  /**
   * The entry that was listed when the request was sent, and the connection on which the stream began; the process behind it may be
   * asked for. `wasSuspect`: there were signs that it had been replaced.
   */
  | { readonly kind: 'connection', readonly connection: ConnectionOrigin, readonly wasSuspect: boolean }

/** Where a request's stream began, which decides at which backend servers it may go on. */
export type StreamStart =
  /** The caller has got nothing of it. */
  | { readonly kind: 'notBegun' }
  /** `at` by `steadyNow`; `backendId` is empty when only the version is known. */
  | { readonly kind: 'begun', readonly service: string, readonly version: string, readonly backendId: string, readonly at: number, readonly evidence: StartEvidence }
  /** It began at a version that can't be told. */
  | { readonly kind: 'unknown' }

/** Returns the service that began the stream if the route still leads there, or else `service`. */
export function serviceOfStream (start: StreamStart, route: Route, service: string): string {
  return start.kind === 'begun' && route.targets.some((target) => target.service === start.service) ? start.service : service
}

/** Returns true when a request may be sent to a backend server, as far as its stream's software version goes. */
export function mayGoOnAt (start: StreamStart, entry: BackendServerEntry): boolean {
  return mayGoOnAtVersion(start, entry.version)
}

/** Returns true when events of a software version may follow those that the caller has got. */
export function mayGoOnAtVersion (start: StreamStart, version: string): boolean {
  switch (start.kind) {
    case 'notBegun': return true
    case 'begun': return version === start.version
    case 'unknown': return false
    default: return assertNever(start)
  }
}

/** Origins of streams, by the attempt that brought the first event. */
export interface StreamOrigins {
  record (origin: StreamOrigin, now: number): void
  find (attemptId: string, now: number): StreamOrigin | undefined
  readonly size: number
}

/** The streams that were recorded first are forgotten first. */
const MAX_ORIGINS = 20_000
/** Callers choose the IDs of their attempts; longer ones than any usual ID would fill the memory of all homes. */
const MAX_ATTEMPT_ID_LENGTH = 256

/** Returns false for a stream whose caller can't have it taken up while software versions differ, as its ID is too long. */
export function mayRemember (attemptId: string): boolean {
  return attemptId !== '' && attemptId.length <= MAX_ATTEMPT_ID_LENGTH
}

/** Creates an empty record. Times are on the shared clock. */
export function createStreamOrigins (): StreamOrigins {
  const origins = new Map<string, StreamOrigin>()

  function forgetOld (now: number): void {
    for (const [attemptId, { expiresAt }] of origins) {
      if (expiresAt > now && origins.size <= MAX_ORIGINS) return
      origins.delete(attemptId)
    }
  }

  return {
    record: (origin, now) => {
      if (!mayRemember(origin.attemptId)) return
      origins.delete(origin.attemptId)
      origins.set(origin.attemptId, origin)
      forgetOld(now)
    },
    find: (attemptId, now) => {
      const origin = origins.get(attemptId)
      return origin !== undefined && origin.expiresAt > now ? origin : undefined
    },
    get size () { return origins.size }
  }
}
