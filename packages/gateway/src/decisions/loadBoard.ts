import { RATIO_UNITS, type LoadFigures } from './loadRows.js'
import { addRows, encodeServices, noFigures, totalOf, type ServiceSums, type ServiceTotal } from './loadSums.js'

/**
 * Sums the load figures that instances report to a home.
 *
 * Load: 130 instances of a failure domain that report every second and each get the sums of all others for up to 1,100 processes.
 * Sums and the text of their rows are kept for a moment and used for several replies; an instance's own figures are subtracted.
 */

/** An instance that stopped, or reports elsewhere, is forgotten after this time. */
const FORGET_MS = 3000
/** Sums are kept for this time. A figure may be 2,500 ms old, of which two intervals between messages take 2,000. */
const DEFAULT_SUMS_MS = 100
/** Nearly all instances of the domain have reported once after this time; the first of them reports again after 1,000 ms. */
const COMPLETE_AFTER_MS = 950
/** Half-life of rates and ratios. */
const RECENT_HALF_LIFE_MS = 2000
const MAX_REPORT_AGE_MS = 10_000
/** Counts below are forgotten, in `RATIO_UNITS`. */
const MIN_RATIO_COUNT = RATIO_UNITS / 20

/** What an instance reports of one service. */
export interface ReportedService {
  readonly name: string
  readonly rows: ReadonlyMap<string, LoadFigures>
}

/** What an instance reports. */
export interface InstanceReport {
  /** Key of the instance. */
  readonly reporter: string
  /** Time since its previous report, for rates. */
  readonly intervalMilliseconds: number
  readonly services: readonly ReportedService[]
}

/** Sums of all instances except the one that asked. Rates and numbers of instances include it. */
export interface OthersSums {
  readonly reporters: number
  /** Mean age of the reports. */
  readonly ageMilliseconds: number
  /** False while instances may not have reported yet, as this home has just begun. */
  readonly isComplete: boolean
  readonly services: readonly ServiceSums[]
}

/** Sums of the instances that reported to another home. */
export interface HomeSums {
  readonly home: string
  readonly failureDomain: string
  /** When each instance reported, by its key. */
  readonly reporters: ReadonlyMap<string, number>
  readonly services: readonly (Omit<ServiceSums, 'rows' | 'requests' | 'unansweredTokens'> & ReportedService)[]
}

/** Sums for other homes. */
export interface OwnSums {
  readonly reporters: ReadonlyMap<string, number>
  readonly services: readonly ServiceSums[]
}

/** Merges figures at a home. */
export interface LoadBoard {
  /** True while instances report here; `except` is not counted. */
  hasReporters (now: number, except?: string): boolean
  report (report: InstanceReport, now: number): void
  /** Takes over sums of another home, in place of earlier ones. */
  learn (sums: HomeSums, failureDomain: string, now: number): void
  othersOf (reporter: string, services: readonly string[], now: number): OthersSums
  /** Sums of the instances that reported here. */
  ownSums (now: number): OwnSums
}

interface ServiceRecord {
  readonly rows: ReadonlyMap<string, LoadFigures>
  readonly sent: number
  readonly rejected: number
  readonly milliseconds: number
}

/** The last report of an instance, with rates and ratios of its earlier ones; never changed. */
interface InstanceRecord {
  readonly at: number
  readonly services: ReadonlyMap<string, ServiceRecord>
}

interface Snapshot {
  readonly at: number
  readonly records: ReadonlyMap<string, InstanceRecord>
  readonly services: ReadonlyMap<string, ServiceTotal>
  readonly reporters: number
  readonly meanReportedAt: number
}

function sumRecords (records: Iterable<InstanceRecord>): Map<string, ServiceTotal> {
  const services = new Map<string, ServiceTotal>()
  for (const record of records) {
    for (const [name, { rows, sent, rejected, milliseconds }] of record.services) {
      const total = totalOf(services, name)
      total.instances++
      total.sentPerSecond += sent * 1000 / milliseconds
      total.rejectedPerSecond += rejected * 1000 / milliseconds
      addRows(total, rows)
    }
  }
  return services
}

/** Merges a row with the previous one of the same instance, whose ratios count less with time. */
function mergeRow (row: LoadFigures, previous: LoadFigures, factor: number, now: number): LoadFigures | undefined {
  const ratioCount = Math.round(previous.ratioCount * factor) + row.ratioCount
  const hasRatio = ratioCount >= MIN_RATIO_COUNT
  const report = row.report ?? previous.report
  const merged = {
    ...row,
    ratioCount: hasRatio ? ratioCount : 0,
    ratioSum: hasRatio ? Math.round(previous.ratioSum * factor) + row.ratioSum : 0,
    report: report !== undefined && now - report.receivedAt <= MAX_REPORT_AGE_MS ? report : undefined
  }
  return merged.requests === 0 && merged.unansweredTokens === 0 && !hasRatio && merged.report === undefined ? undefined : merged
}

