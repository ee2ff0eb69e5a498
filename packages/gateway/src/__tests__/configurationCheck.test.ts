import { describe, expect, test } from '@jest/globals'
import fc from 'fast-check'
import { checkConfiguration } from '../decisions/configurationCheck.js'
import { compareConfigurations } from '../decisions/configurationDifferences.js'
import { indexConfiguration, chooseTarget } from '../decisions/configurationIndex.js'
import type { ClientAccount, FleetConfiguration, Route } from '../fleetConfiguration.js'

function createRoute (overrides: Partial<Route> = {}): Route {
  return {
    name: 'chat',
    host: 'desk.example',
    pathPrefix: '/chat/',
    deliverySemantics: { kind: 'idempotent' },
    timeoutMilliseconds: 1000,
    latencyTargetMilliseconds: 400,
    eventGapTargetMilliseconds: 0,
    priority: 0,
    targets: [{ service: 'model', weight: 1 }],
    maximumAttempts: 1,
    isPublic: false,
    ...overrides
  }
}

function createConfiguration (overrides: Partial<FleetConfiguration> = {}): FleetConfiguration {
  return {
    version: 1,
    routes: [createRoute()],
    services: [{ name: 'model', maximumConnections: 1, engine: undefined, healthPath: '' }],
    accounts: [{ name: 'school', keys: ['key-1'], priority: undefined, prepaidTokens: undefined }],
    limits: { maximumHeaderBytes: 1000, maximumBodyBytes: 1000, headerTimeoutMilliseconds: 1000, idleTimeoutMilliseconds: 2000 },
    ...overrides
  }
}

/** Returns the value at a path, or undefined where a part of it doesn't exist. */
function valueAt (configuration: FleetConfiguration, path: readonly (string | number)[]): unknown {
  return path.reduce<any>((node, part) => node?.[part], configuration)
}

const routeArbitrary = fc.record({
  host: fc.constantFrom('desk.example', 'DESK.example', 'desk.example:80', ''),
  pathPrefix: fc.constantFrom('/', '/a/', '/a/b/', '/a', 'a/'),
  deliverySemantics: fc.constantFrom<Route['deliverySemantics']>({ kind: 'idempotent' }, { kind: 'once' }, { kind: 'resumableStream' }, { kind: 'onceStream' }),
  timeoutMilliseconds: fc.constantFrom(0, 100, 1000),
  latencyTargetMilliseconds: fc.constantFrom(0, 400, 1000),
  eventGapTargetMilliseconds: fc.constantFrom(0, 100, 500),
  priority: fc.integer({ min: -1, max: 11 }),
  targets: fc.array(fc.record({ service: fc.constantFrom('model', 'ledger', 'unknown'), weight: fc.constantFrom(0, 1, 5) }), { maxLength: 3 }),
  maximumAttempts: fc.integer({ min: 1, max: 3 }),
  isPublic: fc.boolean()
}).map(createRoute)

const accountArbitrary: fc.Arbitrary<ClientAccount> = fc.record({
  name: fc.constantFrom('school', 'workshop', 'library'),
  keys: fc.array(fc.constantFrom('key-1', 'key-2', 'key-3', ''), { maxLength: 2 }),
  priority: fc.constantFrom(undefined, 0, 10),
  prepaidTokens: fc.constantFrom(undefined, 0, 100)
})

const configurationArbitrary: fc.Arbitrary<FleetConfiguration> = fc.record({
  version: fc.integer({ min: 0, max: 3 }),
  routes: fc.array(routeArbitrary, { maxLength: 4 }),
  accounts: fc.array(accountArbitrary, { maxLength: 3 })
}).map(createConfiguration)

