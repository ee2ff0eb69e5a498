import type { FleetConfiguration, SheetBudget, SheetClientAccount, SheetKey, SheetRoute } from '@quinceshunt/schemas'
import { allKeys, canonicalPath, groupBy, matchesKey, pathMatchesPrefix, splitKey } from '@quinceshunt/sheet'
import type { Caller, ConfigurationView } from './services.js'

/** Compared in place of an unknown key, so that a known key ID can't be told from the time of the answer. */
const ABSENT_KEY = { saltHex: '00'.repeat(16), hashHex: '00'.repeat(32) }

/** Indexes a configuration for the request path. */
export function createConfigurationView (revision: bigint, configuration: FleetConfiguration): ConfigurationView {
  const { clientAccounts = [], budgets = [], models = [], routes = [], backendServers = [] } = configuration.sheet ?? {}
  const budgetIndex = indexById(budgets)
  const callers = indexCallers(configuration, indexById(clientAccounts), budgetIndex)
  const routeIndex = groupBy(routes, (route) => route.service)
  return {
    revision,
    models: indexById(models),
    budgets: budgetIndex,
    backendServers: groupBy(backendServers, (backendServer) => backendServer.target),
    drainedBackendServers: new Set(configuration.drainedBackendServers),
    authenticate: (bearerKey) => authenticate(callers, bearerKey),
    findRoute: (service, method, path) => findRoute(routeIndex.get(service) ?? [], method, path)
  }
}

interface KnownKey {
  readonly key: SheetKey
  readonly caller: Caller
}

/** Keys in use; a key whose client account or budget the sheet no longer has is left out. */
function indexCallers (configuration: FleetConfiguration, accounts: ReadonlyMap<string, SheetClientAccount>, budgets: ReadonlyMap<string, SheetBudget>): ReadonlyMap<string, KnownKey> {
  const callers = new Map<string, KnownKey>()
  const revoked = new Set(configuration.revokedKeyIds)
  for (const key of allKeys(configuration)) {
    const account = accounts.get(key.clientAccount)
    if (account === undefined || budgets.get(key.budget)?.clientAccount !== key.clientAccount || key.revoked || revoked.has(key.id)) continue
    callers.set(key.id, { key, caller: { account, budgetId: key.budget, keyId: key.id } })
  }
  return callers
}

function authenticate (callers: ReadonlyMap<string, KnownKey>, bearerKey: string): Caller | undefined {
  const parts = splitKey(bearerKey)
  if (parts === undefined) return undefined
  const known = callers.get(parts.keyId)
  const matches = matchesKey(known?.key ?? ABSENT_KEY, parts.secret)
  return matches ? known?.caller : undefined
}

function findRoute (routes: readonly SheetRoute[], method: string, path: string): SheetRoute | undefined {
  const canonical = canonicalPath(path)
  if (canonical === undefined) return undefined
  return routes.find((route) => (route.method === '*' || route.method === method) && pathMatchesPrefix(canonical, route.pathPrefix))
}

function indexById<Item extends { readonly id: string }> (items: readonly Item[]): ReadonlyMap<string, Item> {
  return new Map(items.map((item) => [item.id, item]))
}
