import { encodeRow, type LoadFigures, type TimedReport } from './loadRows.js'

/**
 * Sums of load figures over instances, and their text in messages.
 *
 * Load: up to 1,100 processes in each of 130 replies a second. Sums change by the difference of two reports, and the text of a row is
 * kept with its sum; only rows of which the asking instance's figures are subtracted are encoded for each reply. All summands are
 * integers, so that sums are exact whatever the order of the changes.
 */

/** Of the rows of a reply or of sums; leaves room for the rest of a message of 65,536 bytes. */
const MAX_ROWS_LENGTH = 60_000
/** The text of a row has the age of its load report. */
const MAX_TEXT_AGE_MS = 200
/** From this number of rows on, replies share a text of all rows, followed by the rows that are different for the asking instance. */
const MIN_SHARED_ROWS = 200
const MAX_SHARED_AGE_MS = 100
/** An older load report says nothing of the present, and each one is kept for every instance that received one. */
export const MAX_REPORT_AGE_MS = 5000
/** Rates are summed in hundredths of a request per second. */
const RATE_UNITS = 100

/** Sums of one service; `requests` and `unansweredTokens` are those of all rows, also of rows that were left out. */
export interface ServiceSums {
  readonly name: string
  readonly instances: number
  readonly sentPerSecond: number
  readonly rejectedPerSecond: number
  readonly requests: number
  readonly unansweredTokens: number
  /** Encoded rows. */
  readonly rows: string
}

/** What an instance, or a home for several instances, adds to the sums of one service. */
export interface ServicePart {
  readonly rows: ReadonlyMap<string, LoadFigures>
  readonly instances: number
  readonly sentPerSecond: number
  readonly rejectedPerSecond: number
}

/** What the asking instance has added, now and with its report before. */
export interface OwnPart extends ServicePart {
  readonly previousRows: ReadonlyMap<string, LoadFigures>
  /** When it reported before; -Infinity for the first report. */
  readonly previousAt: number
}

interface OriginReport {
  readonly report: TimedReport
  /** Instance or home that told it. */
  readonly origin: string
}

interface RowSum {
  requests: number
  unansweredTokens: number
  ratioSum: number
  ratioCount: number
  /** The newest one, and the newest one of another origin. */
  newest: OriginReport | undefined
  second: OriginReport | undefined
  text: string | undefined
  textAt: number
}

interface ServiceTotal {
  readonly rows: Map<string, RowSum>
  instances: number
  sent: number
  rejected: number
  requests: number
  unansweredTokens: number
  shared: { readonly text: string, readonly at: number } | undefined
}

/** Sums of several services. */
export interface LoadSums {
  /** Replaces what an origin has added to a service. */
  replace (service: string, origin: string, previous: ServicePart | undefined, next: ServicePart | undefined): void
  readonly services: Iterable<string>
  /** Encodes the sums of a service, without the figures that `origin` has added, which are `own`; undefined when nobody uses it. */
  encode (services: readonly string[], origin: string, own: (service: string) => OwnPart | undefined, now: number): readonly ServiceSums[]
}

/** Figures of a process at which an instance has nothing. */
export const noFigures: LoadFigures = { requests: 0, unansweredTokens: 0, ratioSum: 0, ratioCount: 0, report: undefined, sent: 0, answered: 0, rejected: 0 }
const noRows: ReadonlyMap<string, LoadFigures> = new Map()

function isSame (left: LoadFigures, right: LoadFigures): boolean {
  return left.requests === right.requests && left.unansweredTokens === right.unansweredTokens && left.ratioSum === right.ratioSum && left.ratioCount === right.ratioCount && left.report === right.report
}

function removeReport (sum: RowSum, origin: string): void {
  if (sum.second?.origin === origin) sum.second = undefined
  if (sum.newest?.origin !== origin) return
  sum.newest = sum.second
  sum.second = undefined
}

function addReport (sum: RowSum, origin: string, report: TimedReport): void {
  const added = { report, origin }
  if (sum.newest === undefined || report.receivedAt > sum.newest.report.receivedAt) {
    sum.second = sum.newest
    sum.newest = added
  } else if (sum.second === undefined || report.receivedAt > sum.second.report.receivedAt) {
    sum.second = added
  }
}

/** Replaces the figures of an origin at one process. */
function replaceRow (total: ServiceTotal, key: string, origin: string, previous: LoadFigures, next: LoadFigures): void {
  let sum = total.rows.get(key)
  if (sum === undefined) {
    sum = { requests: 0, unansweredTokens: 0, ratioSum: 0, ratioCount: 0, newest: undefined, second: undefined, text: undefined, textAt: 0 }
    total.rows.set(key, sum)
  }
  sum.text = undefined
  sum.requests += next.requests - previous.requests
  sum.unansweredTokens += next.unansweredTokens - previous.unansweredTokens
  sum.ratioSum += next.ratioSum - previous.ratioSum
  sum.ratioCount += next.ratioCount - previous.ratioCount
  total.requests += next.requests - previous.requests
  total.unansweredTokens += next.unansweredTokens - previous.unansweredTokens
  if (previous.report !== undefined) removeReport(sum, origin)
  if (next.report !== undefined) addReport(sum, origin, next.report)
}

function reportOfOthers ({ newest, second }: RowSum, origin: string): TimedReport | undefined {
  return newest?.origin === origin ? second?.report : newest?.report
}

function encodeSum (key: string, sum: RowSum, own: LoadFigures, report: TimedReport | undefined, now: number): string {
  return encodeRow(key, {
    ...noFigures,
    requests: sum.requests - own.requests,
    unansweredTokens: sum.unansweredTokens - own.unansweredTokens,
    ratioSum: sum.ratioSum - own.ratioSum,
    ratioCount: sum.ratioCount - own.ratioCount,
    report: report !== undefined && now - report.receivedAt <= MAX_REPORT_AGE_MS ? report : undefined
  }, now)
}

