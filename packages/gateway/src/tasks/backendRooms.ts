import { steadyNow } from '../clock.js'
import { backendProcessOf, type BackendState } from '../decisions/backendState.js'
import { noFleetLoads, type FleetLoads } from '../decisions/fleetLoads.js'
import type { RoomIssuingPower, RoomReply, RoomRequest } from '../decisions/roomIssuer.js'
import type { SharedClock } from '../decisions/sharedClock.js'
import type { ResponseFields } from '../ports.js'
import type { DecisionLog } from './decisionLog.js'
import type { Peer } from './fleetTask.js'
import { createHomeCalls } from './homeCalls.js'
import { parseRoomReply, PEER_PATH } from './peerMessages.js'
import { createServiceBrittleness, type KnownBrittleness } from './serviceBrittleness.js'
import { createRoomLines, type RoomMetrics } from './roomLines.js'
import { createRoomReports, type RoomDenial } from './roomReports.js'
import { createRoomShortages } from './roomShortages.js'
import type { Post } from './tokenLoans.js'

export type { KnownBrittleness }

/** The first home issues all slots. */
const FIRST_HOME_FRACTION = 1
/** While some instances reach only the first home and others only another one. */
const OTHER_HOME_FRACTION = 0.25
/**
 * One request is let wait at each backend server that may turn this many away in a second: one that takes none turns it away, and
 * gets one less for some seconds. Of one that may turn away fewer, a slot is left free: a new connection may hold one.
 */
const MIN_REJECTIONS_TO_TRY_WAITING = 2
/** Ended requests are told together, after this time at most. */
const REPORT_DELAY_MS = 5
/** Requests that run for long are told again at this interval, so that the issuer does not take them for ended. */
const REPORT_INTERVAL_MS = 500
/** Retry time for callers of an instance that has no share of its own while it reaches no home. */
const NO_HOME_RETRY_MS = 500
/** Callers that are refused at the same moment do not return at the same moment. */
const RETURN_SPREAD_MS = 200
/** Room for one request, from its grant until the request is in progress at the backend server, or is not sent. */
export interface GrantedRoom {
  release (): void
}

/** By what a request is ordered among those that wait for room. */
export interface RoomQueueEntry {
  /** From 0, the most urgent, to 9. */
  readonly priority: number
  /** Name of the client account; empty without one. */
  readonly account: string
  /** Until when it may wait, by `steadyNow`. */
  readonly waitUntil: number
  /** Calls the listener when the caller leaves; returns a function that removes it. */
  readonly onCallerLeft: (listener: () => void) => () => void
}

/** Outcome of asking for room; `retryAt` by `steadyNow`. */
export type RoomOutcome =
  | { readonly kind: 'granted', readonly backend: BackendState, readonly room: GrantedRoom }
  | { readonly kind: 'denied', readonly retryAt: number }

/** Room at brittle backend servers and at services that are short of room, which all instances share. */
export interface BackendRooms {
  /** True while the backend servers of a service are brittle, or it is short of room, so that each request needs room. */
  isNeeded (service: string): boolean
  isBrittle (service: string): boolean
  /** When a caller may return whose request is certain to be denied room now, by `steadyNow`; undefined when it may get some. */
  deniedUntil (service: string, now: number, turn?: RoomQueueEntry): number | undefined
  /** Asks for room at one of the backend servers, the best one first. With a turn, the request may wait at a service that is short of room. */
  acquire (service: string, backends: readonly BackendState[], turn?: RoomQueueEntry): Promise<RoomOutcome>
  /** A request at a backend server has ended. */
  noteEnded (backend: BackendState, how: 'answered' | 'failed' | 'full'): void
  /** Takes over what a response says of its service. */
  observe (backend: BackendState, response: ResponseFields, requestId: string): void
  /** Takes over what other instances announce. */
  learn (service: string, known: KnownBrittleness): void
  /** Answers a peer, as a home of the service. */
  issue (request: RoomRequest): RoomReply | Promise<RoomReply>
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
  /** Lets requests queue for room at services whose backend servers reject some. */
  readonly queueForRoom?: boolean
  /** Load figures of all instances; read with each use. */
  readonly loads?: () => FleetLoads
  readonly metrics?: RoomMetrics
  /** Delivers one message; replaced by tests. */
  readonly post?: Post
}

