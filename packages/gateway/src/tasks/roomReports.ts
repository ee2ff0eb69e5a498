import { steadyNow } from '../clock.js'
import { backendProcessOf, type BackendState } from '../decisions/backendState.js'
import type { RoomLoad, RoomRequest } from '../decisions/roomMessages.js'
import type { SharedClock } from '../decisions/sharedClock.js'

/** Backend servers that are named in a request for room, about 60 bytes each; those of lower rank may have room when these have none. */
const MAX_WANTED = 32

/** Denial of room to requests of one priority and client account. Times by `steadyNow`. */
export interface RoomDenial {
  readonly askAgainAt: number
  /** When the caller of the request that was denied last may return. */
  retryAt: number
  /** Milliseconds by which the next one returns later. */
  readonly returnEvery: number
}

/** What this instance tells the issuer of a service. */
export interface ServiceReport {
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
  /** Denials at a service that is short of room, by priority and client account. */
  readonly denials: Map<string, RoomDenial>
  /** Requests that were rejected for these denials since the last message. */
  deniedSinceMessage: number
}

/** What this instance tells the issuers of all services. */
export interface RoomReports {
  find (service: string): ServiceReport | undefined
  of (service: string): ServiceReport
  forget (service: string): void
  /** Requests in progress, and room granted for others, by backend server's process. */
  inProgress (service: string): Record<string, number>
  /** Creates the next message to the issuer; `wanted` is empty for one that only reports. */
  takeMessage (service: string, wanted: readonly BackendState[]): RoomRequest
}

/** Dependencies of the reports. */
export interface RoomReportsOptions {
  readonly instanceId: string
  readonly clock: SharedClock
  readonly sharedNow: () => number
  /** The listed backend servers of a service. */
  readonly backends: (service: string) => readonly BackendState[]
}

/** Creates the reports of one process. */
export function createRoomReports ({ instanceId, clock, sharedNow, backends }: RoomReportsOptions): RoomReports {
  const reports = new Map<string, ServiceReport>()

  function reportOf (service: string): ServiceReport {
    const known = reports.get(service)
    if (known !== undefined) return known
    // A new process, or a new period of brittleness, goes on above what the issuer has heard before.
    const report: ServiceReport = { sequence: Math.floor(sharedNow()), openRequests: new Set(), granted: new Map(), failed: new Set(), full: new Set(), loadsToldUntil: 0, askAgainAt: 0, retryAt: 0, isScheduled: false, denials: new Map(), deniedSinceMessage: 0 }
    reports.set(service, report)
    return report
  }

  function inProgress (service: string): Record<string, number> {
    const counts: Record<string, number> = {}
    for (const { entry, pending } of backends(service)) if (pending.size > 0) counts[backendProcessOf(entry)] = pending.size
    for (const [backendProcess, granted] of reportOf(service).granted) counts[backendProcess] = (counts[backendProcess] ?? 0) + granted
    return counts
  }

  function takeLoads (service: string): Record<string, RoomLoad> {
    const report = reportOf(service)
    const loads: Record<string, RoomLoad> = {}
    for (const { entry, reportedLoad } of backends(service)) {
      if (reportedLoad === undefined || reportedLoad.receivedAt < report.loadsToldUntil) continue
      loads[backendProcessOf(entry)] = { running: reportedLoad.running, waiting: reportedLoad.waiting, at: clock.fromLocal(reportedLoad.receivedAt) ?? 0 }
    }
    report.loadsToldUntil = steadyNow()
    return loads
  }

  return {
    find: (service) => reports.get(service),
    of: reportOf,
    forget: (service) => { reports.delete(service) },
    inProgress,
    takeMessage: (service, wanted) => {
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
        wanted: wanted.slice(0, MAX_WANTED).map(({ entry }) => ({ backendProcess: backendProcessOf(entry), slots: entry.slots })),
        ...(report.deniedSinceMessage > 0 ? { denied: report.deniedSinceMessage } : {})
      }
      report.failed.clear()
      report.full.clear()
      report.deniedSinceMessage = 0
      return message
    }
  }
}
