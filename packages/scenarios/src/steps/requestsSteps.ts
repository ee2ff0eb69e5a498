import { Then, When } from '@cucumber/cucumber'
import assert from 'node:assert/strict'
import { callService, type ServiceAnswer } from '../callers/callService.js'
import { findAnswerFault, promptOf } from '../callers/checkAnswer.js'
import { sendChat } from '../callers/sendChat.js'
import { readRecord, readRuns } from '../fleet/backendRecord.js'
import { keyOf } from '../fleet/fleetSheet.js'
import { eventually } from './eventually.js'
import type { FleetWorld } from './world.js'

const KEY = 'deposit-of-the-school'
const BODY = '{"commission":"c-17","amount":40}'
/** How long the plain service takes for a deposit, so that another one arrives meanwhile. */
const DEPOSIT_MILLISECONDS = 800
/** Time for a request to reach its backend server. */
const ARRIVAL_MILLISECONDS = 3000
/** Two reads of a lagging instance list, and a round of gossip. */
const HEARD_MILLISECONDS = 15_000
/** Streams that are still running when an engine is killed. */
const STREAM_TOKENS = 300

async function sendDeposit (world: FleetWorld, router: string, body = BODY): Promise<ServiceAnswer> {
  const fleet = await world.fleet()
  const answer = await callService({
    address: fleet.member(router).address(),
    key: keyOf(fleet.accounts[0]!.id),
    service: fleet.names.service,
    method: 'POST',
    path: `${fleet.names.actionPath}?delay=${DEPOSIT_MILLISECONDS}`,
    idempotencyKey: KEY,
    body
  })
  world.serviceAnswers.push(answer)
  return answer
}

async function depositRuns (world: FleetWorld): Promise<number> {
  return (await readRuns((await world.fleet()).plainServices)).filter((run) => run.idempotencyKey === KEY).length
}

When('a deposit is sent through {string}', async function (this: FleetWorld, router: string) {
  await sendDeposit(this, router)
})

When('the deposit is sent again through {string}', async function (this: FleetWorld, router: string) {
  await sendDeposit(this, router)
})

When('its key is used with another body through {string}', async function (this: FleetWorld, router: string) {
  await sendDeposit(this, router, '{"commission":"c-17","amount":50}')
})

When('the same deposit is sent through {string} and {string} at the same time', async function (this: FleetWorld, first: string, second: string) {
  await this.fleet()
  await Promise.all([sendDeposit(this, first), sendDeposit(this, second)])
})

When('a deposit is running through {string}, which is then killed', async function (this: FleetWorld, router: string) {
  const fleet = await this.fleet()
  const sent = sendDeposit(this, router)
  await eventually(ARRIVAL_MILLISECONDS, async () => await depositRuns(this) > 0 ? undefined : 'the deposit has not arrived')
  await fleet.member(router).kill()
  assert.equal((await sent).status, 0)
})

When('the routers have heard of each other', async function (this: FleetWorld) {
  const { routers } = await this.fleet()
  for (const router of routers) {
    await eventually(HEARD_MILLISECONDS, async () => {
      const response = await fetch(`${router.address('peers')}/quinceshunt.v1.PeerService/Status`, { method: 'POST', headers: { 'content-type': 'application/json' }, body: '{}' })
      const { peers = [] } = await response.json() as { peers?: unknown[] }
      return peers.length === routers.length - 1 ? undefined : `${router.id} knows ${peers.length} peers`
    })
  }
})

When('{string} is started again', async function (this: FleetWorld, router: string) {
  const fleet = await this.fleet()
  await fleet.member(router).restart()
  await fleet.waitUntilReady([fleet.member(router)])
})

When('the table service is out of reach', async function (this: FleetWorld) {
  await (await this.fleet()).platform.setFault({ kind: 'down', service: 'table' })
})

When('the table service is within reach again', async function (this: FleetWorld) {
  await (await this.fleet()).platform.clearFaults()
})

When('all replies of the table are lost for {int} ms while a deposit is sent through {string}', async function (this: FleetWorld, milliseconds: number, router: string) {
  const fleet = await this.fleet()
  await fleet.platform.setFault({ kind: 'loseReplies', service: 'table' })
  const sent = sendDeposit(this, router)
  await new Promise((resolve) => setTimeout(resolve, milliseconds))
  assert.equal(await depositRuns(this), 0, 'nothing may be sent before the claim is confirmed')
  await fleet.platform.clearFaults()
  await sent
})

Then('both callers get the same answer', function (this: FleetWorld) {
  const [first, second] = this.serviceAnswers
  assert.equal(first!.status, 200)
  assert.equal(first!.result?.received, BODY)
  assert.deepEqual([second!.status, second!.text], [first!.status, first!.text])
})

Then('the deposit was run {int} times', async function (this: FleetWorld, times: number) {
  assert.equal(await depositRuns(this), times)
})

Then('the last caller is told {int} with the code {string} and run {string}', function (this: FleetWorld, status: number, code: string, run: string) {
  const { status: told, error } = this.serviceAnswers.at(-1)!
  assert.deepEqual([told, error?.code, error?.run], [status, code, run])
})

Then('the last caller gets the deposit\'s answer', function (this: FleetWorld) {
  const { status, result } = this.serviceAnswers.at(-1)!
  assert.deepEqual([status, result?.received, result?.count], [200, BODY, 1])
})

When('an engine is killed while {int} callers read streams through each router', async function (this: FleetWorld, callers: number) {
  const fleet = await this.fleet()
  const calls = fleet.routers.flatMap((router) => Array.from({ length: callers }, (_unused, index) => ({
    address: router.address(), key: keyOf(fleet.accounts[0]!.id), model: fleet.names.model, messages: promptOf(`${router.id} reader ${index}`, STREAM_TOKENS), stream: true
  })))
  const answers = Promise.all(calls.map(async (call) => ({ call, answer: await sendChat(call) })))
  const busy = fleet.engines[0]!
  await eventually(ARRIVAL_MILLISECONDS, async () => {
    const { runs } = await readRecord(busy)
    return runs.some((run) => run.completionTokens > 0) ? undefined : `no stream runs on ${busy.id}`
  })
  await busy.kill()
  this.chats.push(...await answers)
})

Then('each stream is whole or ends in an error event without [DONE]', function (this: FleetWorld) {
  const faults = this.chats.map(({ call, answer }) => {
    if (answer.error === undefined) return findAnswerFault(call, answer)
    return answer.ended ? 'an error event is followed by [DONE]' : undefined
  }).filter((fault) => fault !== undefined)
  assert.deepEqual(faults, [])
})

Then('at least {int} stream ended in an error event', function (this: FleetWorld, count: number) {
  const broken = this.chats.filter(({ answer }) => answer.error !== undefined)
  this.log(`${broken.length} of ${this.chats.length} streams ended in an error event: ${[...new Set(broken.map(({ answer }) => `${answer.error?.code} run ${answer.error?.run}`))].join(', ')}`)
  assert.ok(broken.length >= count)
})
