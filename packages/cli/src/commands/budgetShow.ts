import { ShowBudgetResponseSchema } from '@quinceshunt/schemas'
import { connectAdministration } from '../connection.js'
import { exitCodes } from '../exitCodes.js'
import { formatAge, writeMessage, writeTable } from '../io.js'
import { defineOperation } from '../operation.js'
import { connectionArgs } from '../options.js'

export const budgetShow = defineOperation({
  description: 'Show the tokens of a budget and the leases that instances hold',
  examples: ['budget show colegio-santa-ines-2026', 'budget show colegio-santa-ines-2026 --json'],
  args: { budget: { type: 'positional', required: true, description: 'Budget ID' }, ...connectionArgs },
  run: async (io, args) => {
    const response = await connectAdministration(io, args).showBudget({ budgetId: args.budget })
    if (args.json) {
      writeMessage(io, ShowBudgetResponseSchema, response)
      return exitCodes.done
    }
    const { budget, remainingTokens, withheldTokens, leases } = response
    writeTable(io, ['Budget', 'Prepaid', 'Committed', 'Remaining', 'Withheld'], [[args.budget, budget?.prepaidTokens ?? 0n, budget?.committedTokens ?? 0n, remainingTokens, withheldTokens]])
    if (leases.length > 0) {
      writeTable(io, ['Instance', 'Settled', 'Outstanding', 'Withheld', 'Last renewed'], leases.map(({ lease, outstandingTokens, withheld, ageMilliseconds }) =>
        [lease?.incarnation ?? '', lease?.settledTokens ?? 0n, outstandingTokens, withheld ? 'yes' : 'no', `${formatAge(ageMilliseconds)} ago`]))
    }
    return exitCodes.done
  }
})
