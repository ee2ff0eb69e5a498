import { After, Given, Then, When } from '@cucumber/cucumber'
import assert from 'node:assert/strict'
import { setTimeout as wait } from 'node:timers/promises'
import { findResponseFault, createPrompt } from '../callers/findResponseFault.js'
import { sendChat, type ChatResponse, type ChatCall } from '../callers/sendChat.js'
import { readRecord, type BackendRecord } from '../fleet/backendRecord.js'
import type { FleetMember } from '../fleet/fleetMember.js'
import { bearerKeyOf } from '../fleet/fleetSheet.js'
import { isReady, type Fleet } from '../fleet/startFleet.js'
import type { ProcessExit } from '../launcher/startProcess.js'
import { eventually } from './eventually.js'
import { FleetWorld } from './world.js'

/** Time after which a leaving backend server receives no new requests (design, invariant 6). */
const LEAVING_TIMEOUT_MS = 3000
const CALLERS_PER_ROUTER = 3
const SHORT_ANSWER_TOKENS = 10
/** 5 s on an idle engine, at 5 ms per token. */
const LONG_ANSWER_TOKENS = 1000
/** Time for the long streams to start. */
const STREAM_START_DELAY_MS = 600
/** Time after SIGTERM during which the load balancer still sends requests to the router. */
const LOAD_BALANCER_LAG_MS = 1000
const NOT_READY_TIMEOUT_MS = 500
/** Covers long streams, late arrivals and the closing of leases, with a margin for a busy machine. */
const STOP_TIMEOUT_MS = 30_000

interface Exchange { readonly call: ChatCall, readonly response: ChatResponse }
interface Load { readonly exchanges: Exchange[], stop (): Promise<void> }
type RoutingWorld = FleetWorld & { load?: Load, longChats?: Promise<Exchange>[], exit?: Promise<ProcessExit>, leavingTimes?: Map<string, number>, lastLongChatFinishedAt?: number, exitedAt?: number }

function createChatCall (fleet: Fleet, router: FleetMember, text: string, tokens: number): ChatCall {
  return { address: router.address(), key: bearerKeyOf(fleet.accounts[0]!.id), model: fleet.names.model, messages: createPrompt(text, tokens), stream: true, maxTokens: tokens }
}

async function runChat (call: ChatCall): Promise<Exchange> {
  return { call, response: await sendChat(call) }
}

/** Starts callers that send short chats back to back; with `onlyReady`, only to routers that report ready. */
function startLoad (fleet: Fleet, onlyReady: boolean): Load {
  const exchanges: Exchange[] = []
  const abortController = new AbortController()
  async function chooseRouter (assignedRouter: FleetMember, iteration: number): Promise<FleetMember | undefined> {
    if (!onlyReady) return assignedRouter
    const candidates = [...fleet.routers.slice(iteration % fleet.routers.length), ...fleet.routers]
    for (const candidate of candidates) if (await isReady(candidate)) return candidate
    return undefined
  }
  async function callRepeatedly (assignedRouter: FleetMember, name: string): Promise<void> {
    for (let iteration = 0; !abortController.signal.aborted; iteration++) {
      const router = await chooseRouter(assignedRouter, iteration)
      if (router !== undefined) exchanges.push(await runChat(createChatCall(fleet, router, `${name} ${iteration}`, SHORT_ANSWER_TOKENS)))
    }
  }
  const callers = fleet.routers.flatMap((router) => Array.from({ length: CALLERS_PER_ROUTER }, (_unused, index) => callRepeatedly(router, `${router.id} ${index}`)))
  return {
    exchanges,
    stop: async () => {
      abortController.abort()
      await Promise.all(callers)
    }
  }
}

/** Makes a backend server start to leave (SIGUSR1) and returns the time at which it did. */
async function startLeaving (fleet: Fleet, id: string): Promise<number> {
  const member = fleet.member(id)
  member.process.signal('SIGUSR1')
  let leavingSince: number | null = null
  await eventually(1000, async () => {
    leavingSince = (await readRecord(member)).leavingSince
    return leavingSince === null ? `${id} does not report leaving` : undefined
  })
  return leavingSince!
}

function findFaults (exchanges: readonly Exchange[]): string[] {
  return exchanges.flatMap(({ call, response }) => findResponseFault(call, response) ?? [])
}

function findLatestArrival (record: BackendRecord): number {
  return Math.max(0, ...record.runs.map((run) => run.arrivedAt))
}

// Stops the callers before the fleet is stopped, even if a step failed.
After(async function (this: RoutingWorld) {
  await this.load?.stop()
})

Given('an instance list that lags by {int} s', function (this: FleetWorld, seconds: number) {
  this.configure({ platformSettings: { instanceListLagMilliseconds: seconds * 1000 } })
})

When('the instance list is down', async function (this: FleetWorld) {
  await (await this.fleet()).platform.setFault({ kind: 'down', service: 'instances' })
})

When(/^callers stream chats continuously through each router( that is ready)?$/, async function (this: RoutingWorld, onlyReady: string | null) {
  const fleet = await this.fleet()
  this.load = startLoad(fleet, onlyReady !== null)
  await wait(1000)
})

