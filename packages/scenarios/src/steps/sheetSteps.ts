import { Given, Then, When } from '@cucumber/cucumber'
import { createClient } from '@connectrpc/connect'
import { createConnectTransport } from '@connectrpc/connect-node'
import { PeerService } from '@quinceshunt/schemas'
import { HEAD_KEY, decodeHead } from '@quinceshunt/sheet'
import assert from 'node:assert/strict'
import { createPrompt } from '../callers/findResponseFault.js'
import { sendChat, type ChatResponse } from '../callers/sendChat.js'
import { readRuns } from '../fleet/backendRecord.js'
import type { FleetMember } from '../fleet/fleetMember.js'
import { budgetIdOf, bearerKeyOf } from '../fleet/fleetSheet.js'
import type { Fleet } from '../fleet/startFleet.js'
import { runOperatorCommand, writeTemporaryFile, type CommandResult } from './runCommand.js'
import { eventually } from './eventually.js'
import { FleetWorld } from './world.js'

const SHORT_ANSWER_TOKENS = 4
/** Time in which a revision becomes active on every reachable instance, from section 2 of the design page. */
const ACTIVATION_TIMEOUT_MS = 4000
const CONVERGENCE_TIMEOUT_MS = 10_000

/** What the routers reported about a revision until the target had passed. */
type RouterReports =
  /** Time from acceptance until every router reported the revision. */
  | { readonly kind: 'activeOnAll', readonly afterMilliseconds: number }
  | { readonly kind: 'notOnAll', readonly fault: string }
interface SheetActivation {
  /** Reported by the administration process; 0 if it did not see the revision in force. */
  readonly inForceAfterMilliseconds: number
  readonly routers: RouterReports
}
interface ConcurrentApply { readonly baseRevision: bigint, readonly results: readonly CommandResult[] }
type SheetWorld = FleetWorld & { activations?: SheetActivation[], concurrentApplies?: ConcurrentApply[], newRouter?: FleetMember, issuedKey?: string, revisionBefore?: bigint }

/** Writes the fixture's sheet with an additional top-up, so that each variant differs. */
function writeSheetVariant (fleet: Fleet, name: string): string {
  return writeTemporaryFile(`${name}.yaml`, fleet.sheetText.replace('topUps:', `topUps:\n      - id: ${name}\n        tokens: 1000`))
}

async function readRouterRevision (router: FleetMember): Promise<bigint> {
  const client = createClient(PeerService, createConnectTransport({ baseUrl: router.address('peers'), httpVersion: '1.1', defaultTimeoutMs: 2000 }))
  return (await client.status({})).sheetRevision
}

async function readActiveRevision (fleet: Fleet): Promise<bigint> {
  return decodeHead((await fleet.platform.client.table.read([HEAD_KEY]))[0])?.revision ?? 0n
}

async function sendChatThrough (fleet: Fleet, router: FleetMember, key = bearerKeyOf(fleet.accounts[0]!.id)): Promise<ChatResponse> {
  return await sendChat({ address: router.address(), key, model: fleet.names.model, messages: createPrompt(`hello ${router.id}`, SHORT_ANSWER_TOKENS), maxTokens: SHORT_ANSWER_TOKENS })
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
  const activations: SheetActivation[] = []
  for (let index = 0; index < count; index++) {
    const result = await runOperatorCommand(fleet.administrations[0]!.address(), ['sheet', 'apply', writeSheetVariant(fleet, `next-${Date.now()}`), '--json'])
    assert.equal(result.code, 0, result.stderr)
    const { head, inForceAfterMilliseconds } = JSON.parse(result.stdout) as { head: { revision: string, acceptedAt: string }, inForceAfterMilliseconds: number }
    const acceptedAt = Number(head.acceptedAt)
    const remainingMilliseconds = Math.max(1, acceptedAt + ACTIVATION_TIMEOUT_MS - Date.now())
    const routers = await eventually(remainingMilliseconds, async () => await findRevisionFault(fleet, BigInt(head.revision))).then(
      (): RouterReports => ({ kind: 'activeOnAll', afterMilliseconds: Date.now() - acceptedAt }),
      (error: unknown): RouterReports => ({ kind: 'notOnAll', fault: `${Date.now() - acceptedAt} ms after acceptance: ${String(error)}` }))
    activations.push({ inForceAfterMilliseconds, routers })
  }
  this.activations = activations
})

