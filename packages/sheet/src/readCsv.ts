import { CsvError } from 'csv-parse'
import { parse } from 'csv-parse/sync'
import type { Entry, ReadResult, SheetFault } from './entry.js'
import { cellType, fieldNames, RECORD_KINDS, snakeCase, type RecordKind } from './recordShapes.js'

const RECORD_COLUMN = 'record'
const KINDS_BY_NAME = new Map(RECORD_KINDS.map((kind) => [snakeCase(kind), kind]))

/** All columns that a sheet may have, in the order in which sheets are written. */
export const CSV_COLUMNS: readonly string[] = [RECORD_COLUMN, ...new Set(RECORD_KINDS.flatMap((kind) => fieldNames(kind).map(snakeCase)))]

/** Reads the one flat table of a CSV sheet; cells are separated by commas or semicolons, as the header row shows. */
export function readCsv (content: string): ReadResult {
  let rows: string[][]
  try {
    rows = parse(content, { bom: true, delimiter: delimiterOf(content), relax_column_count: true, trim: true })
  } catch (error) {
    if (!(error instanceof CsvError)) throw error
    return { entries: [], faults: [{ place: `row ${Number(error['lines'])}`, value: 'nothing', message: `the file is not valid CSV: ${error.message}`, fix: 'close the quotes; export the sheet again' }] }
  }
  const header = rows[0] ?? []
  const faults = checkHeader(header)
  if (!header.includes(RECORD_COLUMN)) return { entries: [], faults }
  const entries: Entry[] = []
  rows.slice(1).forEach((cells, index) => {
    // Row 1 is the header, as a spreadsheet numbers it.
    const result = readRow(header, cells, index + 2)
    if (result.entry !== undefined) entries.push(result.entry)
    faults.push(...result.faults)
  })
  return { entries, faults }
}

/** Spreadsheets set to Spanish export semicolons. */
function delimiterOf (content: string): string {
  const header = content.split('\n', 1)[0] ?? ''
  return header.includes(';') && !header.includes(',') ? ';' : ','
}

function checkHeader (header: readonly string[]): SheetFault[] {
  const faults: SheetFault[] = []
  const known = CSV_COLUMNS.join(', ')
  if (!header.includes(RECORD_COLUMN)) {
    faults.push({ place: 'row 1', value: header.join(',') || 'nothing', message: 'there is no column "record"', fix: `name the columns in the first row: ${known}` })
  }
  header.forEach((name, index) => {
    const place = `row 1, column ${index + 1}`
    if (!CSV_COLUMNS.includes(name)) faults.push({ place, value: name || 'nothing', message: 'the column is not known', fix: `use one of ${known}` })
    else if (header.indexOf(name) !== index) faults.push({ place, value: name, message: 'the column appears twice', fix: 'remove one of the two columns' })
  })
  return faults
}

function readRow (header: readonly string[], cells: readonly string[], row: number): { readonly entry?: Entry, readonly faults: readonly SheetFault[] } {
  if (cells.every((cell) => cell === '')) return { faults: [] }
  const placeOf = (field: string): string => `row ${row}, column ${snakeCase(field)}`
  const name = cells[header.indexOf(RECORD_COLUMN)] ?? ''
  const kind = KINDS_BY_NAME.get(name)
  if (kind === undefined) {
    return { faults: [{ place: placeOf(RECORD_COLUMN), value: name || 'nothing', message: 'the kind of record is not known', fix: `use one of ${[...KINDS_BY_NAME.keys()].join(', ')}` }] }
  }
  const faults: SheetFault[] = []
  const fields: Record<string, unknown> = {}
  const fieldsByColumn = new Map(fieldNames(kind).map((field) => [snakeCase(field), field]))
  cells.forEach((cell, index) => {
    const column = header[index]
    if (cell === '' || column === RECORD_COLUMN) return
    if (column === undefined) {
      faults.push({ place: `row ${row}, column ${index + 1}`, value: cell, message: 'the row has more cells than the header row', fix: 'remove the cell, or quote a cell that contains the separator' })
      return
    }
    const field = fieldsByColumn.get(column)
    if (field !== undefined) fields[field] = readCell(kind, field, cell)
    else if (CSV_COLUMNS.includes(column)) faults.push({ place: `row ${row}, column ${column}`, value: cell, message: `a ${name} has no ${column}`, fix: 'leave the cell empty' })
  })
  return { entry: { kind, fields, placeOf }, faults }
}

function readCell (kind: RecordKind, field: string, cell: string): unknown {
  switch (cellType(kind, field)) {
    case 'number': return /^-?\d+(?:\.\d+)?$/.test(cell) ? Number(cell) : cell
    case 'flag': return cell === 'true' ? true : cell === 'false' ? false : cell
    case 'list': return cell.split(/\s+/)
    case 'text': return cell
  }
}
