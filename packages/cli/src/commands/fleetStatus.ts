import { FleetStatusResponseSchema } from '@quinceshunt/schemas'
import { connectAdministration } from '../connection.js'
import { exitCodes } from '../exitCodes.js'
import { writeMessage, writeTable } from '../io.js'
import { defineOperation } from '../operation.js'
import { connectionArgs } from '../options.js'

export const fleetStatus = defineOperation({
  description: 'Show the routers',
  examples: ['fleet status', 'fleet status --json'],
  args: connectionArgs,
  run: async (io, args) => {
    const response = await connectAdministration(io, args).fleetStatus({})
    if (args.json) writeMessage(io, FleetStatusResponseSchema, response)
    else {
      writeTable(io, ['Router', 'Failure domain', 'Address', 'State', 'Revision', 'Running requests'], response.instances.map((instance) =>
        [instance.instanceId, instance.failureDomain, instance.address, instance.reachable ? (instance.ready ? 'ready' : 'not ready') : 'does not answer', instance.sheetRevision, instance.runningRequests]))
    }
    return exitCodes.done
  }
})
