import { create, toBinary } from '@bufbuild/protobuf'
import { Code, ConnectError } from '@connectrpc/connect'
import { connectNodeAdapter } from '@connectrpc/connect-node'
import { describe, expect, test } from '@jest/globals'
import { systemClock } from '@quinceshunt/effects'
import type { Platform } from '@quinceshunt/table-store'
import { claimKey } from '@quinceshunt/requests'
import { ClaimRecordSchema, ClaimState, PeerService, SheetHeadSchema } from '@quinceshunt/schemas'
import { createLogger, PlatformOutcomeUnknownError, PlatformUnavailableError } from '@quinceshunt/telemetry'
import { mkdtempSync, writeFileSync } from 'node:fs'
import { createServer } from 'node:http'
import type { AddressInfo } from 'node:net'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { applyRequest, startFixture } from '../__fixtures__/administrationFixture.js'
import { loadAdministrationSettings } from '../options.js'
import { createRouterFleet } from '../routerFleet.js'

const logger = createLogger({ name: 'test', instanceId: 'administration', level: 'fatal' })

/** Every call takes effect, but every second reply is lost; transactions are counted separately from other calls. */
function loseReplies (platform: Platform): Platform {
  const callCounts = { transact: 0, other: 0 }
  const loseEverySecondReply = async <Result>(kind: keyof typeof callCounts, call: Promise<Result>): Promise<Result> => {
    const result = await call
    if (callCounts[kind]++ % 2 === 0) throw new PlatformOutcomeUnknownError('reply lost')
    return result
  }
  const { table, objects } = platform
  return {
    ...platform,
    table: {
      read: (keys) => loseEverySecondReply('other', table.read(keys)),
      scan: (prefix, startAfter, limit) => loseEverySecondReply('other', table.scan(prefix, startAfter, limit)),
      transact: (checks, writes) => loseEverySecondReply('transact', table.transact(checks, writes))
    },
    objects: { get: (name) => loseEverySecondReply('other', objects.get(name)), put: (name, content) => loseEverySecondReply('other', objects.put(name, content)) }
  }
}

describe('platform faults', () => {
  // Guards against a change that is applied twice or reported as failed when its reply is lost.
  test('every change succeeds once when replies are lost', async () => {
    const fixture = await startFixture(loseReplies)
    const client = fixture.client('operator')
    await client.applySheet(applyRequest(0n))
    await client.drainBackendServer({ backendServer: 'painter-1' })
    const topUp = { budgetId: 'colegio-santa-ines-2026', topUpId: 'receipt-1', tokens: 100n }
    expect(await client.topUpBudget(topUp)).toMatchObject({ added: true, budget: { prepaidTokens: 100n } })
    const key = claimKey('colegio-santa-ines', 'deposit-1')
    const claim = toBinary(ClaimRecordSchema, create(ClaimRecordSchema, { state: ClaimState.UNKNOWN }))
    fixture.platform.memoryTable.transact([], [{ key, value: claim, delete: false }])
    await client.resolveClaim({ clientAccount: 'colegio-santa-ines', idempotencyKey: 'deposit-1', ran: true, reason: 'in the ledger' })
    expect((await client.listAudit({})).records.map(({ action }) => action)).toEqual(['claim resolve --ran', 'budget top-up', 'backend drain', 'sheet apply'])
    await fixture.stop()
  })

  test('an outage is reported as unavailable', async () => {
    const refuse = async (): Promise<never> => { throw new PlatformUnavailableError('table read failed', { props: { step: 'table read', peer: '' } }) }
    const fixture = await startFixture((platform) => ({ ...platform, table: { read: refuse, scan: refuse, transact: refuse } }))
    const error = await fixture.client('reader').showSheet({}).catch((reason: unknown) => ConnectError.from(reason))
    expect(error).toMatchObject({ code: Code.Unavailable })
    await fixture.stop()
  })
})

/** Starts a router that reports revision 7 in force after `pollsBefore` status polls. */
async function startRouter (instanceId: string, pollsBefore: number): Promise<{ address: string, heads: bigint[], stop: () => void }> {
  const heads: bigint[] = []
  let polls = 0
  const server = createServer(connectNodeAdapter({
    routes: (router) => {
      router.service(PeerService, {
        gossip: async ({ sheet }) => {
          heads.push(sheet!.revision)
          return {}
        },
        status: async () => ({ identity: { instanceId }, ready: true, sheetRevision: ++polls > pollsBefore ? 7n : 6n })
      })
    }
  }))
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
  return { address: `http://127.0.0.1:${(server.address() as AddressInfo).port}`, heads, stop: () => server.close().closeAllConnections() }
}

describe('routerFleet', () => {
  test('announces heads to several routers and waits only for reachable ones', async () => {
    const routers = await Promise.all([startRouter('router-1', 0), startRouter('router-2', 2), startRouter('router-3', Infinity)])
    const instances = { list: async () => ({ instances: [], asOf: 0 }) }
    const fleetOf = (addresses: string[]): ReturnType<typeof createRouterFleet> => createRouterFleet({ instances, addresses, tls: undefined, clock: systemClock, logger })
    const [first, second, third] = routers.map(({ address }) => address) as [string, string, string]
    await fleetOf([first, second, third, 'http://127.0.0.1:9']).announceHead(create(SheetHeadSchema, { revision: 7n }))
    expect(routers.filter(({ heads }) => heads.includes(7n)).length).toBeGreaterThanOrEqual(2)
    const report = await fleetOf([first, second, 'http://127.0.0.1:9']).waitUntilInForce(7n, Date.now() + 5000)
    expect(report.inForceAt).toBeDefined()
    expect(report.routers.map(({ instanceId, status }) => [instanceId, status?.sheetRevision])).toEqual([['router-1', 7n], ['router-2', 7n], ['', undefined]])
    expect((await fleetOf([third]).waitUntilInForce(7n, Date.now() + 200)).inForceAt).toBeUndefined()
    for (const router of routers) router.stop()
  })
})

describe('loadAdministrationSettings', () => {
  // Guards against invalid settings that fail only at first use, and against a secret in an error message.
  test('lists every problem without showing the fleet key', () => {
    const file = join(mkdtempSync(join(tmpdir(), 'settings-')), 'administration.yaml')
    writeFileSync(file, 'instanceId: a\nlisten: {host: 127.0.0.1}\nplatform: {address: "http://127.0.0.1:1"}\nfleetKey: too-short\nrouterAddresses: ["router:1"]\noperators: [{name: a b, keySha256: x}]\n')
    const message = (() => { try { return String(loadAdministrationSettings(file)) } catch (error) { return String(error) } })()
    for (const key of ['fleetKey', 'routerAddresses[0]', 'operators[0].name', 'operators[0].role', 'operators[0].keySha256']) expect(message).toContain(`${key}: `)
    expect(message).not.toContain('too-short')
  })
})
