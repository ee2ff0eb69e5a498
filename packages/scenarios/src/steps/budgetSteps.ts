import { Then, When } from '@cucumber/cucumber'
import { runTableDecision } from '@quinceshunt/table-store'
import { budgetCodec, budgetKeys, putRow, resolveLease, summariseBudget, topUpBudget, type BudgetSummary } from '@quinceshunt/budget'
import assert from 'node:assert/strict'
import { randomUUID } from 'node:crypto'
import { expectedBilledTokens, findResponseFault, createPrompt } from '../callers/findResponseFault.js'
import { sendChat, type ChatResponse, type ChatCall } from '../callers/sendChat.js'
import { readRuns } from '../fleet/backendRecord.js'
import { budgetIdOf, bearerKeyOf, parseFixtureSheet } from '../fleet/fleetSheet.js'
import { readLedger } from '../fleet/ledger.js'
import type { Fleet } from '../fleet/startFleet.js'
import { eventually } from './eventually.js'
import { FleetWorld } from './world.js'

/** At 5 ms per token, the stream is still open when the router is killed or paused. */
const OPEN_STREAM_TOKENS = 400
/** Time for the callers' streams to start. */
const STREAM_START_DELAY_MS = 600
const BILLING_TIMEOUT_MS = 15_000
const SHORT_ANSWER_TOKENS = 40
/** Concurrent callers per router that exhaust a budget. */
const CALLERS_PER_ROUTER = 4
/** Upper bound of requests that exhaust any small budget of the scenarios. */
const MAX_REQUESTS = 600

interface PendingChat { readonly call: ChatCall, readonly response: Promise<ChatResponse> }
type BudgetWorld = FleetWorld & { pendingChats?: PendingChat[], refused?: number }

function createChatCall (fleet: Fleet, routerId: string, text: string, tokens: number, idempotencyKey?: string): ChatCall {
  const call = { address: fleet.member(routerId).address(), key: bearerKeyOf(fleet.accounts[0]!.id), model: fleet.names.model, messages: createPrompt(text, tokens), stream: true, maxTokens: tokens }
  return idempotencyKey === undefined ? call : { ...call, idempotencyKey }
}

function firstBudgetId (fleet: Fleet): string {
  return budgetIdOf(fleet.accounts[0]!.id)
}

async function readBudgetSummary (fleet: Fleet): Promise<BudgetSummary> {
  const summary = await runTableDecision(summariseBudget(firstBudgetId(fleet), BigInt(Date.now())), fleet.platform.client.table)
  assert.ok(summary !== undefined)
  return summary
}

When('{int} callers keep streams with idempotency keys open through {string}', async function (this: BudgetWorld, callers: number, routerId: string) {
  const fleet = await this.fleet()
  this.pendingChats = Array.from({ length: callers }, (_unused, index) => {
    const call = createChatCall(fleet, routerId, `held ${index}`, OPEN_STREAM_TOKENS, `held-${index}`)
    return { call, response: sendChat(call) }
  })
  await new Promise((resolve) => setTimeout(resolve, STREAM_START_DELAY_MS))
})

When('a caller keeps a stream open through {string}', async function (this: BudgetWorld, routerId: string) {
  const fleet = await this.fleet()
  const call = createChatCall(fleet, routerId, 'held', OPEN_STREAM_TOKENS)
  this.pendingChats = [{ call, response: sendChat(call) }]
  await new Promise((resolve) => setTimeout(resolve, STREAM_START_DELAY_MS))
})

When('{string} is killed', async function (this: BudgetWorld, routerId: string) {
  await (await this.fleet()).member(routerId).kill()
})

When('those callers retry with the same idempotency keys through {string}', async function (this: BudgetWorld, routerId: string) {
  const fleet = await this.fleet()
  for (const { response } of this.pendingChats!) assert.equal((await response).complete, false, 'a stream through the killed router was complete')
  const calls = this.pendingChats!.map(({ call }) => ({ ...call, address: fleet.member(routerId).address() }))
  this.chats.push(...await Promise.all(calls.map(async (call) => ({ call, response: await sendChat(call) }))))
})

Then('the outstanding tokens of {string} are withheld until an operator releases them', async function (this: BudgetWorld, routerId: string) {
  const fleet = await this.fleet()
  let lease: BudgetSummary['leases'][number] | undefined
  await eventually(BILLING_TIMEOUT_MS, async () => {
    lease = (await readBudgetSummary(fleet)).leases.find((entry) => entry.lease.incarnation.startsWith(routerId) && entry.withheld)
    return lease === undefined ? `no tokens of ${routerId} are withheld` : undefined
  })
  const before = (await readBudgetSummary(fleet)).budget.committedTokens
  const release = resolveLease({ budgetId: firstBudgetId(fleet), incarnation: lease!.lease.incarnation, resolution: 'release', tokens: lease!.outstandingTokens, now: BigInt(Date.now()), audit: putRow(`audit/${Date.now()}/${randomUUID()}`, new Uint8Array()) })
  assert.equal((await runTableDecision(release, fleet.platform.client.table)).kind, 'resolved')
  const after = await readBudgetSummary(fleet)
  assert.equal(after.withheldTokens, 0n)
  assert.ok(after.budget.committedTokens < before)
})

