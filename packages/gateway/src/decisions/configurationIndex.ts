import type { ClientAccount, FleetConfiguration, Route, RouteTarget, Service } from '../fleetConfiguration.js'

/** Result of matching a request against the configured routes and keys. */
export type Admission =
  | { readonly kind: 'allowed', readonly route: Route, readonly account: ClientAccount | undefined }
  | { readonly kind: 'unknownRoute' }
  | { readonly kind: 'unknownKey' }

/** A configuration indexed for lookups. */
export interface ConfigurationIndex {
  readonly configuration: FleetConfiguration
  /** `host` is the value of the Host header; `path` may include the query. */
  admit (host: string, path: string, key: string): Admission
  /** Of all routes; 0 without routes. */
  readonly longestTimeoutMilliseconds: number
  service (name: string): Service | undefined
  account (name: string): ClientAccount | undefined
}

/** Indexes a configuration by host, key and name. */
export function indexConfiguration (configuration: FleetConfiguration): ConfigurationIndex {
  const routesByHost = new Map<string, Route[]>()
  for (const route of configuration.routes) {
    const routes = routesByHost.get(route.host.toLowerCase())
    if (routes === undefined) routesByHost.set(route.host.toLowerCase(), [route])
    else routes.push(route)
  }
  // The longest prefix wins: with this order it is the first match.
  for (const routes of routesByHost.values()) routes.sort((left, right) => right.pathPrefix.length - left.pathPrefix.length)
  const services = new Map(configuration.services.map((service) => [service.name, service]))
  const accounts = new Map(configuration.accounts.map((account) => [account.name, account]))
  const accountsByKey = new Map(configuration.accounts.flatMap((account) => account.keys.map((key) => [key, account] as const)))

  function admit (host: string, path: string, key: string): Admission {
    const name = host.toLowerCase().replace(/:\d+$/, '')
    const route = routesByHost.get(name)?.find((candidate) => path.startsWith(candidate.pathPrefix))
    if (route === undefined) return { kind: 'unknownRoute' }
    const account = accountsByKey.get(key)
    if (account === undefined && !route.isPublic && configuration.accounts.length > 0) return { kind: 'unknownKey' }
    return { kind: 'allowed', route, account }
  }

  return {
    configuration,
    admit,
    longestTimeoutMilliseconds: configuration.routes.reduce((longest, { timeoutMilliseconds }) => Math.max(longest, timeoutMilliseconds), 0),
    service: (name) => services.get(name),
    account: (name) => accounts.get(name)
  }
}

/** Selects a service by weight; `randomValue` is in [0, 1). */
export function chooseTarget (targets: readonly RouteTarget[], randomValue: number): string | undefined {
  const total = targets.reduce((sum, target) => sum + target.weight, 0)
  let remaining = randomValue * total
  for (const target of targets) {
    remaining -= target.weight
    if (remaining < 0) return target.service
  }
  return targets.at(-1)?.service
}
