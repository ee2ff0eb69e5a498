import { ResolveClaimResponseSchema } from '@quinceshunt/schemas'
import { connectAdministration } from '../connection.js'
import { exitCodes } from '../exitCodes.js'
import { writeMessage } from '../io.js'
import { defineOperation } from '../operation.js'
import { requireExactlyOne, connectionArgs } from '../options.js'

export const claimResolve = defineOperation({
  description: 'Decide whether a non-idempotent request of unknown outcome ran',
  examples: [
    'claim resolve --account colegio-santa-ines --key deposit-4711 --ran --reason "deposit 4711 is in the ledger"',
    'claim resolve --account colegio-santa-ines --key deposit-4711 --not-run --reason "no deposit 4711 in the ledger"'
  ],
  args: {
    account: { type: 'string', required: true, description: 'Client account ID' },
    key: { type: 'string', required: true, description: 'Idempotency-Key that the caller sent' },
    ran: { type: 'boolean', default: false, description: 'It ran: the caller is told so and it is never run again' },
    'not-run': { type: 'boolean', default: false, description: 'It did not run: the caller may send it again; use only with evidence' },
    reason: { type: 'string', required: true, description: 'Evidence for the decision; recorded in the audit log' },
    ...connectionArgs
  },
  run: async (io, args) => {
    const ran = requireExactlyOne('ran', args.ran, 'not-run', args['not-run'])
    const response = await connectAdministration(io, args).resolveClaim({ clientAccount: args.account, idempotencyKey: args.key, ran, reason: args.reason })
    if (args.json) writeMessage(io, ResolveClaimResponseSchema, response)
    else io.writeOut(ran ? 'resolved as run; it is not run again\n' : 'resolved as not run; the caller may send it again\n')
    return exitCodes.done
  }
})
