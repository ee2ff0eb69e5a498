import { Then, When } from '@cucumber/cucumber'
import { runTableDecision } from '@quinceshunt/table-store'
import { budgetCodec, budgetKeys, putRow, resolveLease, summariseBudget, topUpBudget, type BudgetSummary } from '@quinceshunt/budget'
import assert from 'node:assert/strict'
import { randomUUID } from 'node:crypto'
import { billedTokens, findAnswerFault, promptOf } from '../callers/checkAnswer.js'
import { sendChat, type ChatAnswer, type ChatCall } from '../callers/sendChat.js'
import { readRuns } from '../fleet/backendRecord.js'
import { budgetOf, keyOf, parseFixtureSheet } from '../fleet/fleetSheet.js'
import { readLedger } from '../fleet/ledger.js'
import type { Fleet } from '../fleet/startFleet.js'
import { eventually } from './eventually.js'
import { FleetWorld } from './world.js'

/** Long enough to be open when the router is killed or paused: 5 ms for each token. */
const HELD_TOKENS = 400
/** By then the callers' streams have begun. */
const OPEN_MILLISECONDS = 600
const BILLED_MILLISECONDS = 15_000
const SHORT_TOKENS = 40
/** Callers at each router that use up a budget at the same time. */
const ROUND_CALLERS = 4
/** Requests after which every fixture's small budget is used up. */
const MOST_REQUESTS = 600

interface HeldChat { readonly call: ChatCall, readonly answer: Promise<ChatAnswer> }
type BudgetWorld = FleetWorld & { held?: HeldChat[], refused?: number }

function chatTo (fleet: Fleet, routerId: string, text: string, tokens: number, idempotencyKey?: string): ChatCall {
  const call = { address: fleet.member(routerId).address(), key: keyOf(fleet.accounts[0]!.id), model: fleet.names.model, messages: promptOf(text, tokens), stream: true, maxTokens: tokens }
  return idempotencyKey === undefined ? call : { ...call, idempotencyKey }
}

function onlyBudget (fleet: Fleet): string {
  return budgetOf(fleet.accounts[0]!.id)
}

async function summary (fleet: Fleet): Promise<BudgetSummary> {
  const found = await runTableDecision(summariseBudget(onlyBudget(fleet), BigInt(Date.now())), fleet.platform.ports.table)
  assert.ok(found !== undefined)
  return found
}

When('{int} callers hold keyed streams open through {string}', async function (this: BudgetWorld, callers: number, routerId: string) {
  const fleet = await this.fleet()
  this.held = Array.from({ length: callers }, (_unused, index) => {
    const call = chatTo(fleet, routerId, `held ${index}`, HELD_TOKENS, `held-${index}`)
    return { call, answer: sendChat(call) }
  })
  await new Promise((resolve) => setTimeout(resolve, OPEN_MILLISECONDS))
})

When('a caller holds a stream open through {string}', async function (this: BudgetWorld, routerId: string) {
  const fleet = await this.fleet()
  const call = chatTo(fleet, routerId, 'held', HELD_TOKENS)
  this.held = [{ call, answer: sendChat(call) }]
  await new Promise((resolve) => setTimeout(resolve, OPEN_MILLISECONDS))
})

When('{string} is killed', async function (this: BudgetWorld, routerId: string) {
  await (await this.fleet()).member(routerId).kill()
})

When('those callers retry with their keys through {string}', async function (this: BudgetWorld, routerId: string) {
  const fleet = await this.fleet()
  for (const { answer } of this.held!) assert.equal((await answer).ended, false, 'a stream through the killed router was whole')
  const calls = this.held!.map(({ call }) => ({ ...call, address: fleet.member(routerId).address() }))
  this.chats.push(...await Promise.all(calls.map(async (call) => ({ call, answer: await sendChat(call) }))))
})

Then('what {string} held is withheld until an operator releases it', async function (this: BudgetWorld, routerId: string) {
  const fleet = await this.fleet()
  let lease: BudgetSummary['leases'][number] | undefined
  await eventually(BILLED_MILLISECONDS, async () => {
    lease = (await summary(fleet)).leases.find((entry) => entry.lease.incarnation.startsWith(routerId) && entry.withheld)
    return lease === undefined ? `nothing of ${routerId} is withheld` : undefined
  })
  const before = (await summary(fleet)).budget.committedTokens
  const release = resolveLease({ budgetId: onlyBudget(fleet), incarnation: lease!.lease.incarnation, resolution: 'release', tokens: lease!.outstandingTokens, now: BigInt(Date.now()), audit: putRow(`audit/${Date.now()}/${randomUUID()}`, new Uint8Array()) })
  assert.equal((await runTableDecision(release, fleet.platform.ports.table)).kind, 'resolved')
  const after = await summary(fleet)
  assert.equal(after.withheldTokens, 0n)
  assert.ok(after.budget.committedTokens < before)
})

When('the table service is down', async function (this: BudgetWorld) {
  await (await this.fleet()).platform.setFault({ kind: 'down', service: 'table' })
})

When('half of the table\'s replies are lost', async function (this: BudgetWorld) {
  await (await this.fleet()).platform.setFault({ kind: 'loseReplies', service: 'table', probability: 0.5 })
})

When('the table service is back', async function (this: BudgetWorld) {
  await (await this.fleet()).platform.clearFaults()
})

