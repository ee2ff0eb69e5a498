import { ListSheetHistoryResponseSchema } from '@quinceshunt/schemas'
import { connectAdministration } from '../connection.js'
import { exitCodes } from '../exitCodes.js'
import { formatTime, writeMessage, writeTable } from '../io.js'
import { defineOperation } from '../operation.js'
import { connectionArgs, parseWholeNumber } from '../options.js'

export const sheetHistory = defineOperation({
  description: 'List revisions, newest first',
  examples: ['sheet history', 'sheet history --limit 100'],
  args: { ...connectionArgs, limit: { type: 'string', default: '20', description: 'Revisions to list, 1 to 1000', valueHint: 'NUMBER' } },
  run: async (io, args) => {
    const response = await connectAdministration(io, args).listSheetHistory({ limit: parseWholeNumber('limit', args.limit, 1, 1000) })
    if (args.json) writeMessage(io, ListSheetHistoryResponseSchema, response)
    else writeTable(io, ['Revision', 'Accepted at', 'Operator', 'SHA-256'], response.heads.map((head) => [head.revision, formatTime(head.acceptedAt), head.operator, head.sha256.slice(0, 12)]))
    return exitCodes.done
  }
})
