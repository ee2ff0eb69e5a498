import { create, type MessageInitShape } from '@bufbuild/protobuf'
import { systemClock } from '@quinceshunt/effects'
import { createMemoryPlatform, type Platform } from '@quinceshunt/table-store'
import { InstanceRole, InstanceState, PeerIdentitySchema, RoutingSettingsSchema, SheetBackendServerSchema, SheetClientAccountSchema, type RoutingSettings, type SheetBackendServer } from '@quinceshunt/schemas'
import { createLogger, createMetrics } from '@quinceshunt/telemetry'
import { createServer, type Server } from 'node:http'
import type { AddressInfo } from 'node:net'
import type { AcquireRequest } from '../backendAcquisition.js'
import type { ConfigurationService, ConfigurationView } from '../services.js'
import type { TaskContext } from '../taskContracts.js'

/** Address on which nothing listens. */
export const CLOSED_ADDRESS = 'http://127.0.0.1:1'

/** Builds a task context, by default with an in-memory platform. */
export function buildTaskContext (instanceId: string, address = '', platform: Platform = createMemoryPlatform()): TaskContext {
  const identity = create(PeerIdentitySchema, { instanceId, incarnation: `${instanceId}-process`, address, failureDomain: 'one' })
  return { identity, platform, clock: systemClock, logger: createLogger({ name: 'test', instanceId, level: 'fatal' }), metrics: createMetrics() }
}

/** Builds backend servers `engine-0`, `engine-1` and so on of the model `painter`. */
export function buildServers (addresses: readonly string[], overrides: MessageInitShape<typeof SheetBackendServerSchema> = {}): SheetBackendServer[] {
  return addresses.map((address, index) => create(SheetBackendServerSchema, { id: `engine-${index}`, target: 'painter', address, slots: 2, failureDomain: 'one', ...overrides }))
}

/** Builds a configuration whose drained backend servers can be changed. */
export function buildConfiguration (servers: readonly SheetBackendServer[]): ConfigurationService & { drain (ids: readonly string[]): void } {
  let listener: (view: ConfigurationView) => void = () => {}
  let revision = 0n
  const publish = (drained: readonly string[]): void => {
    const view = { revision: ++revision, models: new Map([['painter', {}]]), backendServers: new Map([['painter', servers]]), drainedBackendServers: new Set(drained) }
    listener(view as unknown as ConfigurationView)
  }
  return {
    current: () => undefined,
    onChange: (added) => {
      listener = added
      publish([])
    },
    drain: publish
  }
}

export function buildRoutingSettings (overrides: MessageInitShape<typeof RoutingSettingsSchema> = {}): RoutingSettings {
  return create(RoutingSettingsSchema, { queueLimit: 8, loadPollMilliseconds: 50, bulkShare: 0.5, ...overrides })
}

/** A short interactive request with a deadline 10 s ahead. */
export function buildAcquire (overrides: Partial<AcquireRequest> = {}): AcquireRequest {
  return {
    requestId: 'request',
    target: 'painter',
    account: create(SheetClientAccountSchema, { id: 'school', weight: 1 }),
    priority: 'interactive',
    prefixHashes: [],
    promptBytes: 100,
    excluded: new Set(),
    deadline: Date.now() + 10_000,
    signal: new AbortController().signal,
    ...overrides
  }
}

/** Builds an instance list entry of a leaving backend server. */
export function buildLeavingEntry (id: string): unknown {
  return { id, role: InstanceRole.BACKEND_SERVER, state: InstanceState.LEAVING, address: '', incarnation: '', failureDomain: 'one' }
}

/** A test backend server with modifiable reports. */
export interface ReportingServer {
  readonly address: string
  report: { incarnation: string, state: 'live' | 'leaving', running: number, queued: number, slots: number }
  events: unknown
  stop (): Promise<void>
}

/** Starts a server that serves `/load` and `/cache-events`, on a free port or on the port of an address. */
export async function startReportingServer (address = ''): Promise<ReportingServer> {
  const state = { report: { incarnation: 'p1', state: 'live' as 'live' | 'leaving', running: 0, queued: 0, slots: 2 }, events: { events: [], next: 0 } as unknown }
  const server: Server = createServer((request, response) => {
    response.setHeader('content-type', 'application/json')
    response.end(JSON.stringify(request.url === '/load' ? { id: 'engine', asOf: Date.now(), ...state.report } : state.events))
  })
  await new Promise<void>((resolve) => server.listen(address === '' ? 0 : Number(new URL(address).port), '127.0.0.1', resolve))
  return Object.assign(state, {
    address: `http://127.0.0.1:${(server.address() as AddressInfo).port}`,
    stop: () => new Promise<void>((resolve) => {
      server.close(() => resolve())
      server.closeAllConnections()
    })
  })
}