function mergeService (rows: ReadonlyMap<string, LoadFigures>, intervalMilliseconds: number, previous: ServiceRecord | undefined, factor: number, now: number): ServiceRecord {
  const merged = new Map<string, LoadFigures>()
  let sent = (previous?.sent ?? 0) * factor
  let rejected = (previous?.rejected ?? 0) * factor
  for (const [key, row] of rows) {
    sent += row.sent
    rejected += row.rejected
    const result = mergeRow(row, previous?.rows.get(key) ?? noFigures, factor, now)
    if (result !== undefined) merged.set(key, result)
  }
  for (const [key, row] of previous?.rows ?? []) {
    if (rows.has(key)) continue
    const result = mergeRow(noFigures, row, factor, now)
    if (result !== undefined) merged.set(key, result)
  }
  return { rows: merged, sent, rejected, milliseconds: Math.max(1, (previous?.milliseconds ?? 0) * factor + intervalMilliseconds) }
}

/** Creates a board without figures. `sumsMilliseconds` is the time for which sums are kept. */
export function createLoadBoard (sumsMilliseconds = DEFAULT_SUMS_MS): LoadBoard {
  const records = new Map<string, InstanceRecord>()
  const learned = new Map<string, { readonly sums: HomeSums, readonly at: number }>()
  let startedAt = 0
  let snapshot: Snapshot | undefined

  function forget (now: number): void {
    for (const [reporter, { at }] of records) if (now - at > FORGET_MS) records.delete(reporter)
    for (const [home, { at }] of learned) if (now - at > FORGET_MS) learned.delete(home)
  }

  /** Sums of other homes, without those that have an instance in common with others or with this home. */
  function disjointSums (): readonly HomeSums[] {
    const counted = new Set(records.keys())
    const ordered = [...learned.values()].sort((left, right) => right.sums.reporters.size - left.sums.reporters.size || right.at - left.at || (left.sums.home < right.sums.home ? -1 : 1))
    const disjoint: HomeSums[] = []
    for (const { sums } of ordered) {
      const reporters = [...sums.reporters.keys()]
      if (reporters.some((reporter) => counted.has(reporter))) continue
      for (const reporter of reporters) counted.add(reporter)
      disjoint.push(sums)
    }
    return disjoint
  }

  function takeSnapshot (now: number): Snapshot {
    forget(now)
    const services = sumRecords(records.values())
    const times = [...records.values()].map(({ at }) => at)
    for (const sums of disjointSums()) {
      times.push(...sums.reporters.values())
      for (const { name, instances, sentPerSecond, rejectedPerSecond, rows } of sums.services) {
        const total = totalOf(services, name)
        total.instances += instances
        total.sentPerSecond += sentPerSecond
        total.rejectedPerSecond += rejectedPerSecond
        addRows(total, rows)
      }
    }
    const meanReportedAt = times.length === 0 ? now : times.reduce((sum, at) => sum + at, 0) / times.length
    return { at: now, records: new Map(records), services, reporters: times.length, meanReportedAt }
  }

  return {
    hasReporters: (now, except = '') => {
      forget(now)
      return records.size > (records.has(except) ? 1 : 0)
    },
    report: ({ reporter, intervalMilliseconds, services }, now) => {
      forget(now)
      if (records.size === 0) startedAt = now
      const previous = records.get(reporter)
      const factor = previous === undefined ? 0 : 2 ** (-Math.max(0, now - previous.at) / RECENT_HALF_LIFE_MS)
      records.set(reporter, { at: now, services: new Map(services.map(({ name, rows }) => [name, mergeService(rows, intervalMilliseconds, previous?.services.get(name), factor, now)])) })
    },
    learn: (sums, failureDomain, now) => {
      learned.set(sums.home, { sums, at: now })
      // An instance that has gone over to another home of this domain is counted there.
      if (sums.failureDomain === failureDomain) for (const [reporter, at] of sums.reporters) if (at > (records.get(reporter)?.at ?? Infinity)) records.delete(reporter)
    },
    othersOf: (reporter, names, now) => {
      // A snapshot without the instance may hold its figures in the sums of another home.
      if (snapshot === undefined || now < snapshot.at || now - snapshot.at >= sumsMilliseconds || !snapshot.records.has(reporter)) snapshot = takeSnapshot(now)
      const current = snapshot
      const own = current.records.get(reporter)
      const services = names.flatMap((name) => {
        const total = current.services.get(name)
        return total === undefined ? [] : [{ name, total, own: own?.services.get(name)?.rows ?? new Map<string, LoadFigures>() }]
      })
      return { reporters: current.reporters, ageMilliseconds: now - current.meanReportedAt, isComplete: now - startedAt >= COMPLETE_AFTER_MS, services: encodeServices(services, now) }
    },
    ownSums: (now) => {
      forget(now)
      const services = [...sumRecords(records.values())].map(([name, total]) => ({ name, total, own: new Map<string, LoadFigures>() }))
      return { reporters: new Map([...records].map(([reporter, { at }]) => [reporter, at])), services: encodeServices(services, now) }
    }
  }
}
