import { createHash } from 'node:crypto'
import type { ReportedLoad } from '../ports.js'

/**
 * Text form of the load figures of backend servers' processes, as exchanged between instances.
 *
 * Load: 70 to 390 instances that exchange figures of up to 1,100 processes every second. Rows of integers in base 36, with empty
 * fields for zeros, are shorter than JSON arrays of numbers, and a home reuses the text of a row in many replies. A row is the key
 * of the process and its figures, separated by commas; rows are separated by semicolons.
 */

/** 36 bits: two of 1,100 processes share a key with a probability of 1 in 100,000. */
const KEY_LENGTH = 6
const KEY_PATTERN = /^[\w-]{6}$/
const BASE = 36
/** Digits of a figure; more are no figure. */
const MAX_DIGITS = 8
const TOKENS_UNIT = 32
/** Ratios are summed as integers, so that sums don't depend on the order of their parts. */
export const RATIO_UNITS = 1000
/** Unit of the sum of logarithms on the wire: 10% of a ratio. */
const RATIO_SUM_UNIT = RATIO_UNITS / 10
const RATIO_COUNT_UNIT = RATIO_UNITS / 2
const AGE_UNIT_MS = 100
const USUAL_WORK_PERCENT = 100
/** Above what any process or fleet can have. */
const MAX_COUNT = 1_000_000
const MAX_UNITS = 100_000_000
/** Natural logarithm of a ratio of 100,000. */
const MAX_LOG_RATIO = 11.5
const MAX_WORK_PERCENT = 100_000
const MAX_UNREADABLE_LENGTH = 100

/** Position of each figure in a row. */
const FIELD = { requests: 0, tokens: 1, ratioSum: 2, ratioCount: 3, running: 4, waiting: 5, slots: 6, work: 7, age: 8, sent: 9, answered: 10, rejected: 11 } as const
const FIELDS = 12
const MINIMUM = [0, 0, -MAX_UNITS, 0, 0, 0, 0, 1 - USUAL_WORK_PERCENT, 0, 0, 0, 0]
const MAXIMUM = [MAX_COUNT, MAX_UNITS, MAX_UNITS, MAX_COUNT, MAX_COUNT, MAX_COUNT, MAX_COUNT, MAX_WORK_PERCENT, MAX_COUNT, MAX_COUNT, MAX_COUNT, MAX_COUNT]
/** Texts of small figures, as most are: conversions of numbers were half of the time of a reply. */
const SMALL_FIGURES = Array.from({ length: BASE * BASE }, (_, value) => value === 0 ? '' : value.toString(BASE))
const CODE = { comma: 44, minus: 45, zero: 48, nine: 57, a: 97, z: 122 } as const

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

/** Keeps the keys of processes, which are used every second. */
export interface LoadKeys {
  of (name: string): string
  /** Forgets all keys but those of the given names. */
  keep (names: ReadonlyMap<string, unknown>): void
}

/** Creates an empty store of keys. */
export function createLoadKeys (): LoadKeys {
  const keys = new Map<string, string>()
  return {
    of: (name) => {
      const known = keys.get(name)
      if (known !== undefined) return known
      const key = loadKeyOf(name)
      keys.set(name, key)
      return key
    },
    keep: (names) => {
      if (keys.size > 2 * names.size) for (const name of keys.keys()) if (!names.has(name)) keys.delete(name)
    }
  }
}

function encodeFigure (value: number): string {
  return SMALL_FIGURES[value] ?? value.toString(BASE)
}

