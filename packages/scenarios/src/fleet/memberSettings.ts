import type { OrganisationNames } from './fleetOptions.js'

/** Key that signs sheet heads in fixtures. */
export const FLEET_KEY = 'fixture-fleet-key-0123456789'
/** Key of the fixture's operator; the administration settings contain its hash. */
export const OPERATOR_KEY = 'fixture-operator-key'
const LOOPBACK = '127.0.0.1'
const loopbackListener = (port = 0): Record<string, unknown> => ({ host: LOOPBACK, port })

export function platformSettings (): Record<string, unknown> {
  return { listen: loopbackListener(), log: { level: 'warn' }, instanceListLagMilliseconds: 1000 }
}

export function engineSettings (id: string, names: OrganisationNames): Record<string, unknown> {
  return {
    id,
    kind: 'BACKEND_SERVER_KIND_ENGINE',
    target: names.model,
    listen: loopbackListener(),
    log: { level: 'warn' },
    slots: 8,
    tokenMilliseconds: 5,
    prefillMilliseconds: 20,
    cacheBlocks: 4096,
    loadReportLagMilliseconds: 200,
    cacheEventLagMilliseconds: 200,
    cacheEventLoss: 0.01,
    checksFencing: true,
    crashMarker: '[crash]'
  }
}

export function plainServiceSettings (id: string, names: OrganisationNames): Record<string, unknown> {
  return { id, kind: 'BACKEND_SERVER_KIND_PLAIN_SERVICE', target: names.service, listen: loopbackListener(), log: { level: 'warn' }, slots: 32, loadReportLagMilliseconds: 200, crashMarker: '[crash]' }
}

export function routerSettings (instanceId: string, index: number, names: OrganisationNames, platformAddress: string, advertisedPeerAddress: string): Record<string, unknown> {
  return {
    instanceId,
    failureDomain: names.failureDomains[index % names.failureDomains.length],
    callers: loopbackListener(),
    operations: loopbackListener(),
    peers: loopbackListener(),
    advertisedPeerAddress,
    platform: { address: platformAddress, timeoutMilliseconds: 1000 },
    log: { level: 'info' },
    budget: { refusalPreference: `REFUSAL_PREFERENCE_${names.refusalPreference}`, transferPath: 'TRANSFER_PATH_DIRECT' },
    routing: { policy: 'ROUTING_POLICY_SCORED' },
    fleetKey: FLEET_KEY,
    requestDeadlineMilliseconds: 20_000,
    bodyLimitBytes: 1_048_576,
    whenIsolated: 'ISOLATION_POLICY_SERVE'
  }
}

export function administrationSettings (instanceId: string, platformAddress: string, routerAddresses: readonly string[], operatorKeySha256: string): Record<string, unknown> {
  return {
    instanceId,
    listen: loopbackListener(),
    platform: { address: platformAddress, timeoutMilliseconds: 1000 },
    log: { level: 'info' },
    routerAddresses,
    fleetKey: FLEET_KEY,
    operators: [{ name: 'fixture', role: 'OPERATOR_ROLE_OPERATOR', keySha256: operatorKeySha256 }]
  }
}