When('the table service is down', async function (this: BudgetWorld) {
  await (await this.fleet()).platform.setFault({ kind: 'down', service: 'table' })
})

When('half of the table\'s replies are lost', async function (this: BudgetWorld) {
  await (await this.fleet()).platform.setFault({ kind: 'loseReplies', service: 'table', probability: 0.5 })
})

When('the table service is available again', async function (this: BudgetWorld) {
  await (await this.fleet()).platform.clearFaults()
})

Then('the table has fewer bills than there were responses', async function (this: BudgetWorld) {
  const { bills } = await readLedger((await this.fleet()).platform.client.table)
  assert.ok(bills.length < this.chats.length, `${bills.length} bills for ${this.chats.length} responses during the outage`)
})

async function exhaustBudget (fleet: Fleet, routerIds: readonly string[], tokens: number): Promise<ChatResponse[]> {
  const responses: ChatResponse[] = []
  const callers = routerIds.flatMap((routerId) => Array.from({ length: CALLERS_PER_ROUTER }, () => routerId))
  for (let sent = 0; sent < MAX_REQUESTS; sent += callers.length) {
    const round = await Promise.all(callers.map((routerId, index) => sendChat(createChatCall(fleet, routerId, `use ${sent + index}`, tokens))))
    responses.push(...round)
    if (round.every(({ error }) => error?.code === 'budget_exhausted')) return responses
  }
  throw new Error(`${MAX_REQUESTS} requests did not exhaust the budget`)
}

When('{string} is paused for {int} s while callers exhaust the budget through the other routers', async function (this: BudgetWorld, routerId: string, seconds: number) {
  const fleet = await this.fleet()
  const router = fleet.member(routerId)
  router.pause()
  const resumed = new Promise<void>((resolve) => setTimeout(() => {
    router.resume()
    resolve()
  }, seconds * 1000))
  await exhaustBudget(fleet, fleet.routers.map(({ id }) => id).filter((id) => id !== routerId), SHORT_ANSWER_TOKENS)
  await resumed
})

Then('the stream of that caller is complete', async function (this: BudgetWorld) {
  for (const { call, response } of this.pendingChats!) assert.equal(findResponseFault(call, await response), undefined)
})

Then('no more tokens are spent than were prepaid, and each run is billed once', async function (this: BudgetWorld) {
  const fleet = await this.fleet()
  const prepaid = BigInt(fleet.accounts[0]!.budgetTokens)
  await eventually(BILLING_TIMEOUT_MS, async () => {
    const runs = await readRuns(fleet.engines)
    const used = runs.reduce((sum, run) => sum + BigInt(run.promptTokens + run.completionTokens), 0n)
    if (used > prepaid) return `${used} tokens were used, ${prepaid} are prepaid`
    const { bills } = await readLedger(fleet.platform.client.table)
    // Engines receive the attempt ID, which consists of the request ID, the attempt number and a random part.
    const executedRequestIds = new Set(runs.map(({ requestId }) => requestId.split('-')[0]!))
    const faults = [...executedRequestIds].filter((requestId) => bills.filter((bill) => bill.requestId === requestId).length !== 1).map((requestId) => `${requestId} is not billed exactly once`)
    if (bills.length !== executedRequestIds.size) faults.push(`${bills.length} bills for ${executedRequestIds.size} requests that ran`)
    return faults.join('; ') || undefined
  })
})

When('callers exhaust the budget through each router', async function (this: BudgetWorld) {
  const fleet = await this.fleet()
  await exhaustBudget(fleet, fleet.routers.map(({ id }) => id), SHORT_ANSWER_TOKENS)
})

When('two operators add the top-up {string} of {int} tokens at the same time, each twice', async function (this: BudgetWorld, topUpId: string, tokens: number) {
  const fleet = await this.fleet()
  const add = (operator: string): Promise<{ kind: string }> => runTableDecision(topUpBudget({ budgetId: firstBudgetId(fleet), topUpId, tokens: BigInt(tokens), operator, addedAt: BigInt(Date.now()) }), fleet.platform.client.table)
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
  const [row] = await fleet.platform.client.table.read([budgetKeys.budget(firstBudgetId(fleet))])
  assert.equal(budgetCodec.decode(row!).prepaidTokens, BigInt(tokens))
})

Then('a caller gets a complete response through each router', async function (this: BudgetWorld) {
  const fleet = await this.fleet()
  for (const { id } of fleet.routers) {
    const call = createChatCall(fleet, id, `after the top-up ${id}`, SHORT_ANSWER_TOKENS)
    const response = await sendChat(call)
    assert.equal(findResponseFault(call, response), undefined)
    assert.equal(response.usage!.total_tokens, expectedBilledTokens(call))
  }
})

When('{string} gets SIGTERM and exits with code 0', async function (this: BudgetWorld, routerId: string) {
  assert.deepEqual(await (await this.fleet()).member(routerId).terminate(), { code: 0, signal: null })
})

Then('no lease of {string} remains', async function (this: BudgetWorld, routerId: string) {
  const fleet = await this.fleet()
  await eventually(BILLING_TIMEOUT_MS, async () => {
    const { leases } = await readLedger(fleet.platform.client.table)
    const remaining = leases.filter(({ lease }) => lease.incarnation.startsWith(routerId))
    return remaining.length === 0 ? undefined : `${remaining.length} leases of ${routerId} remain`
  })
})
