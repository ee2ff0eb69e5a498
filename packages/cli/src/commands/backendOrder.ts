import { EngineOrderKind, OrderEngineResponseSchema } from '@quinceshunt/schemas'
import { connectAdministration } from '../connection.js'
import { CommandError, exitCodes } from '../exitCodes.js'
import { writeMessage } from '../io.js'
import { defineOperation } from '../operation.js'
import { connectionArgs } from '../options.js'

const ORDER_KINDS: Readonly<Record<string, EngineOrderKind>> = {
  'load-model': EngineOrderKind.LOAD_MODEL,
  'load-adapter': EngineOrderKind.LOAD_ADAPTER,
  'change-role': EngineOrderKind.CHANGE_ROLE
}

export const backendOrder = defineOperation({
  description: 'Order an engine to load a model or an adapter, or to change its role; a router carries it out',
  examples: ['backend order painter-1 load-model painter-v2', 'backend order painter-2 change-role prefill'],
  args: {
    backend: { type: 'positional', required: true, description: 'Backend server ID' },
    kind: { type: 'positional', required: true, description: Object.keys(ORDER_KINDS).join(', ') },
    name: { type: 'positional', required: true, description: 'Model, adapter or role' },
    ...connectionArgs
  },
  run: async (io, args) => {
    const kind = ORDER_KINDS[args.kind]
    if (kind === undefined) throw new CommandError(exitCodes.usage, `kind "${args.kind}" is not allowed; use ${Object.keys(ORDER_KINDS).join(', ')}`)
    const response = await connectAdministration(io, args).orderEngine({ backendServer: args.backend, kind, name: args.name })
    if (args.json) writeMessage(io, OrderEngineResponseSchema, response)
    else io.writeOut(`ordered: ${args.backend} ${args.kind} ${args.name}; see "backend orders" for its state\n`)
    return exitCodes.done
  }
})
