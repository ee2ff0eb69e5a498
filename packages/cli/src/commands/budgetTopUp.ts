import { TopUpBudgetResponseSchema } from '@quinceshunt/schemas'
import { MAX_TOP_UP_TOKENS } from '@quinceshunt/sheet'
import { connectAdministration } from '../connection.js'
import { exitCodes } from '../exitCodes.js'
import { writeMessage } from '../io.js'
import { defineOperation } from '../operation.js'
import { connectionArgs, parseWholeNumber } from '../options.js'

export const budgetTopUp = defineOperation({
  description: 'Add prepaid tokens to a budget, once for each top-up ID',
  examples: ['budget top-up colegio-santa-ines-2026 --id receipt-4711 --tokens 250000'],
  args: {
    budget: { type: 'positional', required: true, description: 'Budget ID' },
    id: { type: 'string', required: true, description: 'Top-up ID, for example the receipt number; repeating it adds nothing' },
    tokens: { type: 'string', required: true, description: 'Tokens to add', valueHint: 'NUMBER' },
    ...connectionArgs
  },
  run: async (io, args) => {
    const tokens = BigInt(parseWholeNumber('tokens', args.tokens, 1, MAX_TOP_UP_TOKENS))
    const response = await connectAdministration(io, args).topUpBudget({ budgetId: args.budget, topUpId: args.id, tokens })
    if (args.json) writeMessage(io, TopUpBudgetResponseSchema, response)
    else io.writeOut(`${response.added ? `added ${tokens} tokens` : `top-up ${args.id} was already applied; nothing was added`}; prepaid ${response.budget?.prepaidTokens ?? 0n} tokens\n`)
    return exitCodes.done
  }
})
