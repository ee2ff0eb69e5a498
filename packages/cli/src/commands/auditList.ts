import { ListAuditResponseSchema } from '@quinceshunt/schemas'
import { connectAdministration } from '../connection.js'
import { exitCodes } from '../exitCodes.js'
import { formatTime, writeMessage, writeTable } from '../io.js'
import { defineOperation } from '../operation.js'
import { connectionArgs, parseWholeNumber } from '../options.js'

export const auditList = defineOperation({
  description: 'List changes that operators made, newest first',
  examples: ['audit list', 'audit list --limit 200'],
  args: { ...connectionArgs, limit: { type: 'string', default: '50', description: 'Records to list, 1 to 1000', valueHint: 'NUMBER' } },
  run: async (io, args) => {
    const response = await connectAdministration(io, args).listAudit({ limit: parseWholeNumber('limit', args.limit, 1, 1000) })
    if (args.json) writeMessage(io, ListAuditResponseSchema, response)
    else writeTable(io, ['At', 'Operator', 'Role', 'Action', 'Subject', 'Detail'], response.records.map((record) => [formatTime(record.at), record.operator, record.role, record.action, record.subject, record.detail]))
    return exitCodes.done
  }
})
