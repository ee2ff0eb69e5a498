import type { FleetConfiguration, SheetRoute } from '@quinceshunt/schemas'
import { canonicalPath, groupBy, verifySecret, pathMatchesPrefix, splitKey } from '@quinceshunt/sheet'
import type { ConfigurationIndex } from './configurationIndex.js'
import type { Caller, ConfigurationView } from './services.js'

/** Compared if the key ID is unknown, so that response times do not reveal which key IDs exist. */
const DUMMY_KEY = { saltHex: '00'.repeat(16), hashHex: '00'.repeat(32) }

/**
 * Creates the request path's view of a configuration. All views share the index of keys and budgets, so that a request
 * that started under an earlier revision sees a key revocation immediately.
 */
export function createConfigurationView (revision: bigint, common: FleetConfiguration, index: ConfigurationIndex): ConfigurationView {
  const { clientAccounts = [], models = [], routes = [], backendServers = [] } = common.sheet ?? {}
  const accounts = indexById(clientAccounts)
  const revoked = new Set(common.revokedKeyIds)
  const routeIndex = groupBy(routes, (route) => route.service)

  /** Treats keys whose client account or budget is no longer in the sheet as unknown. */
  function authenticate (bearerKey: string): Caller | undefined {
    const parts = splitKey(bearerKey)
    if (parts === undefined) return undefined
    const found = index.findKey(parts.keyId)
    const matches = verifySecret(found?.key ?? DUMMY_KEY, parts.secret)
    if (!matches || found === undefined) return undefined
    const { key, part } = found
    const account = accounts.get(key.clientAccount)
    const accountOwnsBudget = part.sheet?.budgets.some(({ id, clientAccount }) => id === key.budget && clientAccount === key.clientAccount) === true
    if (account === undefined || !accountOwnsBudget || key.revoked || revoked.has(key.id)) return undefined
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
