/**
 * Finds contradictions in a configuration before it is distributed.
 *
 * Handles the load of a distribution mistake: all instances take a new version within seconds, so a route or key that is lost
 * by it affects all callers at once.
 */
import type { ClientAccount, FleetConfiguration, Route, Service } from '../fleetConfiguration.js'
import { createFinding, MAX_PRIORITY, MAX_TIMER_MS, type ConfigurationFinding } from './configurationFinding.js'

/** Returns all findings: of the version, the routes, the services, the accounts and the limits, in this order. */
export function checkConfiguration (configuration: FleetConfiguration): readonly ConfigurationFinding[] {
  const { routes, services, accounts } = configuration
  return [
    ...checkVersion(configuration.version),
    ...checkDuplicateRoutes(routes),
    ...checkTargets(routes, services),
    ...routes.flatMap(checkRoute),
    ...checkServices(routes, services),
    ...checkAccounts(accounts),
    ...checkKeys(accounts),
    ...checkLimits(configuration)
  ]
}

/** Identifies the requests that a route matches; hosts are compared without regard to case. */
export function routeIdentity ({ host, pathPrefix }: Pick<Route, 'host' | 'pathPrefix'>): string {
  return `${host.toLowerCase()} ${pathPrefix}`
}

const HOST_FAULT_PATTERN = /[^\x21-\x7e]|\/|:\d+$/
/** Clients send other characters in percent-encoding, which is compared as it is. */
const PREFIX_FAULT_PATTERN = /[^\x21-\x7e]|#/
/** White space ends a key in its header. Headers are read as Latin-1, so that characters beyond it never arrive. */
const KEY_FAULT_PATTERN = /[^\x21-\xff]|[\x7f-\xa0]/

const isTime = (milliseconds: number): boolean => milliseconds > 0 && milliseconds <= MAX_TIMER_MS
const isPriority = (priority: number): boolean => Number.isInteger(priority) && priority >= 0 && priority <= MAX_PRIORITY

function checkVersion (version: number): ConfigurationFinding[] {
  const isUsable = Number.isSafeInteger(version) && version >= 0 && version < Number.MAX_SAFE_INTEGER
  return isUsable ? [] : [createFinding({ kind: 'versionOutOfRange', version }, ['version'])]
}

function checkDuplicateRoutes (routes: readonly Route[]): ConfigurationFinding[] {
  const firstRoutes = new Map<string, { readonly route: Route, readonly index: number }>()
  return routes.flatMap((route, index) => {
    const first = firstRoutes.get(routeIdentity(route))
    if (first !== undefined) return [createFinding({ kind: 'duplicateRoute', first: first.route.name }, ['routes', index, 'pathPrefix'], { related: ['routes', first.index, 'pathPrefix'] })]
    firstRoutes.set(routeIdentity(route), { route, index })
    return []
  })
}

function checkTargets (routes: readonly Route[], services: readonly Service[]): ConfigurationFinding[] {
  const known = new Set(services.map(({ name }) => name))
  return routes.flatMap(({ name, targets }, index) => {
    if (targets.length === 0) return [createFinding({ kind: 'noTarget', route: name }, ['routes', index, 'targets'])]
    const hasWeight = targets.some(({ weight }) => weight > 0)
    return targets.flatMap(({ service, weight }, position) => {
      const findings: ConfigurationFinding[] = []
      // Without any weight, `chooseTarget` returns the last target.
      const isFallback = !hasWeight && position === targets.length - 1
      if (weight === 0) findings.push(createFinding({ kind: 'zeroWeight', service, isFallback }, ['routes', index, 'targets', position, 'weight']))
      if (!known.has(service)) findings.push(createFinding({ kind: 'unknownService', service }, ['routes', index, 'targets', position, 'service']))
      return findings
    })
  })
}

/** Checks the values of one route that don't depend on other entries. */
function checkRoute (route: Route, index: number): ConfigurationFinding[] {
  const findings: ConfigurationFinding[] = []
  const at = (field: keyof Route): readonly (string | number)[] => ['routes', index, field]
  const { host, pathPrefix, deliverySemantics, timeoutMilliseconds: timeout, latencyTargetMilliseconds: target, eventGapTargetMilliseconds: eventGap, maximumAttempts } = route
  const isStream = deliverySemantics.kind === 'resumableStream' || deliverySemantics.kind === 'onceStream'
  const runsOnce = deliverySemantics.kind === 'once' || deliverySemantics.kind === 'onceStream'

  // The port of the Host header is not compared.
  if (host === '' || HOST_FAULT_PATTERN.test(host)) findings.push(createFinding({ kind: 'unmatchableHost', host }, at('host')))
  if (!pathPrefix.startsWith('/') || PREFIX_FAULT_PATTERN.test(pathPrefix)) findings.push(createFinding({ kind: 'unmatchablePrefix', prefix: pathPrefix }, at('pathPrefix')))
  else if (!pathPrefix.endsWith('/')) findings.push(createFinding({ kind: 'openPrefix', prefix: pathPrefix }, at('pathPrefix')))

  if (!isTime(timeout)) findings.push(createFinding({ kind: 'timeOutOfRange', milliseconds: timeout }, at('timeoutMilliseconds')))
  if (!isTime(target)) findings.push(createFinding({ kind: 'targetOutOfRange', milliseconds: target }, at('latencyTargetMilliseconds')))
  else if (isTime(timeout) && target > timeout) findings.push(createFinding({ kind: 'targetAboveTimeout', target, timeout }, at('latencyTargetMilliseconds'), { related: at('timeoutMilliseconds') }))
  if (eventGap !== 0) {
    if (!isTime(eventGap)) findings.push(createFinding({ kind: 'targetOutOfRange', milliseconds: eventGap }, at('eventGapTargetMilliseconds')))
    else if (!isStream) findings.push(createFinding({ kind: 'eventGapWithoutStream', eventGap }, at('eventGapTargetMilliseconds'), { related: at('deliverySemantics') }))
    else if (eventGap > target) findings.push(createFinding({ kind: 'eventGapAboveTarget', eventGap, target }, at('eventGapTargetMilliseconds'), { related: at('latencyTargetMilliseconds') }))
  }
  if (runsOnce && maximumAttempts > 1) findings.push(createFinding({ kind: 'repeatedAttempts', attempts: maximumAttempts }, at('maximumAttempts'), { related: at('deliverySemantics') }))
  if (!isPriority(route.priority)) findings.push(createFinding({ kind: 'priorityOutOfRange', priority: route.priority }, at('priority')))
  return findings
}

