import { Then, When } from '@cucumber/cucumber'
import assert from 'node:assert/strict'
import { callService, type ServiceResponse } from '../callers/callService.js'
import { findResponseFault, createPrompt } from '../callers/findResponseFault.js'
import { sendChat } from '../callers/sendChat.js'
import { readRecord, readRuns } from '../fleet/backendRecord.js'
import { bearerKeyOf } from '../fleet/fleetSheet.js'
import { eventually } from './eventually.js'
import type { FleetWorld } from './world.js'

const IDEMPOTENCY_KEY = 'deposit-of-the-school'
const DEPOSIT_BODY = '{"commission":"c-17","amount":40}'
/** Processing time of a deposit, so that a second one arrives while the first is in progress. */
const DEPOSIT_DURATION_MS = 800
/** Time for a request to reach its backend server. */
const ARRIVAL_TIMEOUT_MS = 3000
/** Covers two reads of a lagging instance list and one gossip round. */
const PEER_DISCOVERY_TIMEOUT_MS = 15_000
/** Long enough that streams are still running when the engine is killed. */
const STREAM_TOKENS = 300

async function sendDeposit (world: FleetWorld, router: string, body = DEPOSIT_BODY): Promise<ServiceResponse> {
  const fleet = await world.fleet()
  const response = await callService({
    address: fleet.member(router).address(),
    key: bearerKeyOf(fleet.accounts[0]!.id),
    service: fleet.names.service,
    method: 'POST',
    path: `${fleet.names.actionPath}?delay=${DEPOSIT_DURATION_MS}`,
    idempotencyKey: IDEMPOTENCY_KEY,
    body
  })
  world.serviceResponses.push(response)
  return response
}

async function countDepositRuns (world: FleetWorld): Promise<number> {
  return (await readRuns((await world.fleet()).plainServices)).filter((run) => run.idempotencyKey === IDEMPOTENCY_KEY).length
}

When('a deposit is sent through {string}', async function (this: FleetWorld, router: string) {
  await sendDeposit(this, router)
})

When('the deposit is sent again through {string}', async function (this: FleetWorld, router: string) {
  await sendDeposit(this, router)
})

When('its idempotency key is reused with another body through {string}', async function (this: FleetWorld, router: string) {
  await sendDeposit(this, router, '{"commission":"c-17","amount":50}')
})

When('the same deposit is sent through {string} and {string} at the same time', async function (this: FleetWorld, first: string, second: string) {
  await this.fleet()
  await Promise.all([sendDeposit(this, first), sendDeposit(this, second)])
})

When('a deposit is in progress through {string}, which is then killed', async function (this: FleetWorld, router: string) {
  const fleet = await this.fleet()
  const pendingDeposit = sendDeposit(this, router)
  await eventually(ARRIVAL_TIMEOUT_MS, async () => await countDepositRuns(this) > 0 ? undefined : 'the deposit has not arrived')
  await fleet.member(router).kill()
  assert.equal((await pendingDeposit).status, 0)
})

When('the routers have discovered each other', async function (this: FleetWorld) {
  const { routers } = await this.fleet()
  for (const router of routers) {
    await eventually(PEER_DISCOVERY_TIMEOUT_MS, async () => {
      const response = await fetch(`${router.address('peers')}/quinceshunt.v1.PeerService/Status`, { method: 'POST', headers: { 'content-type': 'application/json' }, body: '{}' })
      const { peers = [] } = await response.json() as { peers?: unknown[] }
      return peers.length === routers.length - 1 ? undefined : `${router.id} has ${peers.length} peers`
    })
  }
})

When('{string} is started again', async function (this: FleetWorld, router: string) {
  const fleet = await this.fleet()
  await fleet.member(router).restart()
  await fleet.waitUntilReady([fleet.member(router)])
})

When('the table service is unreachable', async function (this: FleetWorld) {
  await (await this.fleet()).platform.setFault({ kind: 'down', service: 'table' })
})

When('the table service is reachable again', async function (this: FleetWorld) {
  await (await this.fleet()).platform.clearFaults()
})

When('all replies of the table are lost for {int} ms while a deposit is sent through {string}', async function (this: FleetWorld, milliseconds: number, router: string) {
  const fleet = await this.fleet()
  await fleet.platform.setFault({ kind: 'loseReplies', service: 'table' })
  const pendingDeposit = sendDeposit(this, router)
  await new Promise((resolve) => setTimeout(resolve, milliseconds))
  assert.equal(await countDepositRuns(this), 0, 'a request must not be sent before its claim is confirmed')
  await fleet.platform.clearFaults()
  await pendingDeposit
})

Then('both callers get the same response', function (this: FleetWorld) {
  const [first, second] = this.serviceResponses
  assert.equal(first!.status, 200)
  assert.equal(first!.result?.received, DEPOSIT_BODY)
  assert.deepEqual([second!.status, second!.text], [first!.status, first!.text])
})

Then('the deposit was run {int} times', async function (this: FleetWorld, times: number) {
  assert.equal(await countDepositRuns(this), times)
})

Then('the last response has status {int}, code {string} and run {string}', function (this: FleetWorld, status: number, code: string, run: string) {
  const { status: actualStatus, error } = this.serviceResponses.at(-1)!
  assert.deepEqual([actualStatus, error?.code, error?.run], [status, code, run])
})

Then('the last caller gets the response to the deposit', function (this: FleetWorld) {
  const { status, result } = this.serviceResponses.at(-1)!
  assert.deepEqual([status, result?.received, result?.count], [200, DEPOSIT_BODY, 1])
})

When('an engine is killed while {int} callers read streams through each router', async function (this: FleetWorld, callers: number) {
  const fleet = await this.fleet()
  const calls = fleet.routers.flatMap((router) => Array.from({ length: callers }, (_unused, index) => ({
    address: router.address(), key: bearerKeyOf(fleet.accounts[0]!.id), model: fleet.names.model, messages: createPrompt(`${router.id} reader ${index}`, STREAM_TOKENS), stream: true
  })))
  const responses = Promise.all(calls.map(async (call) => ({ call, response: await sendChat(call) })))
  const killedEngine = fleet.engines[0]!
  await eventually(ARRIVAL_TIMEOUT_MS, async () => {
    const { runs } = await readRecord(killedEngine)
    return runs.some((run) => run.completionTokens > 0) ? undefined : `no stream is running on ${killedEngine.id}`
  })
  await killedEngine.kill()
  this.chats.push(...await responses)
})

Then('each stream is complete or ends in an error event without [DONE]', function (this: FleetWorld) {
  const faults = this.chats.map(({ call, response }) => {
    if (response.error === undefined) return findResponseFault(call, response)
    return response.complete ? 'an error event is followed by [DONE]' : undefined
  }).filter((fault) => fault !== undefined)
  assert.deepEqual(faults, [])
})

Then('at least {int} stream ended in an error event', function (this: FleetWorld, count: number) {
  const failedChats = this.chats.filter(({ response }) => response.error !== undefined)
  this.log(`${failedChats.length} of ${this.chats.length} streams ended in an error event: ${[...new Set(failedChats.map(({ response }) => `${response.error?.code} run ${response.error?.run}`))].join(', ')}`)
  assert.ok(failedChats.length >= count)
})