describe('checkConfiguration', () => {
  // Guards against paths that don't lead to the value that the message is about.
  test('has paths that exist in the configuration', () => {
    fc.assert(fc.property(configurationArbitrary, (configuration) => {
      for (const { path, related } of checkConfiguration(configuration)) {
        expect(valueAt(configuration, path)).toBeDefined()
        if (related !== undefined) expect(valueAt(configuration, related)).toBeDefined()
      }
    }))
  })

  // Guards against a rule of duplicates that differs from the matching of requests.
  test('reports a route as a duplicate if and only if a request for its own prefix matches an earlier route', () => {
    fc.assert(fc.property(configurationArbitrary, (configuration) => {
      const findings = checkConfiguration(configuration)
      const index = indexConfiguration({ ...configuration, accounts: [] })
      for (const [position, route] of configuration.routes.entries()) {
        if (findings.some(({ kind, path }) => kind === 'unmatchableHost' && path[1] === position)) continue
        const admission = index.admit(route.host, route.pathPrefix, '')
        const isDuplicate = findings.some(({ kind, path }) => kind === 'duplicateRoute' && path[1] === position)
        expect(admission.kind === 'allowed' && admission.route === route).toBe(!isDuplicate)
      }
    }))
  })

  // Guards against a rule of unused services that differs from the choice of a target.
  test('reports a service as unused only if no route ever chooses it', () => {
    fc.assert(fc.property(configurationArbitrary, fc.double({ min: 0, max: 1, maxExcluded: true, noNaN: true }), (configuration, randomValue) => {
      const unused = checkConfiguration(configuration).flatMap((finding) => finding.kind === 'unusedService' ? [finding.service] : [])
      for (const { targets } of configuration.routes) expect(unused).not.toContain(chooseTarget(targets, randomValue))
    }))
  })

  test('accepts a body limit of 0 where all routes are idempotent', () => {
    const limits = { ...createConfiguration().limits, maximumBodyBytes: 0 }
    expect(checkConfiguration(createConfiguration({ limits }))).toEqual([])
    expect(checkConfiguration(createConfiguration({ limits, routes: [createRoute({ deliverySemantics: { kind: 'once' } })] })).map(({ kind }) => kind)).toEqual(['bodyLimitTooSmall'])
  })
})

describe('compareConfigurations', () => {
  test('finds nothing between a configuration and itself but the version', () => {
    fc.assert(fc.property(configurationArbitrary, (configuration) => {
      expect(compareConfigurations(configuration, configuration).map(({ kind }) => kind)).toEqual(['versionNotIncreased'])
      expect(compareConfigurations(configuration, { ...configuration, version: configuration.version + 1 })).toEqual([])
    }))
  })

  // Guards against callers that lose a route or their key without an error.
  test('has an error whenever a request that was admitted no longer is', () => {
    const change = fc.oneof(
      routeArbitrary.map((route) => (configuration: FleetConfiguration) => ({ ...configuration, routes: [...configuration.routes, route] })),
      routeArbitrary.map((route) => (configuration: FleetConfiguration) => ({ ...configuration, routes: [route, ...configuration.routes] })),
      fc.nat(3).map((index) => (configuration: FleetConfiguration) => ({ ...configuration, routes: configuration.routes.filter((_, position) => position !== index) })),
      fc.nat(3).map((index) => (configuration: FleetConfiguration) => ({ ...configuration, routes: configuration.routes.map((route, position) => position === index ? { ...route, isPublic: !route.isPublic } : route) })),
      accountArbitrary.map((account) => (configuration: FleetConfiguration) => ({ ...configuration, accounts: [...configuration.accounts, account] })),
      fc.nat(2).map((index) => (configuration: FleetConfiguration) => ({ ...configuration, accounts: configuration.accounts.filter((_, position) => position !== index) }))
    )
    let losses = 0
    let quietChanges = 0
    fc.assert(fc.property(configurationArbitrary, fc.array(change, { minLength: 1, maxLength: 2 }), (before, changes) => {
      const after = changes.reduce((configuration, apply) => apply(configuration), { ...before, version: before.version + 1 })
      const errors = compareConfigurations(before, after).filter(({ severity }) => severity === 'error')
      if (errors.length === 0) quietChanges += 1
      const [oldIndex, newIndex] = [indexConfiguration(before), indexConfiguration(after)]
      for (const host of ['desk.example', 'other.example']) {
        for (const path of ['/', '/a', '/a/', '/ab', '/a/b/', '/a/b/c']) {
          for (const key of ['', 'key-1', 'key-2', 'key-3']) {
            if (oldIndex.admit(host, path, key).kind !== 'allowed' || newIndex.admit(host, path, key).kind === 'allowed') continue
            losses += 1
            expect(errors).not.toEqual([])
          }
        }
      }
    }), { numRuns: 2000 })
    // The property says nothing when no change loses callers, or when each change has an error anyway.
    expect(losses).toBeGreaterThan(100)
    expect(quietChanges).toBeGreaterThan(100)
  })
})
