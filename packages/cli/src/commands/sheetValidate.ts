import { ValidateSheetResponseSchema } from '@quinceshunt/schemas'
import { parseSheet } from '@quinceshunt/sheet'
import { exitCodes } from '../exitCodes.js'
import { writeMessage } from '../io.js'
import { defineOperation } from '../operation.js'
import { readSheetFile, sheetFileArgs, writeProblems } from '../sheetFile.js'

export const sheetValidate = defineOperation({
  description: 'Check a sheet locally; all problems are shown at once',
  examples: ['sheet validate examples/taller.sheet.csv', 'sheet validate examples/taller.sheet.yaml --json'],
  args: sheetFileArgs,
  run: async (io, args) => {
    const file = readSheetFile(args.file)
    const parsed = parseSheet(file.format, new TextDecoder().decode(file.content))
    const problems = parsed.kind === 'valid' ? [] : [...parsed.problems]
    if (args.json) writeMessage(io, ValidateSheetResponseSchema, { problems })
    else if (parsed.kind === 'invalid') writeProblems(io, file.name, problems)
    else io.writeOut(`${file.name}: valid; ${parsed.sheet.clientAccounts.length} client accounts, ${parsed.sheet.budgets.length} budgets, ${parsed.sheet.backendServers.length} backend servers\n`)
    return parsed.kind === 'valid' ? exitCodes.done : exitCodes.invalidSheet
  }
})
