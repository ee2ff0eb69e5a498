import type { FleetConfiguration, SheetRoute } from '@quinceshunt/schemas'
import { canonicalPath, groupBy, matchesKey, pathMatchesPrefix, splitKey } from '@quinceshunt/sheet'
import type { ConfigurationIndex } from './configurationIndex.js'
import type { Caller, ConfigurationView } from './services.js'

/** Compared in place of an unknown key, so that a known key ID can't be told from the time of the answer. */
const ABSENT_KEY = { saltHex: '00'.repeat(16), hashHex: '00'.repeat(32) }

/**
 * View of a configuration for the request path. Keys and budgets come from the index, which is shared by all views, so that
 * a request that began under an earlier revision sees a key's revocation at once.
 */
export function createConfigurationView (revision: bigint, common: FleetConfiguration, index: ConfigurationIndex): ConfigurationView {
  const { clientAccounts = [], models = [], routes = [], backendServers = [] } = common.sheet ?? {}
  const accounts = indexById(clientAccounts)
  const revoked = new Set(common.revokedKeyIds)
  const routeIndex = groupBy(routes, (route) => route.service)

  /** Keys whose client account or budget the sheet no longer has are refused like unknown ones. */
  function authenticate (bearerKey: string): Caller | undefined {
    const parts = splitKey(bearerKey)
    if (parts === undefined) return undefined
    const found = index.findKey(parts.keyId)
    const matches = matchesKey(found?.key ?? ABSENT_KEY, parts.secret)
    if (!matches || found === undefined) return undefined
    const { key, part } = found
    const account = accounts.get(key.clientAccount)
    const ownsBudget = part.sheet?.budgets.some(({ id, clientAccount }) => id === key.budget && clientAccount === key.clientAccount) === true
    if (account === undefined || !ownsBudget || key.revoked || revoked.has(key.id)) return undefined
    return { account, budgetId: key.budget, keyId: key.id }
  }

  return {
    revision,
    models: indexById(models),
    backendServers: groupBy(backendServers, (backendServer) => backendServer.target),
    drainedBackendServers: new Set(common.drainedBackendServers),
    findBudget: (budgetId) => index.findBudget(budgetId),
    authenticate,
    findRoute: (service, method, path) => findRoute(routeIndex.get(service) ?? [], method, path)
  }
}

function findRoute (routes: readonly SheetRoute[], method: string, path: string): SheetRoute | undefined {
  const canonical = canonicalPath(path)
  if (canonical === undefined) return undefined
  return routes.find((route) => (route.method === '*' || route.method === method) && pathMatchesPrefix(canonical, route.pathPrefix))
}

function indexById<Item extends { readonly id: string }> (items: readonly Item[]): ReadonlyMap<string, Item> {
  return new Map(items.map((item) => [item.id, item]))
}