When('{string} starts to leave', async function (this: RoutingWorld, id: string) {
  const fleet = await this.fleet()
  this.leavingTimes = new Map(this.leavingTimes).set(id, await startLeaving(fleet, id))
})

When('{int} s pass', async function (this: FleetWorld, seconds: number) {
  await wait(seconds * 1000)
})

Then('{string} received requests until it started to leave, and none later than 3 s after that', async function (this: RoutingWorld, id: string) {
  const fleet = await this.fleet()
  const record = await readRecord(fleet.member(id))
  const leavingSince = this.leavingTimes!.get(id)!
  assert.ok(record.runs.some((run) => run.arrivedAt > leavingSince - 1000 && run.arrivedAt < leavingSince), `${id} received no request just before it started to leave`)
  assert.deepEqual(record.runs.filter((run) => run.arrivedAt > leavingSince + LEAVING_TIMEOUT_MS).map((run) => `${run.arrivedAt - leavingSince} ms after it started to leave`), [])
  this.log(`${id}: last request ${findLatestArrival(record) - leavingSince} ms after it started to leave`)
  const latest = await Promise.all(fleet.engines.map(async (engine) => findLatestArrival(await readRecord(engine))))
  assert.ok(Math.max(...latest) > leavingSince + LEAVING_TIMEOUT_MS, 'no engine received a request after that, so the check proves nothing')
})

Then('every chat got a complete response', async function (this: RoutingWorld) {
  await this.load!.stop()
  assert.ok(this.load!.exchanges.length > 0)
  assert.deepEqual(findFaults(this.load!.exchanges), [])
})

When('the instance list names {string} as leaving', async function (this: FleetWorld, id: string) {
  const fleet = await this.fleet()
  const { incarnation } = await readRecord(fleet.member(id))
  await fleet.platform.putInstance({ id, role: 'backendServer', address: fleet.member(id).address(), failureDomain: fleet.names.failureDomains[0]!, incarnation, leaving: true })
})

Then('{string} has received no request for {int} s', async function (this: RoutingWorld, id: string, seconds: number) {
  const record = await readRecord((await this.fleet()).member(id))
  assert.equal(record.state, 'live')
  assert.ok(record.runs.length > 0)
  assert.ok(findLatestArrival(record) < Date.now() - seconds * 1000, `${id} received a request ${Date.now() - findLatestArrival(record)} ms ago`)
})

When('{string} is replaced by a new process', async function (this: FleetWorld, id: string) {
  await (await this.fleet()).member(id).restart()
})

Then('the new process of {string} receives requests', async function (this: FleetWorld, id: string) {
  const { runs } = await readRecord((await this.fleet()).member(id))
  assert.ok(runs.length > 0, `the new process of ${id} received no request`)
})

When('{int} callers keep long streams open through {string}', async function (this: RoutingWorld, callers: number, id: string) {
  const fleet = await this.fleet()
  this.longChats = Array.from({ length: callers }, async (_unused, index) => {
    const completedChat = await runChat(createChatCall(fleet, fleet.member(id), `long ${index}`, LONG_ANSWER_TOKENS))
    this.lastLongChatFinishedAt = completedChat.response.finishedAt
    return completedChat
  })
  await wait(STREAM_START_DELAY_MS)
})

When('{string} gets SIGTERM', async function (this: RoutingWorld, id: string) {
  const fleet = await this.fleet()
  this.exit = fleet.member(id).terminate(STOP_TIMEOUT_MS)
  this.exit.then(() => { this.exitedAt = Date.now() }, () => {})
})

Then('{string} reports at once that it is not ready and still serves requests that the load balancer sends', async function (this: RoutingWorld, id: string) {
  const fleet = await this.fleet()
  const router = fleet.member(id)
  await eventually(NOT_READY_TIMEOUT_MS, async () => await isReady(router) ? `${id} is still ready` : undefined)
  const deadline = Date.now() + LOAD_BALANCER_LAG_MS
  const lateExchanges: Exchange[] = []
  while (Date.now() < deadline) lateExchanges.push(await runChat(createChatCall(fleet, router, `late ${lateExchanges.length}`, SHORT_ANSWER_TOKENS)))
  assert.ok(lateExchanges.length > 0)
  assert.deepEqual(findFaults(lateExchanges), [])
})

Then('the long streams are complete', async function (this: RoutingWorld) {
  assert.deepEqual(findFaults(await Promise.all(this.longChats!)), [])
})

Then('{string} exits with code 0 after the last long stream', async function (this: RoutingWorld, _id: string) {
  assert.deepEqual(await this.exit!, { code: 0, signal: null })
  assert.ok(this.exitedAt! >= this.lastLongChatFinishedAt!, 'the router exited before the last stream ended')
})

When('each router is restarted in turn', async function (this: RoutingWorld) {
  const fleet = await this.fleet()
  for (const router of fleet.routers) {
    assert.deepEqual(await router.terminate(STOP_TIMEOUT_MS), { code: 0, signal: null })
    await router.restart()
    await fleet.waitUntilReady([router])
  }
})