Then('fewer bills than answers are in the table', async function (this: BudgetWorld) {
  const { bills } = await readLedger((await this.fleet()).platform.ports.table)
  assert.ok(bills.length < this.chats.length, `${bills.length} bills for ${this.chats.length} answers during the outage`)
})

async function useUp (fleet: Fleet, routerIds: readonly string[], tokens: number): Promise<ChatAnswer[]> {
  const answers: ChatAnswer[] = []
  const callers = routerIds.flatMap((routerId) => Array.from({ length: ROUND_CALLERS }, () => routerId))
  for (let sent = 0; sent < MOST_REQUESTS; sent += callers.length) {
    const round = await Promise.all(callers.map((routerId, index) => sendChat(chatTo(fleet, routerId, `use ${sent + index}`, tokens))))
    answers.push(...round)
    if (round.every(({ error }) => error?.code === 'budget_exhausted')) return answers
  }
  throw new Error(`the budget was not used up by ${MOST_REQUESTS} requests`)
}

When('{string} is paused for {int} s while callers use up the budget through the other routers', async function (this: BudgetWorld, routerId: string, seconds: number) {
  const fleet = await this.fleet()
  const router = fleet.member(routerId)
  router.pause()
  const resumed = new Promise<void>((resolve) => setTimeout(() => {
    router.resume()
    resolve()
  }, seconds * 1000))
  await useUp(fleet, fleet.routers.map(({ id }) => id).filter((id) => id !== routerId), SHORT_TOKENS)
  await resumed
})

Then('the held stream is whole', async function (this: BudgetWorld) {
  for (const { call, answer } of this.held!) assert.equal(findAnswerFault(call, await answer), undefined)
})

Then('no more is spent than was prepaid, and each run is billed once', async function (this: BudgetWorld) {
  const fleet = await this.fleet()
  const prepaid = BigInt(fleet.accounts[0]!.budgetTokens)
  await eventually(BILLED_MILLISECONDS, async () => {
    const runs = await readRuns(fleet.engines)
    const used = runs.reduce((sum, run) => sum + BigInt(run.promptTokens + run.completionTokens), 0n)
    if (used > prepaid) return `${used} tokens ran, ${prepaid} are prepaid`
    const { bills } = await readLedger(fleet.platform.ports.table)
    // Engines see the ID of an attempt: the request's ID, the attempt's number and a random part.
    const ran = new Set(runs.map(({ requestId }) => requestId.split('-')[0]!))
    const faults = [...ran].filter((requestId) => bills.filter((bill) => bill.requestId === requestId).length !== 1).map((requestId) => `${requestId} is not billed once`)
    if (bills.length !== ran.size) faults.push(`${bills.length} bills for ${ran.size} requests that ran`)
    return faults.join('; ') || undefined
  })
})

When('callers use up the budget through each router', async function (this: BudgetWorld) {
  const fleet = await this.fleet()
  await useUp(fleet, fleet.routers.map(({ id }) => id), SHORT_TOKENS)
})

When('two operators add the top-up {string} of {int} tokens at the same time, each twice', async function (this: BudgetWorld, topUpId: string, tokens: number) {
  const fleet = await this.fleet()
  const add = (operator: string): Promise<{ kind: string }> => runTableDecision(topUpBudget({ budgetId: onlyBudget(fleet), topUpId, tokens: BigInt(tokens), operator, addedAt: BigInt(Date.now()) }), fleet.platform.ports.table)
  const outcomes = [...await Promise.all([add('one'), add('other')]), ...await Promise.all([add('one'), add('other')])]
  assert.deepEqual(outcomes.map(({ kind }) => kind).sort(), ['added', 'alreadyAdded', 'alreadyAdded', 'alreadyAdded'])
})

When('a sheet with the top-up {string} of {int} tokens is accepted', async function (this: BudgetWorld, topUpId: string, tokens: number) {
  const fleet = await this.fleet()
  const sheet = parseFixtureSheet(fleet.sheetText)
  sheet.budgets[0]!.topUps.push({ ...sheet.budgets[0]!.topUps[0]!, id: topUpId, tokens: BigInt(tokens) })
  await fleet.acceptSheet(sheet)
})

Then('the budget has {int} prepaid tokens', async function (this: BudgetWorld, tokens: number) {
  const fleet = await this.fleet()
  const [row] = await fleet.platform.ports.table.read([budgetKeys.budget(onlyBudget(fleet))])
  assert.equal(budgetCodec.decode(row!).prepaidTokens, BigInt(tokens))
})

Then('a caller is answered through each router', async function (this: BudgetWorld) {
  const fleet = await this.fleet()
  for (const { id } of fleet.routers) {
    const call = chatTo(fleet, id, `after the top-up ${id}`, SHORT_TOKENS)
    const answer = await sendChat(call)
    assert.equal(findAnswerFault(call, answer), undefined)
    assert.equal(answer.usage!.total_tokens, billedTokens(call))
  }
})

When('{string} is told to stop and ends with code 0', async function (this: BudgetWorld, routerId: string) {
  assert.deepEqual(await (await this.fleet()).member(routerId).terminate(), { code: 0, signal: null })
})

Then('no lease of {string} is left', async function (this: BudgetWorld, routerId: string) {
  const fleet = await this.fleet()
  await eventually(BILLED_MILLISECONDS, async () => {
    const { leases } = await readLedger(fleet.platform.ports.table)
    const left = leases.filter(({ lease }) => lease.incarnation.startsWith(routerId))
    return left.length === 0 ? undefined : `${left.length} leases of ${routerId} are left`
  })
})
