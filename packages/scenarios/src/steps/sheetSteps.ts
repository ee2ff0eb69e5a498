import { Given, Then, When } from '@cucumber/cucumber'
import { createClient } from '@connectrpc/connect'
import { createConnectTransport } from '@connectrpc/connect-node'
import { PeerService } from '@quinceshunt/schemas'
import { HEAD_KEY, decodeHead } from '@quinceshunt/sheet'
import assert from 'node:assert/strict'
import { promptOf } from '../callers/checkAnswer.js'
import { sendChat, type ChatAnswer } from '../callers/sendChat.js'
import { readRuns } from '../fleet/backendRecord.js'
import type { FleetMember } from '../fleet/fleetMember.js'
import { budgetOf, keyOf } from '../fleet/fleetSheet.js'
import type { Fleet } from '../fleet/startFleet.js'
import { runAt, writeTemporary, type CommandResult } from './administrationCommandLine.js'
import { eventually } from './eventually.js'
import { FleetWorld } from './world.js'

const SHORT_TOKENS = 4
/** Section 2 of the design page: in force on every reachable instance. */
const IN_FORCE_MILLISECONDS = 4000
const SAME_SHEET_MILLISECONDS = 10_000

interface Applied {
  /** As the administration process reports it. */
  readonly inForceAfterMilliseconds: number
  /** From the acceptance until all routers, asked one by one, had it; undefined when one had not within the target. */
  readonly allAfterMilliseconds: number | undefined
}
interface Race { readonly baseRevision: bigint, readonly results: readonly CommandResult[] }
type SheetWorld = FleetWorld & { applied?: Applied[], races?: Race[], newRouter?: FleetMember, issuedKey?: string, revisionBefore?: bigint }

/** The fixture's sheet with one more top-up, so that each is different. */
function sheetVariant (fleet: Fleet, name: string): string {
  return writeTemporary(`${name}.yaml`, fleet.sheetText.replace('topUps:', `topUps:\n      - id: ${name}\n        tokens: 1000`))
}

async function revisionOf (router: FleetMember): Promise<bigint> {
  const client = createClient(PeerService, createConnectTransport({ baseUrl: router.address('peers'), httpVersion: '1.1', defaultTimeoutMs: 2000 }))
  return (await client.status({})).sheetRevision
}

async function headInForce (fleet: Fleet): Promise<bigint> {
  return decodeHead((await fleet.platform.ports.table.read([HEAD_KEY]))[0])?.revision ?? 0n
}

async function chatThrough (fleet: Fleet, router: FleetMember, key = keyOf(fleet.accounts[0]!.id)): Promise<ChatAnswer> {
  return await sendChat({ address: router.address(), key, model: fleet.names.model, messages: promptOf(`hello ${router.id}`, SHORT_TOKENS), maxTokens: SHORT_TOKENS })
}

Given('{int} administration process(es)', function (this: SheetWorld, administrations: number) {
  this.configure({ administrations })
})

Given('1 administration process that reaches only {string}', async function (this: SheetWorld, routerId: string) {
  this.configure({ administrations: 1 })
  const fleet = await this.fleet()
  for (const router of fleet.routers) if (router.id !== routerId) fleet.network.cut('administration-1', router.id)
})

When('the table service is down for all routers but {string}', async function (this: SheetWorld, routerId: string) {
  const fleet = await this.fleet()
  for (const { id } of fleet.routers) if (id !== routerId) await fleet.platform.setFault({ kind: 'down', instanceId: id })
})