/** Services that get requests of the route. */
function reachedServices ({ targets }: Route): readonly string[] {
  const weighted = targets.filter(({ weight }) => weight > 0)
  return (weighted.length > 0 ? weighted : targets.slice(-1)).map(({ service }) => service)
}

function checkServices (routes: readonly Route[], services: readonly Service[]): ConfigurationFinding[] {
  const reached = new Set(routes.flatMap(reachedServices))
  const firstIndexes = new Map<string, number>()
  return services.flatMap(({ name, engine }, index) => {
    const findings: ConfigurationFinding[] = []
    const first = firstIndexes.get(name)
    if (first !== undefined) findings.push(createFinding({ kind: 'duplicateService', service: name }, ['services', index, 'name'], { related: ['services', first, 'name'] }))
    else firstIndexes.set(name, index)
    if (!reached.has(name)) findings.push(createFinding({ kind: 'unusedService', service: name }, ['services', index]))
    if (engine?.memoryTokens !== undefined && engine.memoryTokens < engine.slots) {
      findings.push(createFinding({ kind: 'engineMemoryBelowSlots', memoryTokens: engine.memoryTokens, slots: engine.slots }, ['services', index, 'engine', 'memoryTokens'], { related: ['services', index, 'engine', 'slots'] }))
    }
    return findings
  })
}

function checkAccounts (accounts: readonly ClientAccount[]): ConfigurationFinding[] {
  const firstIndexes = new Map<string, number>()
  return accounts.flatMap(({ name, keys, priority, prepaidTokens }, index) => {
    const findings: ConfigurationFinding[] = []
    const first = firstIndexes.get(name)
    if (first !== undefined) findings.push(createFinding({ kind: 'duplicateAccount', account: name }, ['accounts', index, 'name'], { related: ['accounts', first, 'name'] }))
    else firstIndexes.set(name, index)
    if (keys.length === 0) findings.push(createFinding({ kind: 'accountWithoutKey', account: name }, ['accounts', index, 'keys']))
    if (priority !== undefined && !isPriority(priority)) findings.push(createFinding({ kind: 'priorityOutOfRange', priority }, ['accounts', index, 'priority']))
    if (prepaidTokens !== undefined && prepaidTokens < 1) findings.push(createFinding({ kind: 'prepaidTooSmall', account: name, tokens: prepaidTokens }, ['accounts', index, 'prepaidTokens']))
    return findings
  })
}

function checkKeys (accounts: readonly ClientAccount[]): ConfigurationFinding[] {
  const holders = new Map<string, { readonly account: number, readonly position: number }>()
  return accounts.flatMap(({ name, keys }, index) => keys.flatMap((key, position) => {
    const path = ['accounts', index, 'keys', position]
    // Requests without a key look up the empty key, so an account that holds it would be charged for them.
    if (key === '' || KEY_FAULT_PATTERN.test(key)) return [createFinding({ kind: 'unusableKey', account: name }, path)]
    const holder = holders.get(key)
    if (holder === undefined) holders.set(key, { account: index, position })
    if (holder === undefined || holder.account === index) return []
    return [createFinding({ kind: 'sharedKey', account: name, otherAccount: accounts[holder.account]?.name ?? '' }, path, { related: ['accounts', holder.account, 'keys', holder.position] })]
  }))
}

function checkLimits ({ limits, routes }: FleetConfiguration): ConfigurationFinding[] {
  const findings: ConfigurationFinding[] = []
  const { maximumBodyBytes: bytes, headerTimeoutMilliseconds: headerTime, idleTimeoutMilliseconds: idleTime } = limits
  // Idempotent requests may all be without a body; the others never are.
  const withBodies = routes.find(({ deliverySemantics }) => deliverySemantics.kind !== 'idempotent')
  if (bytes < 1 && withBodies !== undefined) findings.push(createFinding({ kind: 'bodyLimitTooSmall', bytes, route: withBodies.name }, ['limits', 'maximumBodyBytes']))
  for (const field of ['headerTimeoutMilliseconds', 'idleTimeoutMilliseconds'] as const) {
    if (!isTime(limits[field])) findings.push(createFinding({ kind: 'timeOutOfRange', milliseconds: limits[field] }, ['limits', field]))
  }
  if (isTime(headerTime) && isTime(idleTime) && headerTime > idleTime) {
    findings.push(createFinding({ kind: 'headerTimeAboveIdleTime', headerTime, idleTime }, ['limits', 'headerTimeoutMilliseconds'], { related: ['limits', 'idleTimeoutMilliseconds'] }))
  }
  return findings
}
