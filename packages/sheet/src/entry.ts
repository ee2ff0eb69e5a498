import type { RecordKind } from './recordShapes.js'

/** One thing wrong with a sheet. */
export interface SheetFault {
  /** `row 7, column tokens` in CSV, `budgets[2].clientAccount` in YAML. */
  readonly place: string
  /** The value as found; `nothing` when it is missing. */
  readonly value: string
  readonly message: string
  /** What to do about it. */
  readonly fix: string
}

/** One record as read, before its shape is checked. */
export interface Entry {
  readonly kind: RecordKind
  readonly fields: Readonly<Record<string, unknown>>
  /** Where a field stands in the file. */
  readonly placeOf: (field: string) => string
}

/** Result of reading a file into records. */
export interface ReadResult {
  readonly entries: readonly Entry[]
  readonly faults: readonly SheetFault[]
}

/** Longest value quoted in a fault, characters. */
const LONGEST_QUOTE = 80

/** A value as quoted in a fault. */
export function quoteValue (value: unknown): string {
  if (value === undefined || value === null || value === '') return 'nothing'
  const text = typeof value === 'string' ? value : JSON.stringify(value)
  return text.length > LONGEST_QUOTE ? `${text.slice(0, LONGEST_QUOTE)}…` : text
}

/** Text of a field, or undefined when it is not a text. */
export function textOf (entry: Entry, field: string): string | undefined {
  const value = entry.fields[field]
  return typeof value === 'string' && value !== '' ? value : undefined
}

/** Texts of a list field; other items are left to the check of its shape. */
export function textsOf (entry: Entry, field: string): readonly string[] {
  const value = entry.fields[field]
  return Array.isArray(value) ? value.filter((item) => typeof item === 'string') : []
}
