/**
 * Decides whether an instance has more callers than its link and its processor serve, so that new ones are better off elsewhere.
 *
 * Pattern: the load balancer selects an instance by a hash of the caller, so that one large client account gives a single
 * instance twenty times the requests of the others, which have room.
 */

/** Queues of a link grow steeply beyond half of its rate, and a disturbed link has less than its rate. */
const MAX_LINK_USE = 0.5
const MAX_PROCESSOR_USE = 0.9
/** With less than this many times the fleet's mean, the others have no more room, and callers would only be sent to and fro. */
const MIN_TIMES_MEAN = 3
/** The load balancer sends the callers to instances of the same failure domain; the requests of a full one would fill one or two others. */
const MIN_OTHERS_IN_DOMAIN = 3
/** The load balancer selects an instance until its second readiness check has failed; a caller that leaves earlier comes back. */
const OUT_OF_ROTATION_MS = 2500
/** Callers leave until this part of the limits is left. */
const KEPT_LOAD = 0.85
/** Below this part an instance has room again. Less than `KEPT_LOAD`, so that an instance out of rotation keeps the callers that it can serve. */
const ROOM_LOAD = 0.6
/** An instance that is back in rotation gets its callers back within seconds; shorter times bring it back and forth. */
const MIN_ROOM_MS = 4000
/**
 * Time out of rotation for each other instance of the failure domain. Callers that open a connection for each request move on together,
 * and fill another instance in about three seconds, until one of more capacity takes them. About a third of ten or more instances
 * are out then. With fewer than half in rotation the load balancer would use all.
 */
const ROOM_MS_PER_OTHER = 1000
const MAX_ROOM_MS = 30_000

/** Times are those of `steadyNow`. */
export type Occupancy =
  | { readonly kind: 'room' }
  | {
    readonly kind: 'full'
    /** The load balancer has taken the instance out of rotation by then. */
    readonly outOfRotationAt: number
    /** The instance has room from then on, unless its load grows before; undefined while the load is too high. */
    readonly roomAt: number | undefined
    /** Use in the last second, as part of the limits. */
    readonly load: number
  }

/** What an instance used in the last second. */
export interface InstanceUse {
  /** Part of the link's rate, of the direction that has more. */
  readonly link: number
  /** Part of the processor time that the instance has. */
  readonly processor: number
  /** Requests compared with the mean of the fleet's instances; undefined when that is not known. */
  readonly timesMean: number | undefined
  /** Other instances of the same failure domain. */
  readonly othersInDomain: number
}

/** Returns the occupancy after one more second. */
export function nextOccupancy (before: Occupancy, { link, processor, timesMean, othersInDomain }: InstanceUse, now: number): Occupancy {
  const load = Math.max(link / MAX_LINK_USE, processor / MAX_PROCESSOR_USE)
  switch (before.kind) {
    case 'room':
      if (load <= 1 || othersInDomain < MIN_OTHERS_IN_DOMAIN || timesMean === undefined || timesMean < MIN_TIMES_MEAN) return before
      return { kind: 'full', outOfRotationAt: now + OUT_OF_ROTATION_MS, roomAt: undefined, load }
    case 'full': {
      // What the others send is known up to two seconds later, so that a burst that all instances have first looks like one of this instance.
      if (now < before.outOfRotationAt && (timesMean ?? 0) < MIN_TIMES_MEAN) return { kind: 'room' }
      if (load > ROOM_LOAD) return { ...before, roomAt: undefined, load }
      const roomAt = before.roomAt ?? now + Math.min(MAX_ROOM_MS, Math.max(MIN_ROOM_MS, othersInDomain * ROOM_MS_PER_OTHER))
      return now >= roomAt ? { kind: 'room' } : { ...before, roomAt, load }
    }
  }
}

/** Returns the share of responses that end their connections, so that their callers connect to other instances. */
export function shareToMove (occupancy: Occupancy, now: number): number {
  switch (occupancy.kind) {
    case 'room': return 0
    case 'full': return now < occupancy.outOfRotationAt ? 0 : Math.max(0, 1 - KEPT_LOAD / occupancy.load)
  }
}
