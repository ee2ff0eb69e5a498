import { createRoomLine, type LineEntry, type RoomLine } from './roomLine.js'
import type { QueueAnswer, QueuedReply, RoomLoad, RoomReply, RoomRequest, WantedRoom } from './roomMessages.js'

export type * from './roomMessages.js'

/**
 * Issues room at brittle backend servers, which fall over for seconds when they turn a few requests away within a second, and at
 * services that are short of room, where requests may also wait for it.
 *
 * Expected load: more requests than all slots of a service, from six to some hundred instances with uneven demand. One instance, on
 * which all agree, counts what all have in progress at each backend server and lets no more in than it has slots, so that none has to
 * turn a request away. What each instance has in progress is told in full with each message: a lost one, or a new
 * issuer, leaves no wrong count behind.
 */

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
  /** Requests may queue, as the service is short of room and its backend servers are not brittle. */
  readonly hasLine?: boolean
}

/** Issuer of room of one instance. */
export interface RoomIssuer {
  /** Replies immediately. */
  handle (request: RoomRequest, power: RoomIssuingPower, now: number): RoomReply
  /** Replies immediately, or queues the request. Call `takeAnswers` afterwards, as the message may tell of slots that are free. */
  handleOrQueue (request: RoomRequest, power: RoomIssuingPower, now: number): RoomReply | QueuedReply
  /** Removes and returns the replies to queued requests that found room, whose wait has ended or that were withdrawn. */
  takeAnswers (service: string, power: RoomIssuingPower, now: number): readonly QueueAnswer[]
  lineLength (service: string): number
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
/** An instance rejects requests for an earlier denial for this time at most, as the line is soon shorter. */
const MAX_LINE_ASK_INTERVAL_MS = 20
/** The reply to a queued request is awaited for 120 ms. */
export const MAX_LINE_WAIT_MS = 100
/**
 * Of its slots, a backend server that is not brittle gets this share in requests that wait there: between the end of a request of
 * 21 ms and the arrival of the next one about 10 ms pass, in which its slot would be idle.
 */
const LINE_WAITING_SHARE = 0.5
/**
 * Every second rejection at a service with a line reduces what is issued by one, for less time and to half of the slots at least: the
 * rejected requests may have been sent before the shortage was seen, and a rejection does no other harm.
 */
const LINE_FULL_MEMORY_MS = 1000
const LINE_REJECTIONS_PER_SLOT = 2
const LINE_LEAST_SHARE = 0.5
const LEAST_URGENT = 9

interface Asker {
  sequence: number
  heardAt: number
  inProgress: Readonly<Record<string, number>>
  /** Backend servers that were granted, by the sequence of the request, and are not in `inProgress` yet. */
  readonly grants: Map<number, string>
}

interface QueuedRequest extends LineEntry {
  readonly instanceId: string
  readonly sequence: number
  readonly wanted: readonly WantedRoom[]
}

interface ServiceRooms {
  readonly startedAt: number
  readonly askers: Map<string, Asker>
  readonly failedAt: Map<string, number>
  /** Times at which each backend server turned a request away. */
  readonly fullAt: Map<string, readonly number[]>
  readonly loads: Map<string, RoomLoad>
  readonly line: RoomLine<QueuedRequest>
  answers: QueueAnswer[]
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
    const rooms: ServiceRooms = { line: createRoomLine(), answers: [], startedAt: now, askers: new Map(), failedAt: new Map(), fullAt: new Map(), loads: new Map(), grantsPerSecond: 0, grantedAt: now, deniedSinceGrant: 0 }
    services.set(service, rooms)
    return rooms
  }

  function learn (rooms: ServiceRooms, request: RoomRequest, now: number): Asker {
    const asker = rooms.askers.get(request.instanceId) ?? { sequence: 0, heardAt: now, inProgress: {}, grants: new Map<number, string>() }
    rooms.askers.set(request.instanceId, asker)
    asker.heardAt = now
    // A message that was overtaken tells what was.
    if (request.sequence > asker.sequence) {
      const before = requestsOf(asker)
      asker.sequence = request.sequence
      asker.inProgress = request.inProgress
      for (const sequence of asker.grants.keys()) if (!request.openRequests.includes(sequence)) asker.grants.delete(sequence)
      rooms.line.noteFreed(before - requestsOf(asker), now)
      const withdrawn = rooms.line.remove(({ instanceId, sequence }) => instanceId === request.instanceId && sequence < request.sequence && !request.openRequests.includes(sequence))
      for (const entry of withdrawn) answer(rooms, entry, { kind: 'noted' }, now)
    }
    rooms.line.noteDenied(request.denied ?? 0, now)
    for (const failed of request.failed) rooms.failedAt.set(failed, now)
    for (const [backendProcess, load] of Object.entries(request.loads)) if (load.at > (rooms.loads.get(backendProcess)?.at ?? -Infinity)) rooms.loads.set(backendProcess, load)
    for (const full of request.full) rooms.fullAt.set(full, [...recentTimes(rooms.fullAt.get(full), now), now])
    for (const [instanceId, { heardAt }] of rooms.askers) if (heardAt < now - ASKER_EXPIRY_MS) rooms.askers.delete(instanceId)
    return asker
  }

