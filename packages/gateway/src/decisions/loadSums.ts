import { encodeRow, type LoadFigures, type TimedReport } from './loadRows.js'

/**
 * Sums of load figures over instances, and their text in messages.
 *
 * Load: up to 1,100 processes in each of 130 replies a second. The text of a row is kept with its sum; only the rows of which the
 * asking instance's figures are subtracted are encoded for each reply.
 */

/** Of the rows of a reply or of sums; leaves room for the rest of a message of 65,536 bytes. */
const MAX_ROWS_LENGTH = 60_000

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

interface RowSum {
  requests: number
  unansweredTokens: number
  ratioSum: number
  ratioCount: number
  report: TimedReport | undefined
  /** The newest one beside `report`, for the instance that received that one. */
  secondReport: TimedReport | undefined
  text: string | undefined
}

/** Sums of one service. */
export interface ServiceTotal {
  readonly rows: Map<string, RowSum>
  instances: number
  sentPerSecond: number
  rejectedPerSecond: number
}

/** Figures of a process at which an instance has nothing. */
export const noFigures: LoadFigures = { requests: 0, unansweredTokens: 0, ratioSum: 0, ratioCount: 0, report: undefined, sent: 0, answered: 0, rejected: 0 }

function addReport (sum: RowSum, report: TimedReport | undefined): void {
  if (report === undefined) return
  if (sum.report === undefined || report.receivedAt > sum.report.receivedAt) {
    sum.secondReport = sum.report
    sum.report = report
  } else if (sum.secondReport === undefined || report.receivedAt > sum.secondReport.receivedAt) {
    sum.secondReport = report
  }
}

/** Adds the rows of an instance, or of another home. */
export function addRows (total: ServiceTotal, rows: ReadonlyMap<string, LoadFigures>): void {
  for (const [key, { requests, unansweredTokens, ratioSum, ratioCount, report }] of rows) {
    let sum = total.rows.get(key)
    if (sum === undefined) {
      sum = { requests: 0, unansweredTokens: 0, ratioSum: 0, ratioCount: 0, report: undefined, secondReport: undefined, text: undefined }
      total.rows.set(key, sum)
    }
    sum.requests += requests
    sum.unansweredTokens += unansweredTokens
    sum.ratioSum += ratioSum
    sum.ratioCount += ratioCount
    addReport(sum, report)
  }
}

/** Returns the sums of a service, which are created when missing. */
export function totalOf (services: Map<string, ServiceTotal>, name: string): ServiceTotal {
  const known = services.get(name)
  if (known !== undefined) return known
  const total = { rows: new Map(), instances: 0, sentPerSecond: 0, rejectedPerSecond: 0 }
  services.set(name, total)
  return total
}

interface EncodedRow {
  readonly text: string
  readonly requests: number
  readonly unansweredTokens: number
}

/** Leaves out rows until the rest fits: those of idle processes first, then those with the fewest requests. */
function fitRows (services: readonly (readonly EncodedRow[])[]): readonly string[] {
  const length = services.reduce((sum, rows) => sum + rows.reduce((rowsSum, { text }) => rowsSum + text.length + 1, 0), 0)
  if (length <= MAX_ROWS_LENGTH) return services.map((rows) => rows.map(({ text }) => text).join(';'))
  const ordered = services.flat().sort((left, right) => right.requests - left.requests || right.unansweredTokens - left.unansweredTokens)
  const kept = new Set<EncodedRow>()
  let left = MAX_ROWS_LENGTH
  for (const row of ordered) {
    left -= row.text.length + 1
    if (left < 0) break
    kept.add(row)
  }
  return services.map((rows) => rows.filter((row) => kept.has(row)).map(({ text }) => text).join(';'))
}

/** Encodes sums; `own` are figures to subtract. */
export function encodeServices (services: readonly { readonly name: string, readonly total: ServiceTotal, readonly own: ReadonlyMap<string, LoadFigures> }[], now: number): readonly ServiceSums[] {
  const encoded = services.map(({ total, own }) => {
    const rows: EncodedRow[] = []
    for (const [key, sum] of total.rows) {
      const subtracted = own.get(key)
      if (subtracted === undefined) {
        sum.text ??= encodeRow(key, { ...noFigures, requests: sum.requests, unansweredTokens: sum.unansweredTokens, ratioSum: sum.ratioSum, ratioCount: sum.ratioCount, report: sum.report }, now)
        if (sum.text !== '') rows.push({ text: sum.text, requests: sum.requests, unansweredTokens: sum.unansweredTokens })
        continue
      }
      const others = {
        ...noFigures,
        requests: sum.requests - subtracted.requests,
        unansweredTokens: sum.unansweredTokens - subtracted.unansweredTokens,
        ratioSum: sum.ratioSum - subtracted.ratioSum,
        ratioCount: sum.ratioCount - subtracted.ratioCount,
        report: subtracted.report !== undefined && sum.report === subtracted.report ? sum.secondReport : sum.report
      }
      const text = encodeRow(key, others, now)
      if (text !== '') rows.push({ text, requests: others.requests, unansweredTokens: others.unansweredTokens })
    }
    return rows
  })
  const texts = fitRows(encoded)
  return services.map(({ name, total }, index) => ({
    name,
    instances: total.instances,
    sentPerSecond: total.sentPerSecond,
    rejectedPerSecond: total.rejectedPerSecond,
    requests: encoded[index]?.reduce((sum, { requests }) => sum + requests, 0) ?? 0,
    unansweredTokens: encoded[index]?.reduce((sum, { unansweredTokens }) => sum + unansweredTokens, 0) ?? 0,
    rows: texts[index] ?? ''
  }))
}