When('an operator applies {int} sheets, one after the other', async function (this: SheetWorld, count: number) {
  const fleet = await this.fleet()
  const applied: Applied[] = []
  for (let index = 0; index < count; index++) {
    const result = await runAt(fleet.administrations[0]!.address(), ['sheet', 'apply', sheetVariant(fleet, `next-${Date.now()}`), '--json'])
    assert.equal(result.code, 0, result.error)
    const { head, inForceAfterMilliseconds } = JSON.parse(result.out) as { head: { revision: string, acceptedAt: string }, inForceAfterMilliseconds: number }
    const acceptedAt = Number(head.acceptedAt)
    const within = Math.max(1, acceptedAt + IN_FORCE_MILLISECONDS - Date.now())
    const reached = await eventually(within, async () => await findRevisionFault(fleet, BigInt(head.revision))).then(() => true, () => false)
    applied.push({ inForceAfterMilliseconds, allAfterMilliseconds: reached ? Date.now() - acceptedAt : undefined })
  }
  this.applied = applied
})

Then('each was in force on all {int} routers within {int} ms', async function (this: SheetWorld, routers: number, milliseconds: number) {
  const fleet = await this.fleet()
  this.log(`in force after, as reported: ${this.applied!.map((entry) => entry.inForceAfterMilliseconds).join(', ')} ms; on all ${routers} routers: ${this.applied!.map((entry) => entry.allAfterMilliseconds).join(', ')} ms`)
  assert.equal(fleet.routers.length, routers)
  for (const { inForceAfterMilliseconds, allAfterMilliseconds } of this.applied!) {
    assert.ok(inForceAfterMilliseconds > 0 && inForceAfterMilliseconds <= milliseconds, `${inForceAfterMilliseconds} ms`)
    assert.ok(allAfterMilliseconds !== undefined && allAfterMilliseconds <= milliseconds, `${allAfterMilliseconds} ms`)
  }
})

async function findRevisionFault (fleet: Fleet, revision: bigint): Promise<string | undefined> {
  const revisions = await Promise.all(fleet.routers.map(revisionOf))
  return revisions.every((found) => found === revision) ? undefined : `revisions are ${revisions.join(', ')}, not ${revision}`
}

When('{int} times two operators apply different sheets on the same revision through both processes', async function (this: SheetWorld, times: number) {
  const fleet = await this.fleet()
  const races: Race[] = []
  for (let index = 0; index < times; index++) {
    const baseRevision = await headInForce(fleet)
    const results = await Promise.all(fleet.administrations.map((administration) => runAt(administration.address(),
      ['sheet', 'apply', sheetVariant(fleet, `race-${index}-${administration.id}`), '--base-revision', String(baseRevision), '--wait-milliseconds', '0', '--json'])))
    races.push({ baseRevision, results })
  }
  this.races = races
})

Then('each time one is accepted and the other ends with exit code 3', async function (this: SheetWorld) {
  const fleet = await this.fleet()
  for (const { baseRevision, results } of this.races!) {
    assert.deepEqual(results.map(({ code }) => code).sort(), [0, 3], results.map(({ error }) => error).join('\n'))
    const accepted = JSON.parse(results.find(({ code }) => code === 0)!.out) as { head: { revision: string } }
    assert.equal(BigInt(accepted.head.revision), baseRevision + 1n)
    assert.match(results.find(({ code }) => code === 3)!.error, new RegExp(`revision ${baseRevision + 1n} by fixture is in force`))
  }
  const first = this.races![0]!.baseRevision
  assert.equal(await headInForce(fleet), first + BigInt(this.races!.length))
})

Then('all routers have the same sheet in force', async function (this: SheetWorld) {
  const fleet = await this.fleet()
  await eventually(SAME_SHEET_MILLISECONDS, async () => await findRevisionFault(fleet, await headInForce(fleet)))
})

When('the table service and the object store are down for all instances and for {string}', async function (this: SheetWorld, routerId: string) {
  const { platform } = await this.fleet()
  for (const service of ['table', 'objects'] as const) {
    await platform.setFault({ kind: 'down', service })
    await platform.setFault({ kind: 'down', service, instanceId: routerId })
  }
})

When('one more router starts', async function (this: SheetWorld) {
  this.newRouter = await (await this.fleet()).addRouter()
})

