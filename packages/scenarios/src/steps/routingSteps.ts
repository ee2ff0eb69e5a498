import { After, Given, Then, When } from '@cucumber/cucumber'
import assert from 'node:assert/strict'
import { setTimeout as wait } from 'node:timers/promises'
import { findAnswerFault, promptOf } from '../callers/checkAnswer.js'
import { sendChat, type ChatAnswer, type ChatCall } from '../callers/sendChat.js'
import { readRecord, type BackendRecord } from '../fleet/backendRecord.js'
import type { FleetMember } from '../fleet/fleetMember.js'
import { keyOf } from '../fleet/fleetSheet.js'
import { isReady, type Fleet } from '../fleet/startFleet.js'
import type { ProcessExit } from '../launcher/startProcess.js'
import { eventually } from './eventually.js'
import { FleetWorld } from './world.js'

/** A leaving backend server gets no new work after this time (design, invariant 6). */
const LEAVING_MILLISECONDS = 3000
const CALLERS_PER_ROUTER = 3
const SHORT_TOKENS = 10
/** 5 ms for each token, so 5 s with an idle engine. */
const LONG_TOKENS = 1000
/** By then the long streams have begun. */
const OPEN_MILLISECONDS = 600
/** Callers that the balancer still sends after SIGTERM arrive within this time. */
const BALANCER_MILLISECONDS = 1000
const READY_CHECK_MILLISECONDS = 500
/** Long streams, late arrivals and the closing of leases, with room for a busy machine. */
const STOP_MILLISECONDS = 30_000

interface Exchange { readonly call: ChatCall, readonly answer: ChatAnswer }
interface Load { readonly exchanges: Exchange[], stop (): Promise<void> }
type RoutingWorld = FleetWorld & { load?: Load, long?: Promise<Exchange>[], exit?: Promise<ProcessExit>, leftAt?: Map<string, number>, lastLongAt?: number, exitedAt?: number }

function chatThrough (fleet: Fleet, router: FleetMember, text: string, tokens: number): ChatCall {
  return { address: router.address(), key: keyOf(fleet.accounts[0]!.id), model: fleet.names.model, messages: promptOf(text, tokens), stream: true, maxTokens: tokens }
}

async function exchange (call: ChatCall): Promise<Exchange> {
  return { call, answer: await sendChat(call) }
}

/** Callers that send one short chat after the other; with `onlyReady`, to routers that a balancer would choose. */
function startLoad (fleet: Fleet, onlyReady: boolean): Load {
  const exchanges: Exchange[] = []
  const stopping = new AbortController()
  async function chooseRouter (home: FleetMember, turn: number): Promise<FleetMember | undefined> {
    if (!onlyReady) return home
    const candidates = [...fleet.routers.slice(turn % fleet.routers.length), ...fleet.routers]
    for (const candidate of candidates) if (await isReady(candidate)) return candidate
    return undefined
  }
  async function callRepeatedly (home: FleetMember, name: string): Promise<void> {
    for (let turn = 0; !stopping.signal.aborted; turn++) {
      const router = await chooseRouter(home, turn)
      if (router !== undefined) exchanges.push(await exchange(chatThrough(fleet, router, `${name} ${turn}`, SHORT_TOKENS)))
    }
  }
  const callers = fleet.routers.flatMap((router) => Array.from({ length: CALLERS_PER_ROUTER }, (_unused, index) => callRepeatedly(router, `${router.id} ${index}`)))
  return {
    exchanges,
    stop: async () => {
      stopping.abort()
      await Promise.all(callers)
    }
  }
}

/** Lets a backend server start to leave by itself and returns when that was. */
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

function faultsOf (exchanges: readonly Exchange[]): string[] {
  return exchanges.flatMap(({ call, answer }) => findAnswerFault(call, answer) ?? [])
}

function latestArrival (record: BackendRecord): number {
  return Math.max(0, ...record.runs.map((run) => run.arrivedAt))
}

// Ends the callers' loops also when a step has failed, before the fleet is stopped.
After(async function (this: RoutingWorld) {
  await this.load?.stop()
})

Given('an instance list that is {int} s old', function (this: FleetWorld, seconds: number) {
  this.configure({ platformSettings: { instanceListLagMilliseconds: seconds * 1000 } })
})

When('the instance list is down', async function (this: FleetWorld) {
  await (await this.fleet()).platform.setFault({ kind: 'down', service: 'instances' })
})

When(/^callers stream chats without pause through each router( that is ready)?$/, async function (this: RoutingWorld, onlyReady: string | null) {
  const fleet = await this.fleet()
  this.load = startLoad(fleet, onlyReady !== null)
  await wait(1000)
})

