import { create } from '@bufbuild/protobuf'
import { SheetSchema, ShowSheetResponseSchema } from '@quinceshunt/schemas'
import { formatSheet } from '@quinceshunt/sheet'
import { connectAdministration } from '../connection.js'
import { exitCodes } from '../exitCodes.js'
import { formatTime, writeMessage } from '../io.js'
import { defineOperation } from '../operation.js'
import { connectionArgs, parseWholeNumber } from '../options.js'

export const sheetShow = defineOperation({
  description: 'Write the sheet of a revision',
  examples: ['sheet show', 'sheet show --revision 7 --format csv'],
  args: {
    ...connectionArgs,
    revision: { type: 'string', default: '0', description: '0 for the one in force', valueHint: 'NUMBER' },
    format: { type: 'enum', options: ['csv', 'yaml'], default: 'yaml', description: 'Format of the sheet' }
  },
  run: async (io, args) => {
    const revision = BigInt(parseWholeNumber('revision', args.revision, 0, Number.MAX_SAFE_INTEGER))
    const response = await connectAdministration(io, args).showSheet({ revision })
    if (args.json) writeMessage(io, ShowSheetResponseSchema, response)
    else {
      if (response.head !== undefined) io.writeError(`revision ${response.head.revision}, applied by ${response.head.operator} at ${formatTime(response.head.acceptedAt)}\n`)
      io.writeOut(formatSheet(args.format === 'csv' ? 'csv' : 'yaml', response.sheet ?? create(SheetSchema)))
    }
    return exitCodes.done
  }
})