Then('it is ready with the revision of the others within {int} ms', async function (this: SheetWorld, milliseconds: number) {
  const fleet = await this.fleet()
  const startedAt = Date.now()
  await eventually(milliseconds, async () => await findRevisionFault(fleet, await headInForce(fleet)))
  await fleet.waitUntilReady([this.newRouter!])
  this.log(`ready ${Date.now() - startedAt} ms after it listened`)
})

Then('it answers callers', async function (this: SheetWorld) {
  const fleet = await this.fleet()
  const response = await fetch(`${this.newRouter!.address()}/v1/models`, { headers: { authorization: `Bearer ${keyOf(fleet.accounts[0]!.id)}` } })
  assert.equal(response.status, 200)
})

When('{string} is cut off from the platform and all instances', async function (this: SheetWorld, routerId: string) {
  const fleet = await this.fleet()
  this.revisionBefore = await revisionOf(fleet.member(routerId))
  fleet.network.isolate(routerId)
  await fleet.platform.setFault({ kind: 'down', instanceId: routerId })
})

When('everything is connected again', async function (this: SheetWorld) {
  const fleet = await this.fleet()
  fleet.network.heal()
  await fleet.platform.clearFaults()
})

async function modelsStatus (fleet: Fleet, router: FleetMember): Promise<number> {
  return (await fetch(`${router.address()}/v1/models`, { headers: { authorization: `Bearer ${keyOf(fleet.accounts[0]!.id)}` } })).status
}

Then('{string} keeps its revision and still answers callers', async function (this: SheetWorld, routerId: string) {
  const fleet = await this.fleet()
  const router = fleet.member(routerId)
  assert.equal(await revisionOf(router), this.revisionBefore)
  assert.ok(await headInForce(fleet) > this.revisionBefore!)
  assert.equal(await modelsStatus(fleet, router), 200)
})

Then('after {int} s {string} answers callers with {int}', async function (this: SheetWorld, seconds: number, routerId: string, status: number) {
  const fleet = await this.fleet()
  await new Promise((resolve) => setTimeout(resolve, seconds * 1000))
  assert.equal(await modelsStatus(fleet, fleet.member(routerId)), status)
})

Then('within {int} s {string} answers callers with {int}', async function (this: SheetWorld, seconds: number, routerId: string, status: number) {
  const fleet = await this.fleet()
  await eventually(seconds * 1000, async () => {
    const found = await modelsStatus(fleet, fleet.member(routerId))
    return found === status ? undefined : `the answer is ${found}`
  })
})

When('an operator issues a key, revokes the key of {string} and drains {string}', async function (this: SheetWorld, revoked: string, drained: string) {
  const fleet = await this.fleet()
  const { id } = fleet.accounts[0]!
  const run = async (...words: string[]): Promise<string> => {
    const result = await runAt(fleet.administrations[0]!.address(), words)
    assert.equal(result.code, 0, result.error)
    return result.out.trim()
  }
  this.issuedKey = await run('key', 'issue', '--account', id, '--budget', budgetOf(id))
  await run('key', 'revoke', `key-${revoked}`)
  await run('backend', 'drain', drained)
})

Then('within {int} s every router takes the issued key, refuses the key of {string} and sends nothing to {string}', async function (this: SheetWorld, seconds: number, revoked: string, drained: string) {
  const fleet = await this.fleet()
  const engine = fleet.member(drained)
  await eventually(seconds * 1000, async () => {
    const before = (await readRuns([engine])).length
    const taken = await Promise.all(fleet.routers.map(async (router) => {
      const answer = await chatThrough(fleet, router, this.issuedKey)
      return answer.error?.code ?? answer.status
    }))
    const refused = await Promise.all(fleet.routers.map(async (router) => (await chatThrough(fleet, router, keyOf(revoked))).status))
    const sent = (await readRuns([engine])).length - before
    return taken.every((status) => status === 200) && refused.every((status) => status === 401) && sent === 0 ? undefined : `issued ${taken.join(' ')}, revoked ${refused.join(' ')}, ${sent} sent to ${drained}`
  })
})
