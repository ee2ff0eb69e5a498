import { createHash } from 'node:crypto'
import type { ReportedLoad } from '../ports.js'

/**
 * Text form of the load figures of backend servers' processes, as exchanged between instances.
 *
 * Load: 70 to 390 instances that exchange figures of up to 1,100 processes every second. Rows of integers in base 36, with empty
 * fields for zeros, take about 25 bytes; JSON arrays of numbers take 37. A home reuses the text of a row in many replies.
 */

/** 36 bits: two of 1,100 processes share a key with a probability of 1 in 100,000. */
const KEY_LENGTH = 6
const KEY_PATTERN = /^[\w-]{6}$/
const FIGURE_PATTERN = /^-?[0-9a-z]{1,8}$/
const BASE = 36
const TOKENS_UNIT = 32
/** Ratios are summed as integers, so that sums don't depend on the order of their parts. */
export const RATIO_UNITS = 1000
/** Unit of the sum of logarithms on the wire: 5% of a ratio. */
const RATIO_SUM_UNIT = RATIO_UNITS / 20
const RATIO_COUNT_UNIT = RATIO_UNITS / 10
const AGE_UNIT_MS = 50
const USUAL_WORK_PERCENT = 100
/** Above what any process or fleet can have. */
const MAX_COUNT = 1_000_000
const MAX_TOKEN_UNITS = 100_000_000
/** Natural logarithm of a ratio of 100,000. */
const MAX_LOG_RATIO = 11.5
const MAX_WORK_PERCENT = 100_000
const MAX_UNREADABLE_LENGTH = 100

/** A load report, and when an instance received it. */
export type TimedReport = ReportedLoad & { readonly receivedAt: number }

/** Figures of one process. */
export interface LoadFigures {
  readonly requests: number
  /** Prompt tokens of requests that have no response yet. */
  readonly unansweredTokens: number
  /** Sum of the natural logarithm of observed by expected time to the first byte, and number of responses, in `RATIO_UNITS`. */
  readonly ratioSum: number
  readonly ratioCount: number
  readonly report: TimedReport | undefined
  /** Since the previous message; 0 in sums. */
  readonly sent: number
  readonly answered: number
  readonly rejected: number
}

/** Decoded rows by key of the process. */
export interface DecodedRows {
  readonly rows: ReadonlyMap<string, LoadFigures>
  /** The first row with a figure that is missing or invalid; such a figure counts as 0. */
  readonly unreadable: string | undefined
}

/** Short name of a process or an instance in messages. */
export function loadKeyOf (name: string): string {
  return createHash('sha256').update(name).digest('base64url').slice(0, KEY_LENGTH)
}

function encodeFigure (value: number): string {
  return value === 0 ? '' : value.toString(BASE)
}

/** Encodes the figures of one process; empty when there are none. */
export function encodeRow (key: string, { requests, unansweredTokens, ratioSum, ratioCount, report, sent, answered, rejected }: LoadFigures, now: number): string {
  const count = Math.round(ratioCount / RATIO_COUNT_UNIT)
  const figures = [
    requests,
    Math.ceil(unansweredTokens / TOKENS_UNIT),
    count === 0 ? 0 : Math.round(ratioSum / RATIO_SUM_UNIT),
    count,
    report?.running ?? 0,
    report?.waiting ?? 0,
    report?.slots ?? 0,
    report === undefined ? 0 : report.workPercent - USUAL_WORK_PERCENT,
    // The age is above 0 where there is a report.
    report === undefined ? 0 : Math.max(1, Math.ceil((now - report.receivedAt) / AGE_UNIT_MS)),
    sent,
    answered,
    rejected
  ]
  let length = figures.length
  while (length > 0 && figures[length - 1] === 0) length--
  if (length === 0) return ''
  let row = key
  for (let index = 0; index < length; index++) row += ',' + encodeFigure(figures[index] ?? 0)
  return row
}

/** Returns the figure, 0 for an empty field and undefined for one that is no integer of the range. */
function decodeFigure (text: string | undefined, minimum: number, maximum: number): number | undefined {
  if (text === undefined || text === '') return 0
  if (!FIGURE_PATTERN.test(text)) return undefined
  const value = parseInt(text, BASE)
  return value >= minimum && value <= maximum ? value : undefined
}

function decodeFigures (fields: readonly string[], now: number): { readonly figures: LoadFigures, readonly isReadable: boolean } {
  let isReadable = true
  const read = (index: number, maximum: number, minimum = 0): number => {
    const value = decodeFigure(fields[index], minimum, maximum)
    if (value === undefined) isReadable = false
    return value ?? 0
  }
  const ratioCount = read(4, MAX_COUNT) * RATIO_COUNT_UNIT
  const ratioSum = read(3, MAX_TOKEN_UNITS, -MAX_TOKEN_UNITS) * RATIO_SUM_UNIT
  const age = read(9, MAX_COUNT)
  const report = age === 0
    ? undefined
    : { running: read(5, MAX_COUNT), waiting: read(6, MAX_COUNT), slots: read(7, MAX_COUNT), workPercent: USUAL_WORK_PERCENT + read(8, MAX_WORK_PERCENT, 1 - USUAL_WORK_PERCENT), receivedAt: now - age * AGE_UNIT_MS }
  const figures = {
    requests: read(1, MAX_COUNT),
    unansweredTokens: read(2, MAX_TOKEN_UNITS) * TOKENS_UNIT,
    ratioSum: Math.max(-MAX_LOG_RATIO * ratioCount, Math.min(MAX_LOG_RATIO * ratioCount, ratioSum)),
    ratioCount,
    report,
    sent: read(10, MAX_COUNT),
    answered: read(11, MAX_COUNT),
    rejected: read(12, MAX_COUNT)
  }
  return { figures, isReadable }
}

/** Decodes rows. Fields beyond the known ones are ignored, and so are rows without a valid key. */
export function decodeRows (text: string, now: number): DecodedRows {
  const rows = new Map<string, LoadFigures>()
  let unreadable: string | undefined
  if (text === '') return { rows, unreadable }
  for (const row of text.split(';')) {
    const fields = row.split(',')
    const key = fields[0] ?? ''
    const { figures, isReadable } = decodeFigures(fields, now)
    const hasKey = KEY_PATTERN.test(key)
    if (!isReadable || !hasKey) unreadable ??= row.slice(0, MAX_UNREADABLE_LENGTH)
    if (hasKey) rows.set(key, figures)
  }
  return { rows, unreadable }
}
