import { DrainBackendServerResponseSchema } from '@quinceshunt/schemas'
import { connectAdministration } from '../connection.js'
import { exitCodes } from '../exitCodes.js'
import { writeMessage } from '../io.js'
import { defineOperation } from '../operation.js'
import { connectionArgs } from '../options.js'

export const backendDrain = defineOperation({
  description: 'Stop sending new requests to a backend server; requests in progress are completed',
  examples: ['backend drain painter-2', 'backend drain painter-2 --undo'],
  args: {
    backend: { type: 'positional', required: true, description: 'Backend server ID' },
    undo: { type: 'boolean', default: false, description: 'Send it new requests again' },
    ...connectionArgs
  },
  run: async (io, args) => {
    const response = await connectAdministration(io, args).drainBackendServer({ backendServer: args.backend, cancel: args.undo })
    if (args.json) writeMessage(io, DrainBackendServerResponseSchema, response)
    else io.writeOut(args.undo ? `${args.backend} gets work again\n` : `${args.backend} gets no new work within 3 s; requests in progress are completed\n`)
    return exitCodes.done
  }
})
