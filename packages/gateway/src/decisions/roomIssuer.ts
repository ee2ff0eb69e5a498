/**
 * Issues room at brittle backend servers, which fall over for seconds when they turn a few requests away within a second.
 *
 * Expected load: more requests than all slots of a service, from six to some hundred instances with uneven demand. One instance, on
 * which all agree, counts what all have in progress at each backend server and lets no more in than it has slots, so that none has to
 * turn a request away. What each instance has in progress is told in full with each message: a lost one, or a new
 * issuer, leaves no wrong count behind.
 */

/** Asks for room for one request, or only tells what is in progress. */
export interface RoomRequest {
  readonly service: string
  readonly instanceId: string
  /** Rises with each message of the instance, also from one of its processes to the next. */
  readonly sequence: number
  /** Sequences of requests for room that have no reply yet. */
  readonly openRequests: readonly number[]
  /** Requests in progress, by backend server's process; those without any are left out. */
  readonly inProgress: Readonly<Record<string, number>>
  /** Processes that have broken a connection since the message before. */
  readonly failed: readonly string[]
  /** Processes that have turned a request away since the message before. */
  readonly full: readonly string[]
  /** What backend servers have reported since the message before. */
  readonly loads: Readonly<Record<string, RoomLoad>>
  /** Backend servers that may serve the request, the best one first; empty for a mere message. */
  readonly wanted: readonly WantedRoom[]
}

/** Load that a backend server reported. */
export interface RoomLoad {
  readonly running: number
  readonly waiting: number
  /** When the report arrived, on the shared clock. */
  readonly at: number
}

/** A backend server that may serve a request. */
export interface WantedRoom {
  readonly backendProcess: string
  readonly slots: number
}

/** Reply to a request for room. Times are on the shared clock. */
export type RoomReply =
  | { readonly kind: 'granted', readonly backendProcess: string }
  /** Until `askAgainAt` the instance is denied; `retryAt` is when a caller that is rejected for it may return. */
  | { readonly kind: 'denied', readonly askAgainAt: number, readonly retryAt: number }
  /** To a mere message. */
  | { readonly kind: 'noted' }

/** What the rank of the issuing instance among the homes of a service allows it, and the number of instances. */
export interface RoomIssuingPower {
  /** Part of the slots that it may issue. */
  readonly fraction: number
  readonly instances: number
  /**
   * Requests that may wait at a backend server beside those in its slots, so that no slot is idle until the next one comes; below 0,
   * slots that are left free because hardly a request may be turned away.
   */
  readonly waiting: number
}

/** Issuer of room of one instance. */
export interface RoomIssuer {
  handle (request: RoomRequest, power: RoomIssuingPower, now: number): RoomReply
}

/** An instance that has sent no message for this long has ended, or asks another issuer. */
const ASKER_EXPIRY_MS = 2000
/** For this time a new issuer takes instances of which it has heard nothing for users of their even share. */
const LEARNING_MS = 1000
/** A backend server that broke connections gets nothing for this time, and then more and more up to all of its slots. */
const PAUSE_AFTER_FAILURE_MS = 400
const RAMP_AFTER_FAILURE_MS = 2000
/** For this time one slot less is issued for each request that a backend server turned away: others use it too. */
const FULL_MEMORY_MS = 3000
const GRANT_AVERAGE_MS = 2000
/** A report counts for this time. */
const LOAD_MEMORY_MS = 1000
/** Denied requests for room a second of all instances together, if these spread evenly, at least and for each grant. */
const MIN_DENIALS_PER_SECOND = 20
const DENIALS_PER_GRANT = 4
const MAX_ASK_INTERVAL_MS = 250
const RETRY_MS = { least: 250, most: 3000 } as const

interface Asker {
  sequence: number
  heardAt: number
  inProgress: Readonly<Record<string, number>>
  /** Backend servers that were granted, by the sequence of the request, and are not in `inProgress` yet. */
  readonly grants: Map<number, string>
}

interface ServiceRooms {
  readonly startedAt: number
  readonly askers: Map<string, Asker>
  readonly failedAt: Map<string, number>
  /** Times at which each backend server turned a request away. */
  readonly fullAt: Map<string, readonly number[]>
  readonly loads: Map<string, RoomLoad>
  grantsPerSecond: number
  grantedAt: number
  deniedSinceGrant: number
}

