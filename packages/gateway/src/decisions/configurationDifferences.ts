/**
 * Compares a configuration with the one in force before it is distributed.
 *
 * Handles the load of a distribution mistake: all instances take a new version within seconds, so that an unintended removal
 * affects all callers at once.
 */
import type { FleetConfiguration, Route } from '../fleetConfiguration.js'
import { routeIdentity } from './configurationCheck.js'
import { createFinding, type ConfigurationFinding, type FindingDetail } from './configurationFinding.js'

/** Order of the findings: by their effect on callers, the largest first. */
const KINDS_BY_EFFECT: readonly FindingDetail['kind'][] = [
  'routeRemoved', 'keyRemoved', 'keyRequired',
  'serviceMoved', 'deliveryChanged', 'keyMoved',
  'timeShortened',
  'prepaidLowered', 'bodyLimitLowered',
  'versionNotIncreased',
  'routeAdded', 'serviceAdded', 'accountAdded', 'keyAdded'
]

/** Returns the differences that callers may notice, ordered by their effect on callers. */
export function compareConfigurations (before: FleetConfiguration, after: FleetConfiguration): readonly ConfigurationFinding[] {
  const findings = [...compareRoutes(before, after), ...compareKeys(before, after), ...compareServices(before, after), ...compareAccounts(before, after), ...compareLimits(before, after)]
  if (after.version <= before.version) findings.push(createFinding({ kind: 'versionNotIncreased', before: before.version, after: after.version }, ['version']))
  const ranks = new Map(KINDS_BY_EFFECT.map((kind, rank) => [kind, rank]))
  return findings.sort((left, right) => (ranks.get(left.kind) ?? 0) - (ranks.get(right.kind) ?? 0))
}

interface Position<Entry> {
  readonly entry: Entry
  readonly index: number
}

/** Positions by identity; of several entries with the same identity, the first one is used. */
function indexBy<Entry> (entries: readonly Entry[], identityOf: (entry: Entry) => string): ReadonlyMap<string, Position<Entry>> {
  const positions = new Map<string, Position<Entry>>()
  for (const [index, entry] of entries.entries()) {
    if (!positions.has(identityOf(entry))) positions.set(identityOf(entry), { entry, index })
  }
  return positions
}

/** Returns the route that matches requests for the given route's prefix: the one with the longest prefix of it. */
function findMatch (routes: ReadonlyMap<string, Position<Route>>, route: Route): Route | undefined {
  for (let length = route.pathPrefix.length; length >= 0; length -= 1) {
    const match = routes.get(routeIdentity({ host: route.host, pathPrefix: route.pathPrefix.slice(0, length) }))
    if (match !== undefined) return match.entry
  }
  return undefined
}

function compareRoutes (before: FleetConfiguration, after: FleetConfiguration): ConfigurationFinding[] {
  const [oldRoutes, newRoutes] = [indexBy(before.routes, routeIdentity), indexBy(after.routes, routeIdentity)]
  const removed = [...oldRoutes].filter(([identity]) => !newRoutes.has(identity))
    .map(([, { entry, index }]) => createFinding({ kind: 'routeRemoved', route: entry.name, nextRoute: findMatch(newRoutes, entry)?.name }, ['routes', index], { document: 'inForce' }))
  // Without any client account, requests need no key.
  const needsKey = (route: Route, { accounts }: FleetConfiguration): boolean => accounts.length > 0 && !route.isPublic
  const remaining = [...newRoutes].flatMap(([identity, { entry, index }]) => {
    const same = oldRoutes.get(identity)?.entry
    const previous = findMatch(oldRoutes, entry)
    const findings = same === undefined ? [createFinding({ kind: 'routeAdded', route: entry.name, previousRoute: previous?.name }, ['routes', index])] : compareRoute(same, entry, index)
    if (previous !== undefined && !needsKey(previous, before) && needsKey(entry, after)) findings.push(createFinding({ kind: 'keyRequired', route: entry.name, previousRoute: previous.name }, ['routes', index]))
    return findings
  })
  return [...removed, ...remaining]
}

