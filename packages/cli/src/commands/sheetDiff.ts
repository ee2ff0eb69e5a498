import { DiffSheetResponseSchema } from '@quinceshunt/schemas'
import { connectAdministration } from '../connection.js'
import { exitCodes } from '../exitCodes.js'
import { writeMessage, writeTable } from '../io.js'
import { defineOperation } from '../operation.js'
import { connectionArgs } from '../options.js'
import { toSheetFormat, readSheetFile, sheetFileArgs, writeProblems } from '../sheetFile.js'

export const sheetDiff = defineOperation({
  description: 'Compare a sheet with the one in force',
  examples: ['sheet diff examples/taller.sheet.csv'],
  args: { ...sheetFileArgs, ...connectionArgs },
  run: async (io, args) => {
    const file = readSheetFile(args.file)
    const response = await connectAdministration(io, args).diffSheet({ format: toSheetFormat(file), content: file.content })
    const { changes, problems, baseRevision } = response
    if (args.json) writeMessage(io, DiffSheetResponseSchema, response)
    else if (problems.length > 0) writeProblems(io, file.name, problems)
    else if (changes.length === 0) io.writeOut(`${file.name}: no difference from revision ${baseRevision}\n`)
    else writeTable(io, ['Path', `In force (revision ${baseRevision})`, file.name], changes.map(({ path, before, after }) => [path, before, after]))
    return problems.length === 0 ? exitCodes.done : exitCodes.invalidSheet
  }
})