/** Creates an issuer that knows of no request in progress. */
export function createRoomIssuer (): RoomIssuer {
  const services = new Map<string, ServiceRooms>()

  function roomsOf (service: string, now: number): ServiceRooms {
    const known = services.get(service)
    if (known !== undefined) return known
    const rooms = { startedAt: now, askers: new Map(), failedAt: new Map(), fullAt: new Map(), loads: new Map(), grantsPerSecond: 0, grantedAt: now, deniedSinceGrant: 0 }
    services.set(service, rooms)
    return rooms
  }

  function learn (rooms: ServiceRooms, request: RoomRequest, now: number): Asker {
    const asker = rooms.askers.get(request.instanceId) ?? { sequence: 0, heardAt: now, inProgress: {}, grants: new Map<number, string>() }
    rooms.askers.set(request.instanceId, asker)
    asker.heardAt = now
    // A message that was overtaken tells what was.
    if (request.sequence > asker.sequence) {
      asker.sequence = request.sequence
      asker.inProgress = request.inProgress
      for (const sequence of asker.grants.keys()) if (!request.openRequests.includes(sequence)) asker.grants.delete(sequence)
    }
    for (const failed of request.failed) rooms.failedAt.set(failed, now)
    for (const [backendProcess, load] of Object.entries(request.loads)) if (load.at > (rooms.loads.get(backendProcess)?.at ?? -Infinity)) rooms.loads.set(backendProcess, load)
    for (const full of request.full) rooms.fullAt.set(full, [...recentTimes(rooms.fullAt.get(full), now), now])
    for (const [instanceId, { heardAt }] of rooms.askers) if (heardAt < now - ASKER_EXPIRY_MS) rooms.askers.delete(instanceId)
    return asker
  }

  function recentTimes (times: readonly number[] | undefined, now: number): readonly number[] {
    return times?.filter((at) => at > now - FULL_MEMORY_MS) ?? []
  }

  /** Requests at a backend server that are known, and those of instances that a new issuer has not heard of yet. */
  function occupied (rooms: ServiceRooms, { backendProcess, slots }: WantedRoom, instances: number, now: number): number {
    let requests = 0
    for (const { inProgress, grants } of rooms.askers.values()) {
      requests += inProgress[backendProcess] ?? 0
      for (const granted of grants.values()) if (granted === backendProcess) requests++
    }
    const unheard = now - rooms.startedAt < LEARNING_MS ? Math.max(0, instances - rooms.askers.size) : 0
    return requests + slots * unheard / instances
  }

  function capacity (rooms: ServiceRooms, { backendProcess, slots }: WantedRoom, { fraction, waiting }: RoomIssuingPower, now: number): number {
    const sinceFailure = now - (rooms.failedAt.get(backendProcess) ?? -Infinity) - PAUSE_AFTER_FAILURE_MS
    if (sinceFailure < 0) return 0
    const usable = usableSlots(rooms.loads.get(backendProcess), slots, now)
    const ramped = Math.min(usable, 1 + slots * sinceFailure / RAMP_AFTER_FAILURE_MS)
    return Math.max(1, Math.floor(ramped * fraction) + (ramped < usable ? Math.min(0, waiting) : waiting)) - recentTimes(rooms.fullAt.get(backendProcess), now).length
  }

  /** An engine without memory left lets requests wait although it has free slots. */
  function usableSlots (load: RoomLoad | undefined, slots: number, now: number): number {
    return load === undefined || load.waiting === 0 || now - load.at > LOAD_MEMORY_MS ? slots : Math.min(slots, load.running)
  }

  function averageGrants (rooms: ServiceRooms, now: number): number {
    return rooms.grantsPerSecond * Math.exp(-Math.max(0, now - rooms.grantedAt) / GRANT_AVERAGE_MS)
  }

  function deny (rooms: ServiceRooms, now: number): RoomReply {
    rooms.deniedSinceGrant++
    const grants = averageGrants(rooms, now)
    const interval = Math.min(MAX_ASK_INTERVAL_MS, rooms.askers.size * 1000 / Math.max(MIN_DENIALS_PER_SECOND, DENIALS_PER_GRANT * grants))
    const wait = rooms.deniedSinceGrant * 1000 / Math.max(1, grants)
    return { kind: 'denied', askAgainAt: now + interval, retryAt: now + Math.max(RETRY_MS.least, Math.min(RETRY_MS.most, wait)) }
  }

  function grant (rooms: ServiceRooms, asker: Asker, sequence: number, backendProcess: string, now: number): RoomReply {
    asker.grants.set(sequence, backendProcess)
    rooms.grantsPerSecond = averageGrants(rooms, now) + 1000 / GRANT_AVERAGE_MS
    rooms.grantedAt = now
    rooms.deniedSinceGrant = 0
    return { kind: 'granted', backendProcess }
  }

  return {
    handle: (request, power, now) => {
      const rooms = roomsOf(request.service, now)
      const asker = learn(rooms, request, now)
      if (request.wanted.length === 0) return { kind: 'noted' }
      const free = request.wanted.find((wanted) => occupied(rooms, wanted, power.instances, now) + 1 <= capacity(rooms, wanted, power, now))
      return free === undefined ? deny(rooms, now) : grant(rooms, asker, request.sequence, free.backendProcess, now)
    }
  }
}