Then('each was active on all {int} routers within {int} ms', async function (this: SheetWorld, routers: number, milliseconds: number) {
  const fleet = await this.fleet()
  this.log(`active after, as reported: ${this.activations!.map((entry) => entry.inForceAfterMilliseconds).join(', ')} ms; on all ${routers} routers: ${this.activations!.map((entry) => entry.routers.kind === 'activeOnAll' ? `${entry.routers.afterMilliseconds} ms` : entry.routers.fault).join(', ')}`)
  assert.equal(fleet.routers.length, routers)
  for (const { inForceAfterMilliseconds, routers: reports } of this.activations!) {
    const fault = reports.kind === 'notOnAll' ? `not active on all routers ${reports.fault}` : ''
    assert.ok(inForceAfterMilliseconds > 0 && inForceAfterMilliseconds <= milliseconds, `in force after ${inForceAfterMilliseconds} ms as reported; ${fault}`)
    assert.ok(reports.kind === 'activeOnAll', fault)
    assert.ok(reports.afterMilliseconds <= milliseconds, `active on all routers after ${reports.afterMilliseconds} ms`)
  }
})

async function findRevisionFault (fleet: Fleet, revision: bigint): Promise<string | undefined> {
  const revisions = await Promise.all(fleet.routers.map(readRouterRevision))
  return revisions.every((found) => found === revision) ? undefined : `revisions are ${revisions.join(', ')}, expected ${revision}`
}

When('{int} times two operators apply different sheets based on the same revision through both processes', async function (this: SheetWorld, times: number) {
  const fleet = await this.fleet()
  const concurrentApplies: ConcurrentApply[] = []
  for (let index = 0; index < times; index++) {
    const baseRevision = await readActiveRevision(fleet)
    const results = await Promise.all(fleet.administrations.map((administration) => runOperatorCommand(administration.address(),
      ['sheet', 'apply', writeSheetVariant(fleet, `race-${index}-${administration.id}`), '--base-revision', String(baseRevision), '--wait-milliseconds', '0', '--json'])))
    concurrentApplies.push({ baseRevision, results })
  }
  this.concurrentApplies = concurrentApplies
})

Then('each time one is accepted and the other ends with exit code 3', async function (this: SheetWorld) {
  const fleet = await this.fleet()
  for (const { baseRevision, results } of this.concurrentApplies!) {
    assert.deepEqual(results.map(({ code }) => code).sort(), [0, 3], results.map(({ stderr }) => stderr).join('\n'))
    const accepted = JSON.parse(results.find(({ code }) => code === 0)!.stdout) as { head: { revision: string } }
    assert.equal(BigInt(accepted.head.revision), baseRevision + 1n)
    assert.match(results.find(({ code }) => code === 3)!.stderr, new RegExp(`revision ${baseRevision + 1n} by fixture is in force`))
  }
  const first = this.concurrentApplies![0]!.baseRevision
  assert.equal(await readActiveRevision(fleet), first + BigInt(this.concurrentApplies!.length))
})