/** Returns the rows of a service, without empty ones, whose sums are forgotten. */
function encodeRows (total: ServiceTotal, origin: string, ownRows: ReadonlyMap<string, LoadFigures>, now: number): string {
  const rows: string[] = []
  for (const [key, sum] of total.rows) {
    if (sum.text === undefined || now - sum.textAt >= MAX_TEXT_AGE_MS) {
      sum.text = encodeSum(key, sum, noFigures, sum.newest?.report, now)
      sum.textAt = now
      if (sum.text === '') total.rows.delete(key)
    }
    const own = ownRows.get(key)
    const row = own === undefined ? sum.text : encodeSum(key, sum, own, reportOfOthers(sum, origin), now)
    if (row !== '') rows.push(row)
  }
  // Joined, as a text of concatenations would be copied piece by piece in each reply that shares it.
  return rows.join(';')
}

/** Returns the rows of many processes. A row that comes again replaces the earlier one of its process. */
function encodeManyRows (total: ServiceTotal, origin: string, own: OwnPart | undefined, now: number): string {
  let { shared } = total
  if (shared === undefined || now - shared.at >= MAX_SHARED_AGE_MS || (own !== undefined && own.previousAt >= shared.at)) {
    shared = { text: encodeRows(total, '', noRows, now), at: now }
    total.shared = shared
  }
  let { text } = shared
  if (own === undefined) return text
  const replaceShared = (key: string): void => {
    const sum = total.rows.get(key)
    if (sum !== undefined) text += ';' + (encodeSum(key, sum, own.rows.get(key) ?? noFigures, reportOfOthers(sum, origin), now) || key)
  }
  for (const key of own.rows.keys()) replaceShared(key)
  for (const key of own.previousRows.keys()) if (!own.rows.has(key)) replaceShared(key)
  return text
}

/** Leaves out rows until the rest fits: those of idle processes first, then those with the fewest requests. */
function fitRows (services: readonly ServiceSums[], requestsOf: (service: string, key: string) => number): readonly ServiceSums[] {
  const rows = services.flatMap(({ name, rows }) => rows === '' ? [] : rows.split(';').map((text) => ({ name, text, requests: requestsOf(name, text.slice(0, 6)) })))
  const ordered = [...rows].sort((left, right) => right.requests - left.requests)
  const kept = new Set<unknown>()
  let left = MAX_ROWS_LENGTH
  for (const row of ordered) {
    left -= row.text.length + 1
    if (left < 0) break
    kept.add(row)
  }
  return services.map((service) => ({ ...service, rows: rows.filter((row) => row.name === service.name && kept.has(row)).map(({ text }) => text).join(';') }))
}

/** Rows that replace others must not be left out of a text that is shortened. */
function isTooLong ({ shared }: ServiceTotal): boolean {
  return (shared?.text.length ?? 0) > MAX_ROWS_LENGTH / 2
}

/** Creates sums of nothing. */
export function createLoadSums (): LoadSums {
  const totals = new Map<string, ServiceTotal>()

  function totalOf (service: string): ServiceTotal {
    const known = totals.get(service)
    if (known !== undefined) return known
    const total = { rows: new Map(), instances: 0, sent: 0, rejected: 0, requests: 0, unansweredTokens: 0, shared: undefined }
    totals.set(service, total)
    return total
  }

  return {
    get services () { return totals.keys() },
    replace: (service, origin, previous, next) => {
      const total = totalOf(service)
      // The shared text may have figures of an origin whose reports before are not known any more.
      if (previous === undefined || next === undefined) total.shared = undefined
      const rate = (perSecond: number | undefined): number => Math.round((perSecond ?? 0) * RATE_UNITS)
      total.instances += (next?.instances ?? 0) - (previous?.instances ?? 0)
      total.sent += rate(next?.sentPerSecond) - rate(previous?.sentPerSecond)
      total.rejected += rate(next?.rejectedPerSecond) - rate(previous?.rejectedPerSecond)
      const previousRows = previous?.rows ?? noRows
      const nextRows = next?.rows ?? noRows
      for (const [key, row] of nextRows) {
        const previousRow = previousRows.get(key) ?? noFigures
        if (!isSame(previousRow, row)) replaceRow(total, key, origin, previousRow, row)
      }
      for (const [key, row] of previousRows) if (!nextRows.has(key)) replaceRow(total, key, origin, row, noFigures)
      if (total.instances === 0) totals.delete(service)
    },
    encode: (services, origin, own, now) => {
      let length = 0
      const encoded = services.flatMap((name) => {
        const total = totals.get(name)
        if (total === undefined) return []
        const part = own(name)
        const ownRows = part?.rows ?? noRows
        let { requests, unansweredTokens } = total
        for (const row of ownRows.values()) {
          requests -= row.requests
          unansweredTokens -= row.unansweredTokens
        }
        const rows = total.rows.size < MIN_SHARED_ROWS || isTooLong(total) ? encodeRows(total, origin, ownRows, now) : encodeManyRows(total, origin, part, now)
        length += rows.length
        return [{ name, instances: total.instances, sentPerSecond: total.sent / RATE_UNITS, rejectedPerSecond: total.rejected / RATE_UNITS, requests, unansweredTokens, rows }]
      })
      if (length <= MAX_ROWS_LENGTH) return encoded
      return fitRows(encoded, (service, key) => {
        const sum = totals.get(service)?.rows.get(key)
        // Requests come before tokens, which are fewer than a million for each request.
        return sum === undefined ? 0 : sum.requests * 1_000_000 + sum.unansweredTokens
      })
    }
  }
}