  function recentTimes (times: readonly number[] | undefined, now: number, memory: number = FULL_MEMORY_MS): readonly number[] {
    return times?.filter((at) => at > now - memory) ?? []
  }

  /** Requests at a backend server that are known, and those of instances that a new issuer has not heard of yet. */
  function occupied (rooms: ServiceRooms, { backendProcess, slots }: WantedRoom, { instances, hasLine = false }: RoomIssuingPower, now: number): number {
    let requests = 0
    for (const { inProgress, grants } of rooms.askers.values()) {
      requests += inProgress[backendProcess] ?? 0
      for (const granted of grants.values()) if (granted === backendProcess) requests++
    }
    // A server that is not brittle only queues or rejects what is too much, while idle slots lose requests.
    if (hasLine) return requests
    const unheard = now - rooms.startedAt < LEARNING_MS ? Math.max(0, instances - rooms.askers.size) : 0
    return requests + slots * unheard / instances
  }

  function capacity (rooms: ServiceRooms, { backendProcess, slots }: WantedRoom, { fraction, waiting, hasLine = false }: RoomIssuingPower, now: number): number {
    const sinceFailure = now - (rooms.failedAt.get(backendProcess) ?? -Infinity) - PAUSE_AFTER_FAILURE_MS
    if (sinceFailure < 0) return 0
    const usable = usableSlots(rooms.loads.get(backendProcess), slots, now)
    const ramped = Math.min(usable, 1 + slots * sinceFailure / RAMP_AFTER_FAILURE_MS)
    if (hasLine) {
      const issued = Math.max(1, Math.floor(ramped * fraction)) + (ramped < usable ? 0 : Math.ceil(slots * fraction * LINE_WAITING_SHARE))
      return Math.max(Math.min(issued, Math.ceil(slots * LINE_LEAST_SHARE)), issued - Math.floor(recentTimes(rooms.fullAt.get(backendProcess), now, LINE_FULL_MEMORY_MS).length / LINE_REJECTIONS_PER_SLOT))
    }
    return Math.max(1, Math.floor(ramped * fraction) + (ramped < usable ? Math.min(0, waiting) : waiting)) - recentTimes(rooms.fullAt.get(backendProcess), now).length
  }

  /** An engine without memory left lets requests wait although it has free slots. */
  function usableSlots (load: RoomLoad | undefined, slots: number, now: number): number {
    return load === undefined || load.waiting === 0 || now - load.at > LOAD_MEMORY_MS ? slots : Math.min(slots, load.running)
  }

  function averageGrants (rooms: ServiceRooms, now: number): number {
    return rooms.grantsPerSecond * Math.exp(-Math.max(0, now - rooms.grantedAt) / GRANT_AVERAGE_MS)
  }

  function askInterval (rooms: ServiceRooms, now: number): number {
    return Math.min(MAX_ASK_INTERVAL_MS, rooms.askers.size * 1000 / Math.max(MIN_DENIALS_PER_SECOND, DENIALS_PER_GRANT * averageGrants(rooms, now)))
  }

  function deny (rooms: ServiceRooms, now: number): RoomReply {
    rooms.deniedSinceGrant++
    const wait = rooms.deniedSinceGrant * 1000 / Math.max(1, averageGrants(rooms, now))
    return { kind: 'denied', askAgainAt: now + askInterval(rooms, now), retryAt: now + Math.max(RETRY_MS.least, Math.min(RETRY_MS.most, wait)) }
  }

  function denyInLine (rooms: ServiceRooms, wait: number, now: number): RoomReply {
    return { kind: 'denied', askAgainAt: now + Math.min(MAX_LINE_ASK_INTERVAL_MS, askInterval(rooms, now)), retryAt: rooms.line.retryAt(wait, now), returnEvery: rooms.askers.size * rooms.line.returnInterval(now) }
  }