When('{string} starts to leave', async function (this: RoutingWorld, id: string) {
  const fleet = await this.fleet()
  this.leftAt = new Map(this.leftAt).set(id, await startLeaving(fleet, id))
})

When('{int} s pass', async function (this: FleetWorld, seconds: number) {
  await wait(seconds * 1000)
})

Then('{string} got work until it left, and none 3 s later', async function (this: RoutingWorld, id: string) {
  const fleet = await this.fleet()
  const record = await readRecord(fleet.member(id))
  const leftAt = this.leftAt!.get(id)!
  assert.ok(record.runs.some((run) => run.arrivedAt > leftAt - 1000 && run.arrivedAt < leftAt), `${id} got no work just before it left`)
  assert.deepEqual(record.runs.filter((run) => run.arrivedAt > leftAt + LEAVING_MILLISECONDS).map((run) => `${run.arrivedAt - leftAt} ms after it left`), [])
  this.log(`${id}: last work ${latestArrival(record) - leftAt} ms after it started to leave`)
  const latest = await Promise.all(fleet.engines.map(async (engine) => latestArrival(await readRecord(engine))))
  assert.ok(Math.max(...latest) > leftAt + LEAVING_MILLISECONDS, 'no engine got work after that, so nothing was shown')
})

Then('every chat was answered whole', async function (this: RoutingWorld) {
  await this.load!.stop()
  assert.ok(this.load!.exchanges.length > 0)
  assert.deepEqual(faultsOf(this.load!.exchanges), [])
})

When('the instance list names {string} as leaving', async function (this: FleetWorld, id: string) {
  const fleet = await this.fleet()
  const { incarnation } = await readRecord(fleet.member(id))
  await fleet.platform.list({ id, role: 'backendServer', address: fleet.member(id).address(), failureDomain: fleet.names.failureDomains[0]!, incarnation, leaving: true })
})

Then('{string} has not got work for {int} s', async function (this: RoutingWorld, id: string, seconds: number) {
  const record = await readRecord((await this.fleet()).member(id))
  assert.equal(record.state, 'live')
  assert.ok(record.runs.length > 0)
  assert.ok(latestArrival(record) < Date.now() - seconds * 1000, `${id} got work ${Date.now() - latestArrival(record)} ms ago`)
})

When('{string} is replaced by a new process', async function (this: FleetWorld, id: string) {
  await (await this.fleet()).member(id).restart()
})

Then('the new process of {string} gets work', async function (this: FleetWorld, id: string) {
  const { runs } = await readRecord((await this.fleet()).member(id))
  assert.ok(runs.length > 0, `the new process of ${id} got nothing`)
})

When('{int} callers hold long streams open through {string}', async function (this: RoutingWorld, callers: number, id: string) {
  const fleet = await this.fleet()
  this.long = Array.from({ length: callers }, async (_unused, index) => {
    const finished = await exchange(chatThrough(fleet, fleet.member(id), `long ${index}`, LONG_TOKENS))
    this.lastLongAt = finished.answer.finishedAt
    return finished
  })
  await wait(OPEN_MILLISECONDS)
})

When('{string} gets SIGTERM', async function (this: RoutingWorld, id: string) {
  const fleet = await this.fleet()
  this.exit = fleet.member(id).terminate(STOP_MILLISECONDS)
  this.exit.then(() => { this.exitedAt = Date.now() }, () => {})
})

Then('{string} is not ready at once and still answers callers whom the balancer sends it', async function (this: RoutingWorld, id: string) {
  const fleet = await this.fleet()
  const router = fleet.member(id)
  await eventually(READY_CHECK_MILLISECONDS, async () => await isReady(router) ? `${id} is still ready` : undefined)
  const until = Date.now() + BALANCER_MILLISECONDS
  const late: Exchange[] = []
  while (Date.now() < until) late.push(await exchange(chatThrough(fleet, router, `late ${late.length}`, SHORT_TOKENS)))
  assert.ok(late.length > 0)
  assert.deepEqual(faultsOf(late), [])
})

Then('the long streams are whole', async function (this: RoutingWorld) {
  assert.deepEqual(faultsOf(await Promise.all(this.long!)), [])
})

Then('{string} exits with code 0 after the last of them', async function (this: RoutingWorld, _id: string) {
  assert.deepEqual(await this.exit!, { code: 0, signal: null })
  assert.ok(this.exitedAt! >= this.lastLongAt!, 'it ended before the last stream')
})

When('each router is restarted in turn', async function (this: RoutingWorld) {
  const fleet = await this.fleet()
  for (const router of fleet.routers) {
    assert.deepEqual(await router.terminate(STOP_MILLISECONDS), { code: 0, signal: null })
    await router.restart()
    await fleet.waitUntilReady([router])
  }
})
