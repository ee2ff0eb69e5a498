import type { FleetLoads, OthersLoad } from './fleetLoads.js'
import type { OthersSums } from './loadBoard.js'
import { createLoadKeys, decodeRows, RATIO_UNITS, type LoadFigures } from './loadRows.js'

/**
 * An instance's view of the load that all others have at the backend servers.
 *
 * Load: a backend server that answers each instance only every 10 to 20 s. While no reply comes, the last figures are kept and
 * approach the mean of the service: a process that was full is no longer known to be, and must not be taken for an idle one either.
 */

/** A reply that is later than this after the one before is overdue. */
const OVERDUE_AFTER_MS = 1500
const HALF_LIFE_MS = 2000
/** Figures that approach the mean for this time say nothing of a process, and the service's mean is that of another time. */
const MAX_FIGURES_MS = 30_000

/** What this instance has at a service at this moment. */
export interface OwnLoad {
  readonly processes: number
  readonly requests: number
  readonly unansweredTokens: number
}

/** The view. */
export interface LoadView extends FleetLoads {
  /** Takes over a reply; returns what of it could not be read. `listed` has the service of each listed process. */
  takeReply (reply: OthersSums, listed: ReadonlyMap<string, string>, now: number): string | undefined
  /** Time for which the figures hold; undefined without any. */
  readonly asOf: number | undefined
  /** Instances of which the last reply told. */
  readonly reporters: number
  /** Requests in progress of all other instances, by service, in the last reply. */
  readonly requestsByService: ReadonlyMap<string, { readonly requests: number }>
}

interface ServiceView {
  readonly instances: number
  readonly sentPerSecond: number
  readonly rejectedPerSecond: number
  readonly requests: number
  readonly unansweredTokens: number
  /** Of each listed process. */
  readonly processes: number
  readonly logRatio: number
}

interface Figures {
  readonly receivedAt: number
  readonly asOf: number
  readonly services: ReadonlyMap<string, ServiceView>
  readonly rows: ReadonlyMap<string, LoadFigures>
  readonly listed: ReadonlyMap<string, string>
  readonly reporters: number
}

/** Creates a view without figures. */
export function createLoadView (ownLoad: (service: string) => OwnLoad): LoadView {
  const keys = createLoadKeys()
  let figures: Figures | undefined

  function current (now: number): Figures | undefined {
    return figures !== undefined && now - figures.receivedAt < MAX_FIGURES_MS ? figures : undefined
  }

  function othersAt (backendProcess: string, now: number): OthersLoad | undefined {
    const known = current(now)
    const service = known?.services.get(known.listed.get(backendProcess) ?? '')
    if (known === undefined || service === undefined) return undefined
    const row = known.rows.get(backendProcess)
    const kept = 2 ** (-Math.max(0, now - known.receivedAt - OVERDUE_AFTER_MS) / HALF_LIFE_MS)
    const approach = (value: number, mean: number): number => mean + (value - mean) * kept
    const ratioCount = (row?.ratioCount ?? 0) / RATIO_UNITS
    const logRatio = row === undefined || row.ratioCount === 0 ? service.logRatio : row.ratioSum / row.ratioCount
    return {
      requests: approach(row?.requests ?? 0, service.requests / service.processes),
      unansweredTokens: approach(row?.unansweredTokens ?? 0, service.unansweredTokens / service.processes),
      logRatio: approach(logRatio, service.logRatio),
      ratioCount: ratioCount * kept,
      report: row?.report,
      asOf: known.asOf
    }
  }

  return {
    othersAt,
    service: (name, now) => {
      const known = current(now)
      const service = known?.services.get(name)
      if (known === undefined || service === undefined) return undefined
      const own = ownLoad(name)
      const processes = Math.max(1, own.processes)
      return {
        requests: (service.requests + own.requests) / processes,
        unansweredTokens: (service.unansweredTokens + own.unansweredTokens) / processes,
        sentPerSecond: service.sentPerSecond,
        rejectedPerSecond: service.rejectedPerSecond,
        instances: service.instances,
        asOf: known.asOf
      }
    },
    takeReply: (reply, listed, now) => {
      const processesByService = new Map<string, string[]>()
      for (const [backendProcess, service] of listed) {
        const processes = processesByService.get(service)
        if (processes === undefined) processesByService.set(service, [backendProcess])
        else processes.push(backendProcess)
      }
      const services = new Map<string, ServiceView>()
      const rows = new Map<string, LoadFigures>()
      let unreadable: string | undefined
      for (const service of reply.services) {
        const decoded = decodeRows(service.rows, now)
        unreadable ??= decoded.unreadable
        const processes = processesByService.get(service.name) ?? []
        let ratioSum = 0
        let ratioCount = 0
        for (const row of decoded.rows.values()) {
          ratioSum += row.ratioSum
          ratioCount += row.ratioCount
        }
        for (const backendProcess of processes) {
          const row = decoded.rows.get(keys.of(backendProcess))
          if (row !== undefined) rows.set(backendProcess, row)
        }
        services.set(service.name, { ...service, processes: Math.max(1, processes.length), logRatio: ratioCount === 0 ? 0 : ratioSum / ratioCount })
      }
      keys.keep(listed)
      figures = { receivedAt: now, asOf: now - reply.ageMilliseconds, services, rows, listed, reporters: reply.reporters }
      return unreadable
    },
    get asOf () { return figures?.asOf },
    get requestsByService () { return figures?.services ?? new Map() },
    get reporters () { return figures?.reporters ?? 0 }
  }
}
