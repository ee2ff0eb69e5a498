import { Code, ConnectError, type ServiceImpl } from '@connectrpc/connect'
import type { AdministrationService } from '@quinceshunt/schemas'
import { authorOf, type AdministrationContext } from '../administrationContext.js'
import { listAudit } from '../audit.js'
import { changeConfiguration } from '../configurationStore.js'

type Handlers = Pick<ServiceImpl<typeof AdministrationService>, 'fleetStatus' | 'drainBackendServer' | 'listAudit'>

const DEFAULT_AUDIT_RECORDS = 50
const MAX_AUDIT_RECORDS = 1000

/** Handlers for the fleet and the audit log. */
export function createFleetHandlers (context: AdministrationContext): Handlers {
  return {
    fleetStatus: async () => ({
      instances: (await context.fleet.status()).map(({ status, ...router }) => ({
        ...router,
        reachable: status !== undefined,
        ready: status?.ready ?? false,
        sheetRevision: status?.sheetRevision ?? 0n,
        runningRequests: status?.runningRequests ?? 0
      }))
    }),
    drainBackendServer: async ({ backendServer, cancel }, call) => {
      const description = { action: cancel ? 'backend drain --undo' : 'backend drain', subject: backendServer, detail: '' }
      await changeConfiguration(context, authorOf(call), description, (current) => {
        const drained = current.drainedBackendServers
        const known = current.sheet?.backendServers.some(({ id }) => id === backendServer) === true
        if (!known && !drained.includes(backendServer)) throw new ConnectError(`there is no backend server ${backendServer} in the sheet in force`, Code.NotFound)
        if (drained.includes(backendServer) !== cancel) return undefined
        return { ...current, drainedBackendServers: cancel ? drained.filter((id) => id !== backendServer) : [...drained, backendServer] }
      })
      return {}
    },
    listAudit: async ({ limit }) => ({ records: await listAudit(context.platform.table, context.clock.now(), Math.min(limit === 0 ? DEFAULT_AUDIT_RECORDS : limit, MAX_AUDIT_RECORDS)) })
  }
}
