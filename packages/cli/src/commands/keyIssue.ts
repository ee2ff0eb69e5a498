import { IssueKeyResponseSchema } from '@quinceshunt/schemas'
import { connectAdministration } from '../connection.js'
import { exitCodes } from '../exitCodes.js'
import { writeMessage } from '../io.js'
import { defineOperation } from '../operation.js'
import { connectionArgs } from '../options.js'

export const keyIssue = defineOperation({
  description: 'Issue a key for a client account; it is shown once and survives the next sheet',
  examples: ['key issue --account colegio-santa-ines --budget colegio-santa-ines-2026'],
  args: {
    account: { type: 'string', required: true, description: 'Client account ID' },
    budget: { type: 'string', required: true, description: 'Budget that the key draws on' },
    ...connectionArgs
  },
  run: async (io, args) => {
    const response = await connectAdministration(io, args).issueKey({ clientAccount: args.account, budgetId: args.budget })
    if (args.json) writeMessage(io, IssueKeyResponseSchema, response)
    else {
      io.writeError('the key is shown only once; send it over a secure channel\n')
      io.writeOut(`${response.key}\n`)
    }
    return exitCodes.done
  }
})
