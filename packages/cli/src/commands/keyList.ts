import { ListKeysResponseSchema } from '@quinceshunt/schemas'
import { connectAdministration } from '../connection.js'
import { exitCodes } from '../exitCodes.js'
import { writeMessage, writeTable } from '../io.js'
import { defineOperation } from '../operation.js'
import { connectionArgs } from '../options.js'

export const keyList = defineOperation({
  description: 'List the IDs of keys from the sheet and of issued keys',
  examples: ['key list', 'key list --account colegio-santa-ines'],
  args: { account: { type: 'string', default: '', description: 'Only keys of this client account' }, ...connectionArgs },
  run: async (io, args) => {
    const response = await connectAdministration(io, args).listKeys({ clientAccount: args.account })
    if (args.json) writeMessage(io, ListKeysResponseSchema, response)
    else writeTable(io, ['Key', 'Client account', 'Budget', 'State'], response.keys.map((key) => [key.keyId, key.clientAccount, key.budgetId, key.revoked ? 'revoked' : 'valid']))
    return exitCodes.done
  }
})
