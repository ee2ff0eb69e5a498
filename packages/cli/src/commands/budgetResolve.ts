import { ResolveBudgetResponseSchema, ResolveKind } from '@quinceshunt/schemas'
import { connectAdministration, type AdministrationClient } from '../connection.js'
import { CommandError, exitCodes } from '../exitCodes.js'
import { writeMessage } from '../io.js'
import { defineOperation } from '../operation.js'
import { requireExactlyOne, connectionArgs, parseWholeNumber } from '../options.js'

export const budgetResolve = defineOperation({
  description: 'Decide whether tokens withheld under an expired lease were spent',
  examples: [
    'budget resolve colegio-santa-ines-2026 --incarnation router-3.4f0c --charge --reason "engine log shows the requests ran"',
    'budget resolve colegio-santa-ines-2026 --incarnation router-3.4f0c --release --tokens 1200 --reason "no request reached a backend server"'
  ],
  args: {
    budget: { type: 'positional', required: true, description: 'Budget ID' },
    incarnation: { type: 'string', required: true, description: 'Instance that holds the lease, as listed by "budget show"' },
    charge: { type: 'boolean', default: false, description: 'Count the tokens as spent' },
    release: { type: 'boolean', default: false, description: 'Count the tokens as not spent; use only with evidence' },
    tokens: { type: 'string', description: 'Tokens to resolve; default: all that are outstanding', valueHint: 'NUMBER' },
    reason: { type: 'string', required: true, description: 'Evidence for the decision; recorded in the audit log' },
    ...connectionArgs
  },
  run: async (io, args) => {
    const kind = requireExactlyOne('charge', args.charge, 'release', args.release) ? ResolveKind.CHARGE : ResolveKind.RELEASE
    const client = connectAdministration(io, args)
    const { budget: budgetId, incarnation, reason } = args
    const tokens = args.tokens === undefined ? await fetchOutstandingTokens(client, budgetId, incarnation) : BigInt(parseWholeNumber('tokens', args.tokens, 1, Number.MAX_SAFE_INTEGER))
    const response = await client.resolveBudget({ budgetId, incarnation, kind, tokens, reason })
    if (args.json) writeMessage(io, ResolveBudgetResponseSchema, response)
    else io.writeOut(`${args.charge ? 'charged' : 'released'} ${tokens} tokens; committed ${response.budget?.committedTokens ?? 0n} of ${response.budget?.prepaidTokens ?? 0n} prepaid tokens\n`)
    return exitCodes.done
  }
})

async function fetchOutstandingTokens (client: AdministrationClient, budgetId: string, incarnation: string): Promise<bigint> {
  const { leases } = await client.showBudget({ budgetId })
  const tokens = leases.find(({ lease }) => lease?.incarnation === incarnation)?.outstandingTokens ?? 0n
  if (tokens > 0n) return tokens
  throw new CommandError(exitCodes.failed, `no tokens are outstanding under ${incarnation}; see "budget show ${budgetId}"`)
}
