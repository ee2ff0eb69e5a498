import { Then, When } from '@cucumber/cucumber'
import assert from 'node:assert/strict'
import { randomUUID } from 'node:crypto'
import { findAnswerFault, promptOf } from '../callers/checkAnswer.js'
import { sendChat, type ChatAnswer, type ChatCall } from '../callers/sendChat.js'
import { keyOf } from '../fleet/fleetSheet.js'
import { startFleet, type Fleet } from '../fleet/startFleet.js'
import type { FleetWorld } from './world.js'

/** Runs, each with its own seed; `--world-parameters '{"quarantineRuns":20}'` sets another number. */
const DEFAULT_RUNS = 2
const NEIGHBOURS = 24
const NEIGHBOUR_TOKENS = 200
/** Neighbours arrive over this time, so that some run beside each crash. */
const NEIGHBOUR_SPREAD_MILLISECONDS = 6000
const POISON_CALLERS = 4
/** Callers resend once the first crash has been noticed; copies sent before that are not bounded by quarantine. */
const FIRST_RESEND_MILLISECONDS = 500
const RESEND_SPREAD_MILLISECONDS = 700
/** Section 9 of the design page. */
const ENGINES_LOST_AT_MOST = 2
const POISON_MILLISECONDS = 30_000
const POISON = promptOf('[crash] paint the whole bridge', 20)

/** What one run showed. */
interface PoisonRun {
  readonly seed: number
  readonly enginesLost: number
  readonly poisonSends: number
  readonly millisecondsToQuarantine: number
  /** Codes with which the routers refuse the poison at the end. */
  readonly refusals: readonly string[]
  readonly neighbourFaults: readonly string[]
  /** What the routers logged about crashes and reports, when too many engines were lost. */
  readonly log?: readonly string[]
}

type QuarantineWorld = FleetWorld & { poisonRuns?: PoisonRun[] }

/** Small seeded generator of numbers from 0 to 1. */
function createRandom (seed: number): () => number {
  let state = seed
  return () => {
    state = (state * 1_664_525 + 1_013_904_223) % 2 ** 32
    return state / 2 ** 32
  }
}

const wait = (milliseconds: number): Promise<void> => new Promise((resolve) => setTimeout(resolve, milliseconds))

function callThrough (fleet: Fleet, router: number, messages: ChatCall['messages']): ChatCall {
  const account = fleet.accounts[router % fleet.accounts.length]!.id
  return { address: fleet.routers[router % fleet.routers.length]!.address(), key: keyOf(account), model: fleet.names.model, messages, idempotencyKey: randomUUID() }
}

async function resendPoison (fleet: Fleet, random: () => number, until: number): Promise<{ sends: number, answer: ChatAnswer }> {
  for (let sends = 1; ; sends++) {
    const answer = await sendChat(callThrough(fleet, Math.floor(random() * fleet.routers.length), POISON))
    if (answer.error?.code === 'request_quarantined' || Date.now() > until) return { sends, answer }
    await wait(random() * RESEND_SPREAD_MILLISECONDS)
  }
}

async function runPoison (seed: number, routers: number, engines: number): Promise<PoisonRun> {
  const random = createRandom(seed)
  const fleet = await startFleet({ routers, engines, engineSettings: { seed } })
  try {
    const neighbours = Promise.all(Array.from({ length: NEIGHBOURS }, async (_unused, index) => {
      await wait(random() * NEIGHBOUR_SPREAD_MILLISECONDS)
      const call = callThrough(fleet, Math.floor(random() * routers), promptOf(`neighbour ${index} of run ${seed}`, NEIGHBOUR_TOKENS))
      return findAnswerFault(call, await sendChat(call))
    }))
    await wait(NEIGHBOUR_SPREAD_MILLISECONDS / 4)
    const startedAt = Date.now()
    const callers = await Promise.all(Array.from({ length: POISON_CALLERS }, async (_unused, index) => {
      if (index > 0) await wait(FIRST_RESEND_MILLISECONDS + random() * RESEND_SPREAD_MILLISECONDS)
      return await resendPoison(fleet, random, startedAt + POISON_MILLISECONDS)
    }))
    const millisecondsToQuarantine = Date.now() - startedAt
    const neighbourFaults = (await neighbours).filter((fault) => fault !== undefined)
    const refusals = await Promise.all(fleet.routers.map(async (_router, index) => (await sendChat(callThrough(fleet, index, POISON))).error?.code ?? 'none'))
    const enginesLost = fleet.engines.filter((engine) => engine.process.hasExited()).length
    const log = enginesLost > ENGINES_LOST_AT_MOST ? { log: fleet.routers.flatMap((router) => router.process.log().filter((line) => /crash|suspect|quarantine/.test(line))) } : {}
    return { seed, enginesLost, ...log, poisonSends: callers.reduce((sum, { sends }) => sum + sends, 0), millisecondsToQuarantine, refusals, neighbourFaults }
  } finally {
    await fleet.stop()
  }
}

When('in each run a poison request is resent at {int} routers in front of {int} engines', { timeout: -1 }, async function (this: QuarantineWorld, routers: number, engines: number) {
  const runs = Number((this.parameters as { quarantineRuns?: number }).quarantineRuns ?? DEFAULT_RUNS)
  this.poisonRuns = []
  for (let seed = 1; seed <= runs; seed++) {
    const run = await runPoison(seed, routers, engines)
    this.poisonRuns.push(run)
    process.stdout.write(`${JSON.stringify(run)}\n`)
  }
})

Then('no run loses more than {int} engines', function (this: QuarantineWorld, limit: number) {
  assert.deepEqual(this.poisonRuns!.filter(({ enginesLost }) => enginesLost > limit), [])
  assert.ok(this.poisonRuns!.every(({ enginesLost }) => enginesLost > 0), 'the poison request never crashed an engine')
})

Then('in each run the poison request is refused as quarantined at every router', function (this: QuarantineWorld) {
  for (const { refusals } of this.poisonRuns!) assert.deepEqual(new Set(refusals), new Set(['request_quarantined']))
})

Then('in each run the neighbours are answered in full', function (this: QuarantineWorld) {
  assert.deepEqual(this.poisonRuns!.flatMap(({ neighbourFaults }) => neighbourFaults), [])
})
