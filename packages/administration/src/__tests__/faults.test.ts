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

/** Every call takes effect, and every second reply is lost, counted by kind of call. */
function loseReplies (platform: Platform): Platform {
  const calls = { transact: 0, other: 0 }
  const answer = async <Result>(kind: keyof typeof calls, call: Promise<Result>): Promise<Result> => {
    const result = await call
    if (calls[kind]++ % 2 === 0) throw new PlatformOutcomeUnknownError('reply lost')
    return result
  }
  const { table, objects } = platform
  return {
    ...platform,
    table: {
      read: (keys) => answer('other', table.read(keys)),
      scan: (prefix, startAfter, limit) => answer('other', table.scan(prefix, startAfter, limit)),
      transact: (checks, writes) => answer('transact', table.transact(checks, writes))
    },
    objects: { get: (name) => answer('other', objects.get(name)), put: (name, content) => answer('other', objects.put(name, content)) }
  }
}

describe('faults of the platform', () => {
  // Guards against a change that is made twice, or reported as failed, when its reply is lost.
  test('lost replies change nothing for operators', async () => {
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

  test('an outage is reported as such', async () => {
    const refuse = async (): Promise<never> => { throw new PlatformUnavailableError('table read failed', { props: { step: 'table read', peer: '' } }) }
    const fixture = await startFixture((platform) => ({ ...platform, table: { read: refuse, scan: refuse, transact: refuse } }))
    const error = await fixture.client('reader').showSheet({}).catch((reason: unknown) => ConnectError.from(reason))
    expect(error).toMatchObject({ code: Code.Unavailable })
    await fixture.stop()
  })
})

/** A router that takes a head after some polls of its status. */
async function startRouter (instanceId: string, statusesBefore: number): Promise<{ address: string, heads: bigint[], stop: () => void }> {
  const heads: bigint[] = []
  let statuses = 0
  const server = createServer(connectNodeAdapter({
    routes: (router) => {
      router.service(PeerService, {
        gossip: async ({ sheet }) => {
          heads.push(sheet!.revision)
          return {}
        },
        status: async () => ({ identity: { instanceId }, ready: true, sheetRevision: ++statuses > statusesBefore ? 7n : 6n })
      })
    }
  }))
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
  return { address: `http://127.0.0.1:${(server.address() as AddressInfo).port}`, heads, stop: () => server.close().closeAllConnections() }
}

describe('routerFleet', () => {
  test('offers heads to several routers and waits only for those that answer', async () => {
    const routers = await Promise.all([startRouter('router-1', 0), startRouter('router-2', 2), startRouter('router-3', Infinity)])
    const instances = { list: async () => ({ instances: [], asOf: 0 }) }
    const fleetOf = (addresses: string[]): ReturnType<typeof createRouterFleet> => createRouterFleet({ instances, addresses, tls: undefined, clock: systemClock, logger })
    const [first, second, third] = routers.map(({ address }) => address) as [string, string, string]
    await fleetOf([first, second, third, 'http://127.0.0.1:9']).offerHead(create(SheetHeadSchema, { revision: 7n }))
    expect(routers.filter(({ heads }) => heads.includes(7n)).length).toBeGreaterThanOrEqual(2)
    const reached = await fleetOf([first, second, 'http://127.0.0.1:9']).waitUntilInForce(7n, Date.now() + 5000)
    expect(reached.reachedAt).toBeDefined()
    expect(reached.routers.map(({ instanceId, status }) => [instanceId, status?.sheetRevision])).toEqual([['router-1', 7n], ['router-2', 7n], ['', undefined]])
    expect((await fleetOf([third]).waitUntilInForce(7n, Date.now() + 200)).reachedAt).toBeUndefined()
    for (const router of routers) router.stop()
  })
})

describe('loadAdministrationSettings', () => {
  // Guards against settings that fail only once they are used, and against a secret in an error message.
  test('names every problem and hides the fleet key', () => {
    const file = join(mkdtempSync(join(tmpdir(), 'settings-')), 'administration.yaml')
    writeFileSync(file, 'instanceId: a\nlisten: {host: 127.0.0.1}\nplatform: {address: "http://127.0.0.1:1"}\nfleetKey: too-short\nrouterAddresses: ["router:1"]\noperators: [{name: a b, keySha256: x}]\n')
    const message = (() => { try { return String(loadAdministrationSettings(file)) } catch (error) { return String(error) } })()
    for (const key of ['fleetKey', 'routerAddresses[0]', 'operators[0].name', 'operators[0].role', 'operators[0].keySha256']) expect(message).toContain(`${key}: `)
    expect(message).not.toContain('too-short')
  })
})
