import { CsvError } from 'csv-parse'
import { parse } from 'csv-parse/sync'
import type { RawRecord, ReadResult, ValidationProblem } from './rawRecord.js'
import { cellType, fieldNames, RECORD_KINDS, snakeCase, type RecordKind } from './recordShapes.js'

const RECORD_COLUMN = 'record'
const KINDS_BY_CSV_NAME = new Map(RECORD_KINDS.map((kind) => [snakeCase(kind), kind]))

/** All columns of a sheet, in the order in which `formatSheet` writes them. */
export const CSV_COLUMNS: readonly string[] = [RECORD_COLUMN, ...new Set(RECORD_KINDS.flatMap((kind) => fieldNames(kind).map(snakeCase)))]

/** Reads a CSV sheet, a single flat table. The delimiter, comma or semicolon, is taken from the header row. */
export function readCsv (content: string): ReadResult {
  let rows: string[][]
  try {
    rows = parse(content, { bom: true, delimiter: delimiterOf(content), relax_column_count: true, trim: true })
  } catch (error) {
    if (!(error instanceof CsvError)) throw error
    return { records: [], problems: [{ place: `row ${Number(error['lines'])}`, value: 'nothing', message: `the file is not valid CSV: ${error.message}`, fix: 'close the quotes; export the sheet again' }] }
  }
  const header = rows[0] ?? []
  const problems = checkHeader(header)
  if (!header.includes(RECORD_COLUMN)) return { records: [], problems }
  const records: RawRecord[] = []
  rows.slice(1).forEach((cells, index) => {
    // Numbered as in a spreadsheet program: row 1 is the header.
    const result = readRow(header, cells, index + 2)
    if (result.record !== undefined) records.push(result.record)
    problems.push(...result.problems)
  })
  return { records, problems }
}

/** Spreadsheet programs with a Spanish locale export semicolons as delimiters. */
function delimiterOf (content: string): string {
  const header = content.split('\n', 1)[0] ?? ''
  return header.includes(';') && !header.includes(',') ? ';' : ','
}

function checkHeader (header: readonly string[]): ValidationProblem[] {
  const problems: ValidationProblem[] = []
  const known = CSV_COLUMNS.join(', ')
  if (!header.includes(RECORD_COLUMN)) {
    problems.push({ place: 'row 1', value: header.join(',') || 'nothing', message: 'there is no column "record"', fix: `name the columns in the first row: ${known}` })
  }
  header.forEach((name, index) => {
    const place = `row 1, column ${index + 1}`
    if (!CSV_COLUMNS.includes(name)) problems.push({ place, value: name || 'nothing', message: 'the column is not known', fix: `use one of ${known}` })
    else if (header.indexOf(name) !== index) problems.push({ place, value: name, message: 'the column appears twice', fix: 'remove one of the two columns' })
  })
  return problems
}

function readRow (header: readonly string[], cells: readonly string[], rowNumber: number): { readonly record?: RawRecord, readonly problems: readonly ValidationProblem[] } {
  if (cells.every((cell) => cell === '')) return { problems: [] }
  const placeOf = (field: string): string => `row ${rowNumber}, column ${snakeCase(field)}`
  const kindName = cells[header.indexOf(RECORD_COLUMN)] ?? ''
  const kind = KINDS_BY_CSV_NAME.get(kindName)
  if (kind === undefined) {
    return { problems: [{ place: placeOf(RECORD_COLUMN), value: kindName || 'nothing', message: 'the kind of record is not known', fix: `use one of ${[...KINDS_BY_CSV_NAME.keys()].join(', ')}` }] }
  }
  const problems: ValidationProblem[] = []
  const fields: Record<string, unknown> = {}
  const fieldsByColumn = new Map(fieldNames(kind).map((field) => [snakeCase(field), field]))
  cells.forEach((cell, index) => {
    const column = header[index]
    if (cell === '' || column === RECORD_COLUMN) return
    if (column === undefined) {
      problems.push({ place: `row ${rowNumber}, column ${index + 1}`, value: cell, message: 'the row has more cells than the header row', fix: 'remove the cell, or quote a cell that contains the separator' })
      return
    }
    const field = fieldsByColumn.get(column)
    if (field !== undefined) fields[field] = readCell(kind, field, cell)
    else if (CSV_COLUMNS.includes(column)) problems.push({ place: `row ${rowNumber}, column ${column}`, value: cell, message: `a ${kindName} has no ${column}`, fix: 'leave the cell empty' })
  })
  return { record: { kind, fields, placeOf }, problems }
}

function readCell (kind: RecordKind, field: string, cell: string): unknown {
  switch (cellType(kind, field)) {
    case 'number': return /^-?\d+(?:\.\d+)?$/.test(cell) ? Number(cell) : cell
    case 'flag': return cell === 'true' ? true : cell === 'false' ? false : cell
    case 'list': return cell.split(/\s+/)
    case 'text': return cell
  }
}
