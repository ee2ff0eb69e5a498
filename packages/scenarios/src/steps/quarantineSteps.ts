import { Then, When } from '@cucumber/cucumber'
import assert from 'node:assert/strict'
import { randomUUID } from 'node:crypto'
import { findResponseFault, createPrompt } from '../callers/findResponseFault.js'
import { sendChat, type ChatResponse, type ChatCall } from '../callers/sendChat.js'
import { bearerKeyOf } from '../fleet/fleetSheet.js'
import { startFleet, type Fleet } from '../fleet/startFleet.js'
import type { FleetWorld } from './world.js'

/** Number of runs, each with its own seed; `--world-parameters '{"quarantineRuns":20}'` overrides it. */
const DEFAULT_RUNS = 2
/** Requests that are sent concurrently with the poison request. */
const NEIGHBOURS = 24
const NEIGHBOUR_ANSWER_TOKENS = 200
/** Spreads the arrivals of neighbours, so that some are running during each crash. */
const NEIGHBOUR_ARRIVAL_SPREAD_MS = 6000
const POISON_CALLERS = 4
/** Callers resend after the first crash is detected; quarantine does not limit copies sent before that. */
const FIRST_RESEND_DELAY_MS = 500
const MAX_RESEND_DELAY_MS = 700
/** Limit from section 9 of the design page. */
const MAX_ENGINES_LOST = 2
const QUARANTINE_TIMEOUT_MS = 30_000
const CRASHING_CHATS = 24
const CRASHING_CHAT_INTERVAL_MS = 400
const ENGINE_CHECK_INTERVAL_MS = 50
/** Chats with the crashing message that are rejected at the end. */
const REJECTED_CHATS = 6
const POISON_PROMPT = createPrompt('[crash] paint the whole bridge', 20)

/** Result of one run, printed as JSON. */
interface PoisonRun {
  readonly seed: number
  readonly enginesLost: number
  readonly poisonSends: number
  readonly millisecondsToQuarantine: number
  /** Error codes with which the routers reject the poison request at the end. */
  readonly refusals: readonly string[]
  readonly neighbourFaults: readonly string[]
  /** Router log lines about crashes, suspects and quarantine; set only if too many engines were lost. */
  readonly log?: readonly string[]
}

/** Result of sending chats with a crashing message. */
interface CrashingMessageRun {
  /** Unix milliseconds, in order. */
  readonly enginesLostAt: readonly number[]
  /** Error codes of the chats with the crashing message, in the order of sending. */
  readonly codes: readonly string[]
  readonly soundFaults: readonly string[]
  /** Router log lines about prompts; set only if the message was not quarantined at the end. */
  readonly log?: readonly string[]
}

type QuarantineWorld = FleetWorld & { poisonRuns?: PoisonRun[], crashingMessageRun?: CrashingMessageRun }

/** Seeded linear congruential generator of numbers in [0, 1). */
function createRandom (seed: number): () => number {
  let state = seed
  return () => {
    state = (state * 1_664_525 + 1_013_904_223) % 2 ** 32
    return state / 2 ** 32
  }
}

const wait = (milliseconds: number): Promise<void> => new Promise((resolve) => setTimeout(resolve, milliseconds))

function createChatCall (fleet: Fleet, router: number, messages: ChatCall['messages']): ChatCall {
  const account = fleet.accounts[router % fleet.accounts.length]!.id
  return { address: fleet.routers[router % fleet.routers.length]!.address(), key: bearerKeyOf(account), model: fleet.names.model, messages, idempotencyKey: randomUUID() }
}

async function resendPoison (fleet: Fleet, random: () => number, deadline: number): Promise<{ sends: number, response: ChatResponse }> {
  for (let sends = 1; ; sends++) {
    const response = await sendChat(createChatCall(fleet, Math.floor(random() * fleet.routers.length), POISON_PROMPT))
    if (response.error?.code === 'request_quarantined' || Date.now() > deadline) return { sends, response }
    await wait(random() * MAX_RESEND_DELAY_MS)
  }
}

async function runPoison (seed: number, routers: number, engines: number, crashDelayMilliseconds: number): Promise<PoisonRun> {
  const random = createRandom(seed)
  const fleet = await startFleet({ routers, engines, engineSettings: { seed, crashDelayMilliseconds } })
  try {
    const neighbours = Promise.all(Array.from({ length: NEIGHBOURS }, async (_unused, index) => {
      await wait(random() * NEIGHBOUR_ARRIVAL_SPREAD_MS)
      const call = createChatCall(fleet, Math.floor(random() * routers), createPrompt(`neighbour ${index} of run ${seed}`, NEIGHBOUR_ANSWER_TOKENS))
      return findResponseFault(call, await sendChat(call))
    }))
    await wait(NEIGHBOUR_ARRIVAL_SPREAD_MS / 4)
    const startedAt = Date.now()
    const callers = await Promise.all(Array.from({ length: POISON_CALLERS }, async (_unused, index) => {
      if (index > 0) await wait(FIRST_RESEND_DELAY_MS + random() * MAX_RESEND_DELAY_MS)
      return await resendPoison(fleet, random, startedAt + QUARANTINE_TIMEOUT_MS)
    }))
    const millisecondsToQuarantine = Date.now() - startedAt
    const neighbourFaults = (await neighbours).filter((fault) => fault !== undefined)
    const refusals = await Promise.all(fleet.routers.map(async (_router, index) => (await sendChat(createChatCall(fleet, index, POISON_PROMPT))).error?.code ?? 'none'))
    const enginesLost = fleet.engines.filter((engine) => engine.process.hasExited()).length
    const log = enginesLost > MAX_ENGINES_LOST ? { log: fleet.routers.flatMap((router) => router.process.log().filter((line) => /crash|suspect|quarantine/.test(line))) } : {}
    return { seed, enginesLost, ...log, poisonSends: callers.reduce((sum, { sends }) => sum + sends, 0), millisecondsToQuarantine, refusals, neighbourFaults }
  } finally {
    await fleet.stop()
  }
}