function compareRoute (before: Route, after: Route, index: number): ConfigurationFinding[] {
  const findings: ConfigurationFinding[] = []
  const targetsOf = (route: Route): string => JSON.stringify(route.targets.map(({ service, weight }) => [service, weight]).sort())
  // The weight of a single target has no effect.
  const isSameSingle = before.targets.length === 1 && after.targets.length === 1 && before.targets[0]?.service === after.targets[0]?.service
  if (!isSameSingle && targetsOf(before) !== targetsOf(after)) findings.push(createFinding({ kind: 'serviceMoved', route: after.name, before: before.targets, after: after.targets }, ['routes', index, 'targets']))
  if (before.deliverySemantics.kind !== after.deliverySemantics.kind) {
    findings.push(createFinding({ kind: 'deliveryChanged', route: after.name, before: before.deliverySemantics, after: after.deliverySemantics }, ['routes', index, 'deliverySemantics']))
  }
  for (const field of ['timeoutMilliseconds', 'latencyTargetMilliseconds', 'eventGapTargetMilliseconds'] as const) {
    // An event gap of 0 is none, so setting one shortens it too.
    const valueOf = (route: Route): number => field === 'eventGapTargetMilliseconds' && route[field] === 0 ? Infinity : route[field]
    if (valueOf(after) < valueOf(before)) findings.push(createFinding({ kind: 'timeShortened', before: before[field], after: after[field] }, ['routes', index, field]))
  }
  return findings
}

interface HeldKey {
  readonly account: string
  readonly path: readonly (string | number)[]
}

function keysOf ({ accounts }: FleetConfiguration): ReadonlyMap<string, HeldKey> {
  return new Map(accounts.flatMap(({ name, keys }, index) => keys.map((key, position) => [key, { account: name, path: ['accounts', index, 'keys', position] }] as const)))
}

function compareKeys (before: FleetConfiguration, after: FleetConfiguration): ConfigurationFinding[] {
  const [oldKeys, newKeys] = [keysOf(before), keysOf(after)]
  const oldAccounts = new Set(before.accounts.map(({ name }) => name))
  const removed = [...oldKeys].filter(([key]) => !newKeys.has(key))
    .map(([, { account, path }]) => createFinding({ kind: 'keyRemoved', account }, path, { document: 'inForce' }))
  const remaining = [...newKeys].flatMap(([key, { account, path }]) => {
    const old = oldKeys.get(key)
    if (old !== undefined) return old.account === account ? [] : [createFinding({ kind: 'keyMoved', before: old.account, after: account }, path)]
    // The keys of a new client account need no lines of their own.
    return oldAccounts.has(account) ? [createFinding({ kind: 'keyAdded', account }, path)] : []
  })
  return [...removed, ...remaining]
}

function compareServices (before: FleetConfiguration, after: FleetConfiguration): ConfigurationFinding[] {
  const oldServices = new Set(before.services.map(({ name }) => name))
  return after.services.flatMap(({ name }, index) => oldServices.has(name) ? [] : [createFinding({ kind: 'serviceAdded', service: name }, ['services', index])])
}

function compareAccounts (before: FleetConfiguration, after: FleetConfiguration): ConfigurationFinding[] {
  // Of several accounts with the same name, the gateway uses the budget of the last one.
  const oldAccounts = new Map(before.accounts.map((account) => [account.name, account]))
  const newAccounts = new Map(after.accounts.map((account, index) => [account.name, { account, index }]))
  return [...newAccounts.values()].flatMap(({ account: { name, prepaidTokens }, index }) => {
    const old = oldAccounts.get(name)
    if (old === undefined) return [createFinding({ kind: 'accountAdded', account: name }, ['accounts', index])]
    if (prepaidTokens === undefined || prepaidTokens >= (old.prepaidTokens ?? Infinity)) return []
    return [createFinding({ kind: 'prepaidLowered', account: name, before: old.prepaidTokens, after: prepaidTokens }, ['accounts', index, 'prepaidTokens'])]
  })
}

function compareLimits ({ limits: before }: FleetConfiguration, { limits: after }: FleetConfiguration): ConfigurationFinding[] {
  const findings: ConfigurationFinding[] = []
  for (const field of ['headerTimeoutMilliseconds', 'idleTimeoutMilliseconds'] as const) {
    if (after[field] < before[field]) findings.push(createFinding({ kind: 'timeShortened', before: before[field], after: after[field] }, ['limits', field]))
  }
  if (after.maximumBodyBytes < before.maximumBodyBytes) findings.push(createFinding({ kind: 'bodyLimitLowered', before: before.maximumBodyBytes, after: after.maximumBodyBytes }, ['limits', 'maximumBodyBytes']))
  return findings
}
