import { Then, When } from '@cucumber/cucumber'
import assert from 'node:assert/strict'
import { createPrompt } from '../callers/findResponseFault.js'
import { sendChat, type ChatCall } from '../callers/sendChat.js'
import { readRuns } from '../fleet/backendRecord.js'
import type { FleetMember } from '../fleet/fleetMember.js'
import { bearerKeyOf } from '../fleet/fleetSheet.js'
import type { Fleet } from '../fleet/startFleet.js'
import type { FleetWorld } from './world.js'

const ANSWER_TOKENS = 60
const DROPPED_ANSWERS_METRIC = /^quinceshunt_answers_dropped_total\{[^}]*\} (\d+)$/m

function createChatCall (fleet: Fleet, router: FleetMember, text: string): ChatCall {
  return { address: router.address(), key: bearerKeyOf(fleet.accounts[0]!.id), model: fleet.names.model, messages: createPrompt(text, ANSWER_TOKENS), stream: true }
}

async function sendAll (world: FleetWorld, calls: readonly ChatCall[]): Promise<void> {
  world.chats.push(...await Promise.all(calls.map(async (call) => ({ call, response: await sendChat(call) }))))
}

When('{int} callers through each router send a streamed chat whose connection the engine drops after {int} tokens', async function (this: FleetWorld, callers: number, tokens: number) {
  const fleet = await this.fleet()
  await sendAll(this, fleet.routers.flatMap((router) => Array.from({ length: callers }, (_unused, index) => createChatCall(fleet, router, `${router.id} ${index} [disconnect:${tokens}]`))))
})

Then('each chat ran once at the engines', async function (this: FleetWorld) {
  const runs = await readRuns((await this.fleet()).engines)
  assert.equal(runs.length, this.chats.length)
  assert.deepEqual(runs.filter((run) => run.outcome !== 'complete'), [])
})

When('the engines answer a caller\'s chat with the ID of another request', async function (this: FleetWorld) {
  const fleet = await this.fleet()
  await sendAll(this, [createChatCall(fleet, fleet.routers[0]!, '[crossed]')])
})

Then('the caller gets an error without content or end marker, and the router has dropped {int} responses', async function (this: FleetWorld, dropped: number) {
  const fleet = await this.fleet()
  const { response } = this.chats[0]!
  assert.deepEqual([response.text, response.complete], ['', false])
  assert.notEqual(response.error?.run, 'no')
  const metrics = await (await fetch(`${fleet.routers[0]!.address('operations')}/metrics`)).text()
  assert.equal(Number(DROPPED_ANSWERS_METRIC.exec(metrics)?.[1]), dropped)
})