async function resendInEachRun (world: QuarantineWorld, routers: number, engines: number, crashDelayMilliseconds: number): Promise<void> {
  const runs = Number((world.parameters as { quarantineRuns?: number }).quarantineRuns ?? DEFAULT_RUNS)
  world.poisonRuns = []
  for (let seed = 1; seed <= runs; seed++) {
    const run = await runPoison(seed, routers, engines, crashDelayMilliseconds)
    world.poisonRuns.push(run)
    process.stdout.write(`${JSON.stringify(run)}\n`)
  }
}

When('in each run a poison request is resent at {int} routers in front of {int} engines', { timeout: -1 }, async function (this: QuarantineWorld, routers: number, engines: number) {
  await resendInEachRun(this, routers, engines, 0)
})

When('in each run a poison request that crashes engines after {int} ms of its answer is resent at {int} routers in front of {int} engines', { timeout: -1 }, async function (this: QuarantineWorld, crashDelayMilliseconds: number, routers: number, engines: number) {
  await resendInEachRun(this, routers, engines, crashDelayMilliseconds)
})

Then('no run loses more than {int} engines', function (this: QuarantineWorld, limit: number) {
  assert.deepEqual(this.poisonRuns!.filter(({ enginesLost }) => enginesLost > limit), [])
  assert.ok(this.poisonRuns!.every(({ enginesLost }) => enginesLost > 0), 'the poison request never crashed an engine')
})

Then('in each run every router rejects the poison request as quarantined', function (this: QuarantineWorld) {
  for (const { refusals } of this.poisonRuns!) assert.deepEqual(new Set(refusals), new Set(['request_quarantined']))
})

Then('in each run the concurrent requests get complete responses', function (this: QuarantineWorld) {
  assert.deepEqual(this.poisonRuns!.flatMap(({ neighbourFaults }) => neighbourFaults), [])
})

When('callers send chats with a crashing message among others at {int} routers in front of {int} engines', { timeout: 120_000 }, async function (this: QuarantineWorld, routers: number, engines: number) {
  const fleet = await startFleet({ routers, engines, engineSettings: { seed: 1 } })
  try {
    const reference = { role: 'system', content: 'reference notes of the workshop' }
    const crashing: Promise<ChatResponse>[] = []
    const sound: Promise<string | undefined>[] = []
    const lostAt = new Map<string, number>()
    const watch = setInterval(() => {
      for (const engine of fleet.engines) if (engine.process.hasExited() && !lostAt.has(engine.id)) lostAt.set(engine.id, Date.now())
    }, ENGINE_CHECK_INTERVAL_MS)
    for (let index = 0; index < CRASHING_CHATS; index++) {
      crashing.push(sendChat(createChatCall(fleet, index, [reference, { role: 'user', content: '[crash] notes on the bridge' }, ...createPrompt(`order ${index}`, 20)])))
      const call = createChatCall(fleet, index + 1, [reference, ...createPrompt(`other order ${index}`, NEIGHBOUR_ANSWER_TOKENS)])
      sound.push(sendChat(call).then((response) => findResponseFault(call, response)))
      await wait(CRASHING_CHAT_INTERVAL_MS)
    }
    const codes = (await Promise.all(crashing)).map((response) => response.error?.code ?? 'none')
    const soundFaults = (await Promise.all(sound)).filter((fault) => fault !== undefined)
    clearInterval(watch)
    const isQuarantined = codes.slice(-REJECTED_CHATS).every((code) => code === 'request_quarantined')
    const log = isQuarantined ? {} : { log: fleet.routers.flatMap((router) => router.process.log().filter((line) => /prompt/.test(line))) }
    this.crashingMessageRun = { ...log, enginesLostAt: [...lostAt.values()].sort((left, right) => left - right), codes, soundFaults }
    process.stdout.write(`${JSON.stringify(this.crashingMessageRun)}\n`)
  } finally {
    await fleet.stop()
  }
})

Then('at most {int} engines are lost later than {int} s after the fifth', function (this: QuarantineWorld, limit: number, seconds: number) {
  const { enginesLostAt } = this.crashingMessageRun!
  assert.ok(enginesLostAt.length > 0, 'the crashing message never crashed an engine')
  const fifthLostAt = enginesLostAt[4] ?? Infinity
  const lostLate = enginesLostAt.filter((at) => at > fifthLostAt + seconds * 1000).length
  assert.ok(lostLate <= limit, `${enginesLostAt.length} engines lost, ${lostLate} of them late`)
})

Then('the last chats with the crashing message are rejected as quarantined', function (this: QuarantineWorld) {
  assert.deepEqual(new Set(this.crashingMessageRun!.codes.slice(-REJECTED_CHATS)), new Set(['request_quarantined']))
})

Then('the chats that share all other messages get complete responses', function (this: QuarantineWorld) {
  assert.deepEqual(this.crashingMessageRun!.soundFaults, [])
})
