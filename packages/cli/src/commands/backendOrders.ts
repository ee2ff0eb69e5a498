import { EngineOrderKind, ListOrdersResponseSchema, OrderState } from '@quinceshunt/schemas'
import { connectAdministration } from '../connection.js'
import { exitCodes } from '../exitCodes.js'
import { formatTime, writeMessage, writeTable } from '../io.js'
import { defineOperation } from '../operation.js'
import { connectionArgs } from '../options.js'

export const backendOrders = defineOperation({
  description: 'List orders to engines and their state',
  examples: ['backend orders', 'backend orders --json'],
  args: { ...connectionArgs },
  run: async (io, args) => {
    const response = await connectAdministration(io, args).listOrders({})
    if (args.json) writeMessage(io, ListOrdersResponseSchema, response)
    else {
      writeTable(io, ['Backend server', 'Kind', 'Name', 'State', 'Operator', 'Ordered', 'Problem'], response.orders.map(({ backendServer, kind, record }) => [
        backendServer, (EngineOrderKind[kind] ?? '').toLowerCase().replaceAll('_', '-'), record?.name ?? '', (OrderState[record?.state ?? OrderState.UNSPECIFIED] ?? '').toLowerCase(), record?.operator ?? '', formatTime(record?.requestedAt ?? 0n), record?.problem ?? ''
      ]))
    }
    return exitCodes.done
  }
})
