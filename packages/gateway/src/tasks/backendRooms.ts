import { steadyNow } from '../clock.js'
import { backendProcessOf, type BackendState } from '../decisions/backendState.js'
import { createRoomIssuer, type RoomIssuingPower, type RoomLoad, type RoomReply, type RoomRequest } from '../decisions/roomIssuer.js'
import type { SharedClock } from '../decisions/sharedClock.js'
import type { ResponseFields } from '../ports.js'
import type { DecisionLog } from './decisionLog.js'
import type { Peer } from './fleetTask.js'
import { createHomeCalls } from './homeCalls.js'
import { parseRoomReply, PEER_PATH } from './peerMessages.js'
import type { Post } from './tokenLoans.js'

/** The first home issues all slots. */
const FIRST_HOME_FRACTION = 1
/** While some instances reach only the first home and others only another one. */
const OTHER_HOME_FRACTION = 0.25
/**
 * One request is let wait at each backend server that may turn this many away in a second: one that takes none turns it away, and
 * gets one less for some seconds. Of one that may turn away fewer, a slot is left free: a new connection may hold one.
 */
const MIN_REJECTIONS_TO_TRY_WAITING = 2
/** Backend servers that are named in a request for room, about 60 bytes each; those of lower rank may have room when these have none. */
const MAX_WANTED = 32
/** Ended requests are told together, after this time at most. */
const REPORT_DELAY_MS = 5
/** Requests that run for long are told again at this interval, so that the issuer does not take them for ended. */
const REPORT_INTERVAL_MS = 500
/** Retry time for callers of an instance that has no share of its own while it reaches no home. */
const NO_HOME_RETRY_MS = 500
/** Callers that are refused at the same moment do not return at the same moment. */
const RETURN_SPREAD_MS = 200
/** An instance waits a random part of this time before it announces what another one may announce meanwhile. */
const MAX_ANNOUNCE_DELAY_MS = 200

/** What is known of the brittleness of a service's backend servers. */
export interface KnownBrittleness {
  /** Rejections in a second above which one falls over; undefined while they are not brittle. */
  readonly rejectionsPerSecond: number | undefined
  /** When the response arrived that says so; milliseconds on the clock that all instances share. */
  readonly seenAt: number
}

/** Room for one request, from its grant until the request is in progress at the backend server, or is not sent. */
export interface GrantedRoom {
  release (): void
}

/** Outcome of asking for room; `retryAt` by `steadyNow`. */
export type RoomOutcome =
  | { readonly kind: 'granted', readonly backend: BackendState, readonly room: GrantedRoom }
  | { readonly kind: 'denied', readonly retryAt: number }

/** Room at brittle backend servers, which all instances share. */
export interface BackendRooms {
  /** True while the backend servers of a service are brittle, so that each request needs room. */
  isNeeded (service: string): boolean
  /** When a caller may return whose request is certain to be denied room now, by `steadyNow`; undefined when it may get some. */
  deniedUntil (service: string, now: number): number | undefined
  /** Asks for room at one of the backend servers, the best one first. */
  acquire (service: string, backends: readonly BackendState[]): Promise<RoomOutcome>
  /** A request at a backend server has ended. */
  noteEnded (backend: BackendState, how: 'answered' | 'failed' | 'full'): void
  /** Takes over what a response says of its service. */
  observe (backend: BackendState, response: ResponseFields, requestId: string): void
  /** Takes over what other instances announce. */
  learn (service: string, known: KnownBrittleness): void
  /** Answers a peer, as a home of the service. */
  issue (request: RoomRequest): RoomReply
  stop (): void
}

/** Dependencies of the rooms. */
export interface BackendRoomsOptions {
  readonly instanceId: string
  readonly clock: SharedClock
  readonly log: DecisionLog
  /** Number of registered instances. */
  readonly instances: () => number
  /** Homes of a service in order of preference; may include this instance. */
  readonly homes: (service: string) => readonly Peer[]
  /** The listed backend servers of a service. */
  readonly backends: (service: string) => readonly BackendState[]
  /** Tells all instances of a change. */
  readonly announce: (service: string, known: KnownBrittleness) => void
  readonly count: (outcome: string) => void
  /** Delivers one message; replaced by tests. */
  readonly post?: Post
}

