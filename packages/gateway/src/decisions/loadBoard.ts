import { RATIO_UNITS, type LoadFigures } from './loadRows.js'
import { createLoadSums, MAX_REPORT_AGE_MS, noFigures, type OwnPart, type ServiceSums } from './loadSums.js'

/**
 * Merges the load figures that instances report to a home.
 *
 * Load: 130 instances of a failure domain that report every second and each get the sums of all others for up to 1,100 processes.
 * An instance's own figures are subtracted from the sums, which are kept.
 */

/** An instance that stopped, or reports elsewhere, is forgotten after this time. */
const FORGET_MS = 3000
/** Nearly all instances of the domain have reported once after this time; the first of them reports again after 1,000 ms. */
const COMPLETE_AFTER_MS = 950
/** Half-life of rates and ratios. */
const RECENT_HALF_LIFE_MS = 2000
/** Smaller counts of an instance are forgotten, in `RATIO_UNITS`: 4 s after its last response. */
const MIN_RATIO_COUNT = RATIO_UNITS / 4

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

/** What an instance adds to a service, with decayed counts for its rates. */
interface ServiceRecord extends OwnPart {
  readonly sent: number
  readonly rejected: number
  readonly milliseconds: number
}

/** The last report of an instance, with rates and ratios of its earlier ones; never changed. */
interface InstanceRecord {
  readonly at: number
  readonly services: ReadonlyMap<string, ServiceRecord>
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

function mergeService (rows: ReadonlyMap<string, LoadFigures>, intervalMilliseconds: number, previous: ServiceRecord | undefined, previousAt: number, factor: number, now: number): ServiceRecord {
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
  const milliseconds = Math.max(1, (previous?.milliseconds ?? 0) * factor + intervalMilliseconds)
  return { rows: merged, previousRows: previous?.rows ?? new Map<string, LoadFigures>(), previousAt, instances: 1, sent, rejected, milliseconds, sentPerSecond: sent * 1000 / milliseconds, rejectedPerSecond: rejected * 1000 / milliseconds }
}

/** Creates a board without figures. */
export function createLoadBoard (): LoadBoard {
  const records = new Map<string, InstanceRecord>()
  const learned = new Map<string, { readonly sums: HomeSums, readonly at: number }>()
  /** Sums of other homes that are counted. */
  let counted: readonly HomeSums[] = []
  /** Of the instances that report here. */
  const ownTotals = createLoadSums()
  /** Of all instances. */
  const allTotals = createLoadSums()
  let startedAt = 0

  function replaceRecord (reporter: string, next: InstanceRecord | undefined): void {
    const previous = records.get(reporter)
    if (next === undefined) records.delete(reporter)
    else records.set(reporter, next)
    for (const service of new Set([...previous?.services.keys() ?? [], ...next?.services.keys() ?? []])) {
      for (const totals of [ownTotals, allTotals]) totals.replace(service, reporter, previous?.services.get(service), next?.services.get(service))
    }
  }

  function forget (now: number): void {
    let isChanged = false
    for (const [reporter, { at }] of records) {
      if (now - at <= FORGET_MS) continue
      replaceRecord(reporter, undefined)
      isChanged = true
    }
    for (const [home, { at }] of learned) {
      if (now - at <= FORGET_MS) continue
      learned.delete(home)
      isChanged = true
    }
    if (isChanged) countOthers()
  }

  /** Sums of other homes, without those that have an instance in common with others or with this home. */
  function disjointSums (): readonly HomeSums[] {
    const reportersCounted = new Set(records.keys())
    const ordered = [...learned.values()].sort((left, right) => right.sums.reporters.size - left.sums.reporters.size || right.at - left.at || (left.sums.home < right.sums.home ? -1 : 1))
    const disjoint: HomeSums[] = []
    for (const { sums } of ordered) {
      const reporters = [...sums.reporters.keys()]
      if (reporters.some((reporter) => reportersCounted.has(reporter))) continue
      for (const reporter of reporters) reportersCounted.add(reporter)
      disjoint.push(sums)
    }
    return disjoint
  }

  /** Adds the sums of other homes that count now, in place of those that did before. */
  function countOthers (): void {
    const next = disjointSums()
    const homes = new Set([...counted, ...next].map(({ home }) => home))
    for (const home of homes) {
      const before = counted.find((sums) => sums.home === home)
      const after = next.find((sums) => sums.home === home)
      if (before === after) continue
      const names = new Set([...before?.services ?? [], ...after?.services ?? []].map(({ name }) => name))
      for (const name of names) allTotals.replace(name, home, before?.services.find((service) => service.name === name), after?.services.find((service) => service.name === name))
    }
    counted = next
  }

  /** Mean time of the reports. */
  function meanReportedAt (now: number): number {
    let sum = 0
    let count = 0
    const times = [records.values(), ...counted.map(({ reporters }) => reporters.values())]
    for (const values of times) {
      for (const value of values) {
        sum += typeof value === 'number' ? value : value.at
        count++
      }
    }
    return count === 0 ? now : sum / count
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
      replaceRecord(reporter, { at: now, services: new Map(services.map(({ name, rows }) => [name, mergeService(rows, intervalMilliseconds, previous?.services.get(name), previous?.at ?? -Infinity, factor, now)])) })
      if (previous === undefined) countOthers()
    },
    learn: (sums, failureDomain, now) => {
      learned.set(sums.home, { sums, at: now })
      // An instance that has gone over to another home of this domain is counted there.
      if (sums.failureDomain === failureDomain) for (const [reporter, at] of sums.reporters) if (at > (records.get(reporter)?.at ?? Infinity)) replaceRecord(reporter, undefined)
      countOthers()
    },
    othersOf: (reporter, names, now) => {
      forget(now)
      const own = records.get(reporter)
      return {
        reporters: records.size + counted.reduce((sum, { reporters }) => sum + reporters.size, 0),
        ageMilliseconds: now - meanReportedAt(now),
        isComplete: now - startedAt >= COMPLETE_AFTER_MS,
        services: allTotals.encode([...new Set(names)], reporter, (service) => own?.services.get(service), now)
      }
    },
    ownSums: (now) => {
      forget(now)
      return { reporters: new Map([...records].map(([reporter, { at }]) => [reporter, at])), services: ownTotals.encode([...ownTotals.services], '', () => undefined, now) }
    }
  }
}