/** Encodes the figures of one process; empty when there are none. */
export function encodeRow (key: string, { requests, unansweredTokens, ratioSum, ratioCount, report, sent, answered, rejected }: LoadFigures, now: number): string {
  const count = Math.round(ratioCount / RATIO_COUNT_UNIT)
  // Empty fields at the end are left out; the commas before a field are those of the fields that were skipped.
  let row = requests === 0 ? '' : encodeFigure(requests)
  let commas = ','
  const add = (value: number): void => {
    if (value === 0) {
      commas += ','
      return
    }
    row += commas + encodeFigure(value)
    commas = ','
  }
  add(Math.ceil(unansweredTokens / TOKENS_UNIT))
  // The count is rounded; the sum of so many keeps their mean.
  add(count === 0 ? 0 : Math.round(ratioSum / ratioCount * count * RATIO_COUNT_UNIT / RATIO_SUM_UNIT))
  add(count)
  add(report?.running ?? 0)
  add(report?.waiting ?? 0)
  add(report?.slots ?? 0)
  add(report === undefined ? 0 : report.workPercent - USUAL_WORK_PERCENT)
  // The age is above 0 where there is a report.
  add(report === undefined ? 0 : Math.max(1, Math.ceil((now - report.receivedAt) / AGE_UNIT_MS)))
  add(sent)
  add(answered)
  add(rejected)
  return row === '' ? '' : key + row
}

/** Figures of the row that is decoded; reused, as a reply has up to 1,100 rows. */
const decoded = new Float64Array(FIELDS)

function digitOf (code: number): number {
  if (code >= CODE.zero && code <= CODE.nine) return code - CODE.zero
  return code >= CODE.a && code <= CODE.z ? code - CODE.a + 10 : -1
}

/** Reads the figures of a row into `decoded`; returns false when one of them is no integer of its range. */
function readFigures (text: string, start: number, end: number): boolean {
  let isReadable = true
  decoded.fill(0)
  let position = start
  for (let field = 0; field < FIELDS && position <= end; field++) {
    const isNegative = text.charCodeAt(position) === CODE.minus && position < end
    if (isNegative) position++
    let value = 0
    let digits = 0
    for (; position < end; position++) {
      const code = text.charCodeAt(position)
      if (code === CODE.comma) break
      const digit = digitOf(code)
      digits = digit === -1 ? Infinity : digits + 1
      value = value * BASE + digit
    }
    position++
    const figure = isNegative ? -value : value
    if (digits > MAX_DIGITS || (isNegative && digits === 0) || figure < (MINIMUM[field] ?? 0) || figure > (MAXIMUM[field] ?? 0)) isReadable = false
    else decoded[field] = figure
  }
  return isReadable
}

function figureAt (field: number): number {
  return decoded[field] ?? 0
}

function toFigures (now: number): LoadFigures {
  const ratioCount = figureAt(FIELD.ratioCount) * RATIO_COUNT_UNIT
  const age = figureAt(FIELD.age)
  return {
    requests: figureAt(FIELD.requests),
    unansweredTokens: figureAt(FIELD.tokens) * TOKENS_UNIT,
    ratioSum: Math.max(-MAX_LOG_RATIO * ratioCount, Math.min(MAX_LOG_RATIO * ratioCount, figureAt(FIELD.ratioSum) * RATIO_SUM_UNIT)),
    ratioCount,
    report: age === 0
      ? undefined
      : { running: figureAt(FIELD.running), waiting: figureAt(FIELD.waiting), slots: figureAt(FIELD.slots), workPercent: USUAL_WORK_PERCENT + figureAt(FIELD.work), receivedAt: now - age * AGE_UNIT_MS },
    sent: figureAt(FIELD.sent),
    answered: figureAt(FIELD.answered),
    rejected: figureAt(FIELD.rejected)
  }
}

/** Decodes rows. Fields beyond the known ones are ignored, and so are rows without a valid key. */
export function decodeRows (text: string, now: number): DecodedRows {
  const rows = new Map<string, LoadFigures>()
  let unreadable: string | undefined
  for (let start = 0; start < text.length;) {
    const separator = text.indexOf(';', start)
    const end = separator === -1 ? text.length : separator
    const key = text.slice(start, Math.min(end, start + KEY_LENGTH))
    const hasKey = KEY_PATTERN.test(key)
    const isReadable = hasKey && readFigures(text, start + KEY_LENGTH, end)
    if (!isReadable) unreadable ??= text.slice(start, Math.min(end, start + MAX_UNREADABLE_LENGTH))
    if (hasKey) rows.set(key, toFigures(now))
    start = end + 1
  }
  return { rows, unreadable }
}
