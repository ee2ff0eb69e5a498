import { create } from '@bufbuild/protobuf'
import { createClient, type Client } from '@connectrpc/connect'
import { createConnectTransport } from '@connectrpc/connect-node'
import { systemClock } from '@quinceshunt/effects'
import { createMemoryPlatform, type Platform } from '@quinceshunt/table-store'
import { AdministrationService, AdministrationSettingsSchema, OperatorRole, SheetFormat, type SheetHead } from '@quinceshunt/schemas'
import { createLogger } from '@quinceshunt/telemetry'
import { createHash } from 'node:crypto'
import { readFileSync } from 'node:fs'
import { startAdministrationServer } from '../administrationServer.js'
import type { RouterFleet } from '../routerFleet.js'

export const FLEET_KEY = 'fleet-key-of-the-tests'
export const ROLES = { reader: OperatorRole.READER, planner: OperatorRole.PLANNER, operator: OperatorRole.OPERATOR, second: OperatorRole.OPERATOR } as const
export type OperatorName = keyof typeof ROLES
export type AdministrationClient = Client<typeof AdministrationService>

/** CSV of the example sheet; `topUpId` replaces the ID of one budget's top-up. */
export function sheetContent (topUpId = 'december'): Uint8Array {
  return new TextEncoder().encode(readFileSync('examples/taller.sheet.csv', 'utf8').replace('top_up,december,,,,colegio', `top_up,${topUpId},,,,colegio`))
}

export const applyRequest = (baseRevision: bigint, topUpId?: string): { format: SheetFormat, content: Uint8Array, baseRevision: bigint } => ({ format: SheetFormat.CSV, content: sheetContent(topUpId), baseRevision })

export interface Fixture {
  readonly platform: ReturnType<typeof createMemoryPlatform>
  readonly announcedHeads: SheetHead[]
  readonly address: string
  client (operator: OperatorName | 'stranger'): AdministrationClient
  stop (): Promise<void>
}

/** Starts an administration API on an in-memory platform; `wrap` may inject faults. */
export async function startFixture (wrap: (platform: Platform) => Platform = (platform) => platform): Promise<Fixture> {
  const platform = createMemoryPlatform()
  const announcedHeads: SheetHead[] = []
  const fleet: RouterFleet = {
    announceHead: async (head) => { announcedHeads.push(head) },
    status: async () => [],
    waitUntilInForce: async () => ({ routers: [], inForceAt: undefined })
  }
  const operators = Object.entries(ROLES).map(([name, role]) => ({ name, role, keySha256: createHash('sha256').update(`key of ${name}`.replaceAll(' ', '-')).digest('hex') }))
  const settings = create(AdministrationSettingsSchema, { listen: { host: '127.0.0.1', port: 0 }, operators })
  const logger = createLogger({ name: 'test', instanceId: 'administration', level: 'fatal' })
  const server = await startAdministrationServer(settings, { platform: wrap(platform), fleet, fleetKey: FLEET_KEY, clock: systemClock, logger })
  return {
    platform,
    announcedHeads,
    address: server.address,
    client: (operator) => createClient(AdministrationService, createConnectTransport({
      baseUrl: server.address,
      httpVersion: '1.1',
      useBinaryFormat: true,
      interceptors: [(next) => (request) => {
        request.header.set('authorization', `Bearer key-of-${operator}`)
        return next(request)
      }]
    })),
    stop: async () => await server.stop()
  }
}