/** What this instance tells the issuer of a service. */
interface ServiceReport {
  sequence: number
  readonly openRequests: Set<number>
  /** Room that was granted for requests that are not in progress yet, by backend server's process. */
  readonly granted: Map<string, number>
  readonly failed: Set<string>
  readonly full: Set<string>
  /** Reports that arrived before this time, by `steadyNow`, were told. */
  loadsToldUntil: number
  askAgainAt: number
  retryAt: number
  isScheduled: boolean
}

/** Creates the rooms of one process. */
export function createBackendRooms (options: BackendRoomsOptions): BackendRooms {
  const { instanceId, clock, log } = options
  const calls = createHomeCalls(log, options.post)
  const issuer = createRoomIssuer()
  const brittleness = new Map<string, KnownBrittleness>()
  /** Rejections in a second of each service that all instances were told last. */
  const announced = new Map<string, number | undefined>()
  const reports = new Map<string, ServiceReport>()

  function sharedNow (): number {
    return clock.fromLocal(steadyNow()) ?? 0
  }

  function isNeeded (service: string): boolean {
    return brittleness.get(service)?.rejectionsPerSecond !== undefined
  }

  function reportOf (service: string): ServiceReport {
    const known = reports.get(service)
    if (known !== undefined) return known
    // A new process, or a new period of brittleness, goes on above what the issuer has heard before.
    const report = { sequence: Math.floor(sharedNow()), openRequests: new Set<number>(), granted: new Map<string, number>(), failed: new Set<string>(), full: new Set<string>(), loadsToldUntil: 0, askAgainAt: 0, retryAt: 0, isScheduled: false }
    reports.set(service, report)
    return report
  }

  function inProgress (service: string): Record<string, number> {
    const counts: Record<string, number> = {}
    for (const { entry, pending } of options.backends(service)) if (pending.size > 0) counts[backendProcessOf(entry)] = pending.size
    for (const [backendProcess, granted] of reportOf(service).granted) counts[backendProcess] = (counts[backendProcess] ?? 0) + granted
    return counts
  }

  function takeLoads (service: string): Record<string, RoomLoad> {
    const report = reportOf(service)
    const loads: Record<string, RoomLoad> = {}
    for (const { entry, reportedLoad } of options.backends(service)) {
      if (reportedLoad === undefined || reportedLoad.receivedAt < report.loadsToldUntil) continue
      loads[backendProcessOf(entry)] = { running: reportedLoad.running, waiting: reportedLoad.waiting, at: clock.fromLocal(reportedLoad.receivedAt) ?? 0 }
    }
    report.loadsToldUntil = steadyNow()
    return loads
  }

  function takeMessage (service: string, wanted: readonly BackendState[]): RoomRequest {
    const report = reportOf(service)
    const message: RoomRequest = {
      service,
      instanceId,
      sequence: ++report.sequence,
      openRequests: [...report.openRequests],
      inProgress: inProgress(service),
      failed: [...report.failed],
      full: [...report.full],
      loads: takeLoads(service),
      wanted: wanted.slice(0, MAX_WANTED).map(({ entry }) => ({ backendProcess: backendProcessOf(entry), slots: entry.slots }))
    }
    report.failed.clear()
    report.full.clear()
    return message
  }

  function powerOf (service: string): RoomIssuingPower {
    const isFirst = options.homes(service)[0]?.instanceId === instanceId
    const mayBeTurnedAway = (brittleness.get(service)?.rejectionsPerSecond ?? 0) >= MIN_REJECTIONS_TO_TRY_WAITING
    const waiting = mayBeTurnedAway ? (isFirst ? 1 : 0) : -1
    return { fraction: isFirst ? FIRST_HOME_FRACTION : OTHER_HOME_FRACTION, instances: options.instances(), waiting }
  }

  function issue (request: RoomRequest): RoomReply {
    return issuer.handle(request, powerOf(request.service), sharedNow())
  }

  /** Undefined when no home replied. */
  async function send (service: string, message: RoomRequest): Promise<RoomReply | undefined> {
    for (const home of calls.reachable(options.homes(service))) {
      if (home.instanceId === instanceId) return issue(message)
      const reply = parseRoomReply(await calls.post(home, PEER_PATH.rooms, message))
      if (reply !== undefined) return reply
    }
    return undefined
  }

  /** The even share of the service's slots, for an instance that reaches no home. */
  function grantOwnShare (service: string, wanted: readonly BackendState[]): BackendState | undefined {
    const slots = options.backends(service).reduce((sum, { entry }) => sum + entry.slots, 0)
    const used = Object.values(inProgress(service)).reduce((sum, count) => sum + count, 0)
    if (used >= Math.floor(slots / options.instances())) return undefined
    return wanted.find(({ entry, pending }) => pending.size < Math.ceil(entry.slots / options.instances()))
  }

  function grant (service: string, backend: BackendState): RoomOutcome {
    const { granted } = reportOf(service)
    const backendProcess = backendProcessOf(backend.entry)
    granted.set(backendProcess, (granted.get(backendProcess) ?? 0) + 1)
    let isHeld = true
    return {
      kind: 'granted',
      backend,
      room: {
        release: () => {
          if (!isHeld) return
          isHeld = false
          const left = (granted.get(backendProcess) ?? 1) - 1
          if (left > 0) granted.set(backendProcess, left)
          else granted.delete(backendProcess)
        }
      }
    }
  }

  function deny (service: string, askAgainAt: number, retryAt: number): RoomOutcome {
    const report = reportOf(service)
    report.askAgainAt = askAgainAt
    report.retryAt = retryAt
    return { kind: 'denied', retryAt }
  }

  async function acquire (service: string, backends: readonly BackendState[]): Promise<RoomOutcome> {
    const report = reportOf(service)
    const message = takeMessage(service, backends)
    report.openRequests.add(message.sequence)
    const reply = await send(service, message).finally(() => report.openRequests.delete(message.sequence))
    const now = steadyNow()
    options.count(reply?.kind ?? 'noReply')
    switch (reply?.kind) {
      case undefined: {
        const own = grantOwnShare(service, backends)
        return own === undefined ? deny(service, now, now + NO_HOME_RETRY_MS) : grant(service, own)
      }
      case 'noted': return deny(service, now, now + NO_HOME_RETRY_MS)
      case 'denied': {
        const toLocal = (at: number): number => now + at - sharedNow()
        return deny(service, toLocal(reply.askAgainAt), toLocal(reply.retryAt))
      }
      case 'granted': {
        const granted = backends.find(({ entry }) => backendProcessOf(entry) === reply.backendProcess)
        return granted === undefined ? { kind: 'denied', retryAt: now + NO_HOME_RETRY_MS } : grant(service, granted)
      }
    }
  }

  function tell (service: string): void {
    send(service, takeMessage(service, [])).catch((error: unknown) => log.warning('roomsNotTold', { service, reason: String(error) }))
  }

  function scheduleReport (service: string): void {
    const report = reportOf(service)
    if (report.isScheduled) return
    report.isScheduled = true
    setTimeout(() => {
      report.isScheduled = false
      if (isNeeded(service)) tell(service)
    }, REPORT_DELAY_MS)
  }

  const timer = setInterval(() => {
    for (const [service, { rejectionsPerSecond }] of brittleness) if (rejectionsPerSecond !== undefined && Object.keys(inProgress(service)).length > 0) tell(service)
  }, REPORT_INTERVAL_MS)

  function takeOver (service: string, known: KnownBrittleness, cause: Record<string, unknown>): boolean {
    const previous = brittleness.get(service)
    if (previous !== undefined && known.seenAt <= previous.seenAt) return false
    brittleness.set(service, known)
    if (known.rejectionsPerSecond === previous?.rejectionsPerSecond) return false
    if (known.rejectionsPerSecond === undefined) reports.delete(service)
    log.event('brittlenessChanged', { service, previous: previous?.rejectionsPerSecond, rejectionsPerSecond: known.rejectionsPerSecond, ...cause })
    return true
  }

  /** Several instances see a change at about the same time; the first one tells the others. */
  function announce (service: string): void {
    setTimeout(() => {
      const known = brittleness.get(service)
      if (known === undefined || known.rejectionsPerSecond === announced.get(service)) return
      announced.set(service, known.rejectionsPerSecond)
      options.announce(service, known)
    }, Math.random() * MAX_ANNOUNCE_DELAY_MS)
  }

  return {
    isNeeded,
    deniedUntil: (service, now) => {
      const report = reports.get(service)
      return report !== undefined && isNeeded(service) && now < report.askAgainAt ? report.retryAt + Math.random() * RETURN_SPREAD_MS : undefined
    },
    acquire,
    noteEnded: ({ entry }, how) => {
      const { service } = entry
      if (!isNeeded(service)) return
      const report = reportOf(service)
      if (how === 'failed') report.failed.add(backendProcessOf(entry))
      if (how === 'full') report.full.add(backendProcessOf(entry))
      scheduleReport(service)
    },
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
    },
    issue,
    stop: () => clearInterval(timer)
  }
}