/** Creates the rooms of one process. */
export function createBackendRooms (options: BackendRoomsOptions): BackendRooms {
  const { instanceId, clock, log } = options
  const calls = createHomeCalls(log, options.post)
  const brittleness = createServiceBrittleness({ log, sharedNow, announce: options.announce, onEnded: (service) => reports.forget(service) })
  const shortages = createRoomShortages({ isEnabled: options.queueForRoom === true, loads: options.loads ?? (() => noFleetLoads), log })
  const reports = createRoomReports({ instanceId, clock, sharedNow, backends: options.backends })
  const lines = createRoomLines({ powerOf, sharedNow, isListed: (service) => options.backends(service).length > 0, metrics: options.metrics })

  function sharedNow (): number {
    return clock.fromLocal(steadyNow()) ?? 0
  }

  function isBrittle (service: string): boolean {
    return brittleness.rejectionsPerSecond(service) !== undefined
  }

  function isNeeded (service: string): boolean {
    return isBrittle(service) || shortages.isShort(service)
  }

  function powerOf (service: string): RoomIssuingPower {
    const isFirst = options.homes(service)[0]?.instanceId === instanceId
    const mayBeTurnedAway = (brittleness.rejectionsPerSecond(service) ?? 0) >= MIN_REJECTIONS_TO_TRY_WAITING
    const waiting = mayBeTurnedAway ? (isFirst ? 1 : 0) : -1
    // Instances ask for room at a service that is not brittle when they see that it is short of room, also if this one does not.
    const hasLine = options.queueForRoom === true && !isBrittle(service)
    return { fraction: isFirst ? FIRST_HOME_FRACTION : OTHER_HOME_FRACTION, instances: options.instances(), waiting, hasLine }
  }

  /** Undefined when no home replied; adds the homes that did not reply to `silent`. */
  async function send (service: string, message: RoomRequest, silent: Peer[] = []): Promise<RoomReply | undefined> {
    for (const home of calls.reachable(options.homes(service))) {
      if (home.instanceId === instanceId) return await lines.issue(message)
      const reply = parseRoomReply(await calls.post(home, PEER_PATH.rooms, message))
      if (reply !== undefined) return reply
      silent.push(home)
    }
    return undefined
  }

  /** The even share of the service's slots, for an instance that reaches no home. */
  function grantOwnShare (service: string, wanted: readonly BackendState[]): BackendState | undefined {
    const slots = options.backends(service).reduce((sum, { entry }) => sum + entry.slots, 0)
    const used = Object.values(reports.inProgress(service)).reduce((sum, count) => sum + count, 0)
    // Without at least one, an instance of a large fleet would reject all requests although it reaches the backend servers.
    const least = isBrittle(service) ? 0 : 1
    if (used >= Math.max(least, Math.floor(slots / options.instances()))) return undefined
    return wanted.find(({ entry, pending }) => pending.size < Math.ceil(entry.slots / options.instances()))
  }

  function grant (service: string, backend: BackendState): RoomOutcome {
    const { granted } = reports.of(service)
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
    const report = reports.of(service)
    report.askAgainAt = askAgainAt
    report.retryAt = retryAt
    return { kind: 'denied', retryAt }
  }

  async function acquire (service: string, backends: readonly BackendState[], turn?: RoomQueueEntry): Promise<RoomOutcome> {
    const report = reports.of(service)
    const message = reports.takeMessage(service, backends)
    const { sequence } = message
    report.openRequests.add(sequence)
    const stopWatchingCaller = turn?.onCallerLeft(() => {
      // The next message shows the issuer that the request is no longer open.
      report.openRequests.delete(sequence)
      scheduleReport(service)
    })
    const mayQueue = turn !== undefined && !isBrittle(service)
    const silent: Peer[] = []
    const reply = await send(service, mayQueue ? withTurn(message, turn) : message, silent).finally(() => {
      report.openRequests.delete(sequence)
      stopWatchingCaller?.()
    })
    if (mayQueue) for (const home of silent) returnGrant(service, home)
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
        return mayQueue ? denyTurn(service, turn, { askAgainAt: toLocal(reply.askAgainAt), retryAt: toLocal(reply.retryAt), returnEvery: reply.returnEvery ?? 0 }) : deny(service, toLocal(reply.askAgainAt), toLocal(reply.retryAt))
      }
      case 'granted': {
        const granted = backends.find(({ entry }) => backendProcessOf(entry) === reply.backendProcess)
        return granted === undefined ? { kind: 'denied', retryAt: now + NO_HOME_RETRY_MS } : grant(service, granted)
      }
    }
  }

  /** A home that replied too late may have granted room. It gets no other message while it is avoided, which would be longer than it keeps the grant. */
  function returnGrant (service: string, home: Peer): void {
    calls.post(home, PEER_PATH.rooms, reports.takeMessage(service, [])).catch((error: unknown) => log.warning('roomsNotTold', { service, reason: String(error) }))
  }

  function withTurn (message: RoomRequest, { priority, account, waitUntil }: RoomQueueEntry): RoomRequest {
    return { ...message, priority, account, waitUntil: clock.fromLocal(waitUntil) ?? 0 }
  }

  function denyTurn (service: string, turn: RoomQueueEntry, denial: RoomDenial): RoomOutcome {
    shortages.noteDenial(service)
    reports.of(service).denials.set(turnKey(turn), denial)
    return { kind: 'denied', retryAt: denial.retryAt }
  }

  /** Callers return at the rate at which slots become free, also those whose requests the issuer was not asked about. */
  function turnDeniedUntil (service: string, turn: RoomQueueEntry, now: number): number | undefined {
    const report = reports.find(service)
    const denial = report?.denials.get(turnKey(turn))
    if (report === undefined || denial === undefined) return undefined
    if (now >= denial.askAgainAt) {
      report.denials.delete(turnKey(turn))
      return undefined
    }
    report.deniedSinceMessage++
    shortages.noteDenial(service)
    denial.retryAt += denial.returnEvery
    return denial.retryAt
  }

  function tell (service: string): void {
    send(service, reports.takeMessage(service, [])).catch((error: unknown) => log.warning('roomsNotTold', { service, reason: String(error) }))
  }

  function scheduleReport (service: string): void {
    const report = reports.of(service)
    if (report.isScheduled) return
    report.isScheduled = true
    setTimeout(() => {
      report.isScheduled = false
      if (isNeeded(service)) tell(service)
    }, REPORT_DELAY_MS)
  }

  const timer = setInterval(() => {
    const services = new Set([...brittleness.brittleServices, ...shortages.shortServices])
    for (const service of services) if (Object.keys(reports.inProgress(service)).length > 0) tell(service)
  }, REPORT_INTERVAL_MS)

  return {
    isNeeded,
    isBrittle,
    deniedUntil: (service, now, turn) => {
      if (!isBrittle(service)) return turn !== undefined && shortages.isShort(service) ? turnDeniedUntil(service, turn, now) : undefined
      const report = reports.find(service)
      return report !== undefined && now < report.askAgainAt ? report.retryAt + Math.random() * RETURN_SPREAD_MS : undefined
    },
    acquire,
    noteEnded: (backend, how) => {
      const { entry, tally } = backend
      const { service } = entry
      if (how !== 'failed') tally.answered++
      if (how === 'full') {
        tally.rejected++
        shortages.noteRejection(backend)
      }
      if (!isNeeded(service)) return
      const report = reports.of(service)
      if (how === 'failed') report.failed.add(backendProcessOf(entry))
      if (how === 'full') report.full.add(backendProcessOf(entry))
      scheduleReport(service)
    },
    observe: (backend, fields, requestId) => {
      shortages.observe(backend, fields)
      brittleness.observe(backend, fields, requestId)
    },
    learn: brittleness.learn,
    issue: lines.issue,
    stop: () => clearInterval(timer)
  }
}

function turnKey ({ priority, account }: RoomQueueEntry): string {
  return `${priority}/${account}`
}
