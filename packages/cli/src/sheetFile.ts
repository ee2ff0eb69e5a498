import type { SheetProblem } from '@quinceshunt/schemas'
import { SheetFormat } from '@quinceshunt/schemas'
import { formatOfFile, type SheetFileFormat } from '@quinceshunt/sheet'
import { readFileSync } from 'node:fs'
import { CommandError, exitCodes } from './exitCodes.js'
import { writeTable, type CommandIo } from './io.js'

/** Arguments of commands that read a sheet file. */
export const sheetFileArgs = {
  file: { type: 'positional', required: true, description: 'Sheet, a file that ends in .csv, .yaml or .yml' }
} as const

/** Unparsed sheet file. */
export interface SheetFile {
  readonly name: string
  readonly format: SheetFileFormat
  readonly content: Uint8Array
}

/** Reads a sheet file; throws a usage error when its extension is unknown or it can't be read. */
export function readSheetFile (name: string): SheetFile {
  const format = formatOfFile(name)
  if (format === undefined) throw new CommandError(exitCodes.usage, `"${name}" is not allowed; name a file that ends in .csv, .yaml or .yml`)
  try {
    return { name, format, content: readFileSync(name) }
  } catch {
    throw new CommandError(exitCodes.usage, `"${name}" can't be read; name a readable file`)
  }
}

export function toSheetFormat (file: SheetFile): SheetFormat {
  return file.format === 'csv' ? SheetFormat.CSV : SheetFormat.YAML
}

/** Writes a table of the sheet's problems, and their number to standard error. */
export function writeProblems (io: CommandIo, name: string, problems: readonly Pick<SheetProblem, 'place' | 'value' | 'message' | 'fix'>[]): void {
  writeTable(io, ['Place', 'Value', 'Problem', 'What to do'], problems.map(({ place, value, message, fix }) => [place, value, message, fix]))
  io.writeError(`${name}: ${problems.length} ${problems.length === 1 ? 'problem' : 'problems'}; nothing was changed\n`)
}
