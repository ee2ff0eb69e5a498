import { RevokeKeyResponseSchema } from '@quinceshunt/schemas'
import { connectAdministration } from '../connection.js'
import { exitCodes } from '../exitCodes.js'
import { writeMessage } from '../io.js'
import { defineOperation } from '../operation.js'
import { connectionArgs } from '../options.js'

export const keyRevoke = defineOperation({
  description: 'Revoke a key permanently, even if a later sheet contains it',
  examples: ['key revoke key-colegio-santa-ines'],
  args: { key: { type: 'positional', required: true, description: 'Key ID, the part before the dot' }, ...connectionArgs },
  run: async (io, args) => {
    const response = await connectAdministration(io, args).revokeKey({ keyId: args.key })
    if (args.json) writeMessage(io, RevokeKeyResponseSchema, response)
    else io.writeOut(`revoked ${args.key}; routers refuse it within 4 s\n`)
    return exitCodes.done
  }
})