  function grant (rooms: ServiceRooms, asker: Asker, sequence: number, backendProcess: string, now: number): RoomReply {
    asker.grants.set(sequence, backendProcess)
    rooms.grantsPerSecond = averageGrants(rooms, now) + 1000 / GRANT_AVERAGE_MS
    rooms.grantedAt = now
    rooms.deniedSinceGrant = 0
    return { kind: 'granted', backendProcess }
  }

  function answer (rooms: ServiceRooms, { instanceId, sequence, enqueuedAt }: QueuedRequest, reply: RoomReply, now: number): void {
    rooms.answers.push({ instanceId, sequence, reply, waitedMilliseconds: now - enqueuedAt })
  }

  function slotsOf ({ wanted }: QueuedRequest): number {
    return wanted.reduce((sum, { slots }) => sum + slots, 0)
  }

  /** Grants free room to requests in the line, and denies those whose wait has ended. */
  function serveLine (rooms: ServiceRooms, power: RoomIssuingPower, now: number): void {
    const freeRoom = new Map<string, number>()
    const freeAt = (wanted: WantedRoom): number => {
      const known = freeRoom.get(wanted.backendProcess) ?? capacity(rooms, wanted, power, now) - occupied(rooms, wanted, power, now)
      freeRoom.set(wanted.backendProcess, known)
      return known
    }
    const findFree = ({ wanted }: QueuedRequest): WantedRoom | undefined => wanted.find((candidate) => freeAt(candidate) >= 1)
    while (rooms.line.length > 0) {
      const next = rooms.line.takeNext((entry) => findFree(entry) !== undefined)
      const free = next && findFree(next)
      if (next === undefined || free === undefined) break
      freeRoom.set(free.backendProcess, freeAt(free) - 1)
      const asker = rooms.askers.get(next.instanceId)
      answer(rooms, next, asker === undefined ? denyInLine(rooms, 0, now) : grant(rooms, asker, next.sequence, free.backendProcess, now), now)
    }
    const ended = rooms.line.remove(({ waitUntil }) => waitUntil <= now || power.hasLine !== true)
    for (const entry of ended) answer(rooms, entry, denyInLine(rooms, rooms.line.expectedWait(entry, slotsOf(entry), now), now), now)
  }

  function takeAnswer (rooms: ServiceRooms, { instanceId, sequence }: QueuedRequest): RoomReply | undefined {
    const index = rooms.answers.findIndex((candidate) => candidate.instanceId === instanceId && candidate.sequence === sequence)
    return index === -1 ? undefined : rooms.answers.splice(index, 1)[0]?.reply
  }

  function handle (request: RoomRequest, power: RoomIssuingPower, now: number): RoomReply {
    const rooms = roomsOf(request.service, now)
    const asker = learn(rooms, request, now)
    if (request.wanted.length === 0) return { kind: 'noted' }
    const free = request.wanted.find((wanted) => occupied(rooms, wanted, power, now) + 1 <= capacity(rooms, wanted, power, now))
    return free === undefined ? deny(rooms, now) : grant(rooms, asker, request.sequence, free.backendProcess, now)
  }

  return {
    handle,
    handleOrQueue: (request, power, now) => {
      if (power.hasLine !== true || request.wanted.length === 0) return handle(request, power, now)
      const rooms = roomsOf(request.service, now)
      learn(rooms, request, now)
      const { instanceId, sequence, wanted, priority = LEAST_URGENT, account = '', waitUntil = now } = request
      const entry: QueuedRequest = { instanceId, sequence, wanted, priority, account, weight: 1, cost: 1, enqueuedAt: now, waitUntil: Math.min(waitUntil, now + MAX_LINE_WAIT_MS) }
      rooms.line.add(entry)
      const wait = rooms.line.expectedWait(entry, slotsOf(entry), now)
      serveLine(rooms, power, now)
      const immediate = takeAnswer(rooms, entry)
      if (immediate !== undefined) return immediate
      if (wait <= entry.waitUntil - now) return { kind: 'queued', answerAt: entry.waitUntil }
      rooms.line.remove((candidate) => candidate === entry)
      return denyInLine(rooms, wait, now)
    },
    takeAnswers: (service, power, now) => {
      const rooms = services.get(service)
      if (rooms === undefined) return []
      serveLine(rooms, power, now)
      return rooms.answers.splice(0)
    },
    lineLength: (service) => services.get(service)?.line.length ?? 0
  }
}

function requestsOf ({ inProgress, grants }: Asker): number {
  return Object.values(inProgress).reduce((sum, count) => sum + count, grants.size)
}
