import { ListClientAccountsResponseSchema } from '@quinceshunt/schemas'
import { connectAdministration } from '../connection.js'
import { exitCodes } from '../exitCodes.js'
import { writeMessage, writeTable } from '../io.js'
import { defineOperation } from '../operation.js'
import { connectionArgs } from '../options.js'

export const accountList = defineOperation({
  description: 'List client accounts',
  examples: ['account list'],
  args: connectionArgs,
  run: async (io, args) => {
    const response = await connectAdministration(io, args).listClientAccounts({})
    if (args.json) writeMessage(io, ListClientAccountsResponseSchema, response)
    else writeTable(io, ['Client account', 'Weight', 'Models and services'], response.clientAccounts.map((account) => [account.id, Math.max(1, account.weight), account.targets.join(' ')]))
    return exitCodes.done
  }
})