Then('all routers have the same active sheet', async function (this: SheetWorld) {
  const fleet = await this.fleet()
  await eventually(CONVERGENCE_TIMEOUT_MS, async () => await findRevisionFault(fleet, await readActiveRevision(fleet)))
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

Then('it is ready with the revision of the other routers within {int} ms', async function (this: SheetWorld, milliseconds: number) {
  const fleet = await this.fleet()
  const startedAt = Date.now()
  await eventually(milliseconds, async () => await findRevisionFault(fleet, await readActiveRevision(fleet)))
  await fleet.waitUntilReady([this.newRouter!])
  this.log(`ready ${Date.now() - startedAt} ms after it started to listen`)
})

Then('it serves requests', async function (this: SheetWorld) {
  const fleet = await this.fleet()
  const response = await fetch(`${this.newRouter!.address()}/v1/models`, { headers: { authorization: `Bearer ${bearerKeyOf(fleet.accounts[0]!.id)}` } })
  assert.equal(response.status, 200)
})

When('{string} is partitioned from the platform and all instances', async function (this: SheetWorld, routerId: string) {
  const fleet = await this.fleet()
  this.revisionBefore = await readRouterRevision(fleet.member(routerId))
  fleet.network.isolate(routerId)
  await fleet.platform.setFault({ kind: 'down', instanceId: routerId })
})

When('the partition is healed', async function (this: SheetWorld) {
  const fleet = await this.fleet()
  fleet.network.heal()
  await fleet.platform.clearFaults()
})

async function requestModelsStatus (fleet: Fleet, router: FleetMember): Promise<number> {
  return (await fetch(`${router.address()}/v1/models`, { headers: { authorization: `Bearer ${bearerKeyOf(fleet.accounts[0]!.id)}` } })).status
}

Then('{string} keeps its revision and still serves requests', async function (this: SheetWorld, routerId: string) {
  const fleet = await this.fleet()
  const router = fleet.member(routerId)
  assert.equal(await readRouterRevision(router), this.revisionBefore)
  assert.ok(await readActiveRevision(fleet) > this.revisionBefore!)
  assert.equal(await requestModelsStatus(fleet, router), 200)
})

Then('after {int} s {string} responds with status {int}', async function (this: SheetWorld, seconds: number, routerId: string, status: number) {
  const fleet = await this.fleet()
  await new Promise((resolve) => setTimeout(resolve, seconds * 1000))
  assert.equal(await requestModelsStatus(fleet, fleet.member(routerId)), status)
})

Then('within {int} s {string} responds with status {int}', async function (this: SheetWorld, seconds: number, routerId: string, status: number) {
  const fleet = await this.fleet()
  await eventually(seconds * 1000, async () => {
    const actualStatus = await requestModelsStatus(fleet, fleet.member(routerId))
    return actualStatus === status ? undefined : `the status is ${actualStatus}`
  })
})

When('an operator issues a key, revokes the key of {string} and drains {string}', async function (this: SheetWorld, revoked: string, drained: string) {
  const fleet = await this.fleet()
  const { id } = fleet.accounts[0]!
  const runCommandLine = async (...words: string[]): Promise<string> => {
    const result = await runOperatorCommand(fleet.administrations[0]!.address(), words)
    assert.equal(result.code, 0, result.stderr)
    return result.stdout.trim()
  }
  this.issuedKey = await runCommandLine('key', 'issue', '--account', id, '--budget', budgetIdOf(id))
  await runCommandLine('key', 'revoke', `key-${revoked}`)
  await runCommandLine('backend', 'drain', drained)
})

Then('within {int} s every router accepts the issued key, rejects the key of {string} and sends no request to {string}', async function (this: SheetWorld, seconds: number, revoked: string, drained: string) {
  const fleet = await this.fleet()
  const engine = fleet.member(drained)
  await eventually(seconds * 1000, async () => {
    const before = (await readRuns([engine])).length
    const issuedKeyOutcomes = await Promise.all(fleet.routers.map(async (router) => {
      const response = await sendChatThrough(fleet, router, this.issuedKey)
      return response.error?.code ?? response.status
    }))
    const revokedKeyStatuses = await Promise.all(fleet.routers.map(async (router) => (await sendChatThrough(fleet, router, bearerKeyOf(revoked))).status))
    const newRuns = (await readRuns([engine])).length - before
    return issuedKeyOutcomes.every((status) => status === 200) && revokedKeyStatuses.every((status) => status === 401) && newRuns === 0 ? undefined : `issued ${issuedKeyOutcomes.join(' ')}, revoked ${revokedKeyStatuses.join(' ')}, ${newRuns} sent to ${drained}`
  })
})
