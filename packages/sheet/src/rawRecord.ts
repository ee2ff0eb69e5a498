import type { RecordKind } from './recordShapes.js'

/** A problem found while validating a sheet. */
export interface ValidationProblem {
  /** `row 7, column tokens` in CSV, `budgets[2].clientAccount` in YAML. */
  readonly place: string
  /** The value in the file; `nothing` when it is missing. */
  readonly value: string
  readonly message: string
  /** How the operator can correct it. */
  readonly fix: string
}

/** A record as read from the file, before validation. */
export interface RawRecord {
  readonly kind: RecordKind
  readonly fields: Readonly<Record<string, unknown>>
  /** Location of a field in the file, as in `ValidationProblem.place`. */
  readonly placeOf: (field: string) => string
}

/** Records of a file, and the problems that kept parts of it from being read. */
export interface ReadResult {
  readonly records: readonly RawRecord[]
  readonly problems: readonly ValidationProblem[]
}

const MAX_QUOTED_CHARACTERS = 80

/** Formats a value for a problem report; long values are truncated. */
export function quoteValue (value: unknown): string {
  if (value === undefined || value === null || value === '') return 'nothing'
  const text = typeof value === 'string' ? value : JSON.stringify(value)
  return text.length > MAX_QUOTED_CHARACTERS ? `${text.slice(0, MAX_QUOTED_CHARACTERS)}…` : text
}

/** Value of a field if it is a non-empty string. */
export function stringField (record: RawRecord, field: string): string | undefined {
  const value = record.fields[field]
  return typeof value === 'string' && value !== '' ? value : undefined
}

/** Strings in a list field; `checkShapes` reports items of other types. */
export function stringListField (record: RawRecord, field: string): readonly string[] {
  const value = record.fields[field]
  return Array.isArray(value) ? value.filter((item) => typeof item === 'string') : []
}
