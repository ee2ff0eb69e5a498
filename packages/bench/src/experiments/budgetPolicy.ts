import { promptTokenUpperBound, summariseBudget } from '@quinceshunt/budget'
import { runTableDecision } from '@quinceshunt/table-store'
import { budgetOf, findViolations, readLedger, startBalancer, startFleet, type AccountOptions, type Fleet, type Organisation } from '@quinceshunt/scenarios'
import type { ExperimentDefinition, Measurements, RunContext } from '../experiment/experiment.js'
import { startFaults, type Fault } from '../fleet/faultSchedule.js'
import { measureBudgets } from '../load/falseRefusals.js'
import type { RequestClass } from '../load/mixes.js'
import { planRequests } from '../load/planRequests.js'
import { sendPlan, type SentRequest } from '../load/sendPlan.js'

const LOAD_MILLISECONDS = 9_000
const REQUESTS_PER_SECOND = 60
/** Shorter than the faults, so that withheld allowances show during the run. */
const LEASE_MILLISECONDS = 3_000
const FAULT_START_SECONDS = 2
const FAULT_SECONDS = 6
/** After the load: idle allowances are returned and the leases of killed instances expire. */
const QUIET_MILLISECONDS = 6_000
const SAMPLE_MILLISECONDS = 1_000
/** Part of the expected use that each budget covers, so that every budget runs out during the load. */
const BUDGET_SHARE = 0.7
/** Mean cost of a request of the mix below: 75 prompt and 50 completion tokens. */
const MEAN_REQUEST_TOKENS = 125

const MIX: readonly RequestClass[] = [{ kind: 'chat', name: 'question', share: 1, streamed: true, documentBytes: 180, documents: 2, questionBytes: 90, answerTokens: [20, 80] }]

/** Ten client accounts, three of them large. */
const ACCOUNTS = Array.from({ length: 10 }, (_unused, index) => {
  const share = index < 3 ? 25 - 5 * index : 40 / 7
  const expectedRequests = REQUESTS_PER_SECOND * LOAD_MILLISECONDS / 1000 * share / 100
  return { id: `account-${index + 1}`, share, budgetTokens: Math.round(expectedRequests * MEAN_REQUEST_TOKENS * BUDGET_SHARE) }
})

type Condition = 'calm' | 'cutOff' | 'outage' | 'kills'
const CONDITIONS: Readonly<Record<Condition, readonly Fault[]>> = {
  calm: [],
  cutOff: [{ kind: 'platformDown', service: 'table', instance: 'router-1', atSeconds: FAULT_START_SECONDS, forSeconds: FAULT_SECONDS }],
  outage: [{ kind: 'platformDown', service: 'table', atSeconds: FAULT_START_SECONDS, forSeconds: FAULT_SECONDS }],
  kills: [{ kind: 'kill', instance: 'router-1', atSeconds: FAULT_START_SECONDS }, { kind: 'kill', instance: 'router-2', atSeconds: FAULT_START_SECONDS + 2 }]
}

interface Cell {
  readonly name: string
  readonly organisation: Organisation
  readonly instances: number
  readonly condition: Condition
  readonly path: 'DIRECT' | 'TABLE'
}

const CELLS: readonly Cell[] = (['taller', 'fundacion'] as const).flatMap((organisation) => [6, 9].flatMap((instances) => [
  ...(['calm', 'cutOff', 'outage', 'kills'] as const).map((condition) => cellOf(organisation, instances, condition, 'DIRECT')),
  ...(['calm', 'cutOff'] as const).map((condition) => cellOf(organisation, instances, condition, 'TABLE'))
]))

function cellOf (organisation: Organisation, instances: number, condition: Condition, path: Cell['path']): Cell {
  return { name: `${organisation}-${instances}-${condition}-${path.toLowerCase()}`, organisation, instances, condition, path }
}

/** False refusals, withheld tokens and table writes under both refusal preferences, faults and transfer paths. */
export const experiment: ExperimentDefinition = {
  name: 'budget-policy',
  description: 'Both refusal preferences (taller: avoid overspend risk; fundacion: avoid false refusals) at 6 and 9 instances, with budgets that run out during the load: without faults, with one instance cut off from the table, with a store outage, with two instances killed; direct transfers against transfers through the table.',
  policies: selectCells(process.env['BUDGET_POLICY_CELLS']).map(({ name }) => name),
  repetitions: 1,
  seed: 7,
  run: async (policy, context) => await runCell(CELLS.find(({ name }) => name === policy)!, context)
}

/** Cells whose names match a regular expression; all without one. */
function selectCells (pattern: string | undefined): readonly Cell[] {
  return pattern === undefined ? CELLS : CELLS.filter(({ name }) => new RegExp(pattern).test(name))
}

async function runCell (cell: Cell, context: RunContext): Promise<Measurements> {
  const fleet = await startFleet({
    organisation: cell.organisation,
    routers: cell.instances,
    engines: 3,
    accounts: ACCOUNTS.map(({ id, budgetTokens }): AccountOptions => ({ id, budgetTokens })),
    engineSettings: { slots: 32, tokenMilliseconds: 3 },
    routerSettings: { log: { level: 'error' }, budget: { leaseMilliseconds: LEASE_MILLISECONDS, transferPath: `TRANSFER_PATH_${cell.path}` } }
  })
  try {
    return await runLoad(fleet, cell, context)
  } finally {
    await fleet.stop()
  }
}

async function runLoad (fleet: Fleet, cell: Cell, context: RunContext): Promise<Measurements> {
  const plan = planRequests({ seed: context.seed, durationMilliseconds: LOAD_MILLISECONDS, requestsPerSecond: REQUESTS_PER_SECOND, mix: MIX, accounts: ACCOUNTS })
  const before = await fleet.platform.counters()
  const sampler = sampleWithheld(fleet)
  const faults = startFaults(fleet, CONDITIONS[cell.condition], (error) => context.note(`fault failed: ${String(error)}`))
  const balancer = startBalancer(() => fleet.routers)
  const sent = await sendPlan(plan, { fleet, pickRouter: balancer.pick })
  balancer.stop()
  await faults.stop()
  const after = await fleet.platform.counters()
  await new Promise((resolve) => setTimeout(resolve, QUIET_MILLISECONDS))
  const withheldPeakTokens = await sampler.stop()
  const ledger = await readLedger(fleet.platform.ports.table)
  const violations = findViolations(ledger)
  for (const violation of violations) context.note(`violation: ${violation}`)
  const { budgetRefusals, falseRefusals, overspendTokens } = measureBudgets(sent, fleet.accounts, ledger) as Record<string, number>
  const prepaidTokens = ACCOUNTS.reduce((sum, { budgetTokens }) => sum + budgetTokens, 0)
  const billedTokens = ledger.bills.reduce((sum, bill) => sum + Number(bill.chargedTokens), 0)
  return {
    requests: sent.length,
    answered: sent.filter(({ result }) => result === 'answered').length,
    broken: sent.filter(({ result }) => result === 'broken').length,
    wrong: sent.filter(({ result }) => result === 'wrong').length,
    otherRefusals: sent.filter(({ result }) => result === 'refused').length - budgetRefusals!,
    budgetRefusals: budgetRefusals!,
    falseRefusals: falseRefusals!,
    reachableRefusals: countReachable(sent),
    falseRefusalsPer1000Requests: falseRefusals! * 1000 / sent.length,
    spentSharePercent: billedTokens * 100 / prepaidTokens,
    withheldPeakTokens,
    withheldAtEndTokens: await withheldTokens(fleet),
    tableWritesPer1000Requests: Number(after.tableTransactionsApplied - before.tableTransactionsApplied) * 1000 / sent.length,
    tableTransactionsPer1000Requests: Number(after.tableTransactions - before.tableTransactions) * 1000 / sent.length,
    overspendTokens: overspendTokens!,
    violations: violations.length
  }
}

/**
 * Refusals although the tokens left would have covered the request's ceiling. The other false refusals are the price of
 * the hard limit: what was left covered the request's cost, which is known only afterwards, but not its ceiling.
 */
function countReachable (sent: readonly SentRequest[]): number {
  return sent.filter((refusal) => {
    if (refusal.result !== 'refused') return false
    const sameAccount = sent.filter(({ planned, result }) => planned.account === refusal.planned.account && result !== 'refused' && planned.atMilliseconds <= refusal.endedAtMilliseconds)
    // Tokens of requests that broke off count with their ceilings.
    const used = sameAccount.reduce((sum, request) => sum + (request.result === 'answered' ? request.tokens : ceilingOf(request)), 0)
    return ACCOUNTS.find(({ id }) => id === refusal.planned.account)!.budgetTokens - used >= ceilingOf(refusal)
  }).length
}

function ceilingOf ({ planned }: SentRequest): number {
  return promptTokenUpperBound([{ role: 'user', content: planned.content }]) + planned.answerTokens
}

/** Tokens under expired leases, over all budgets. */
async function withheldTokens (fleet: Fleet): Promise<number> {
  const now = BigInt(Date.now())
  const summaries = await Promise.all(fleet.accounts.map(({ id }) => runTableDecision(summariseBudget(budgetOf(id), now), fleet.platform.ports.table)))
  return summaries.reduce((sum, summary) => sum + Number(summary?.withheldTokens ?? 0n), 0)
}

/** Samples the withheld tokens once a second; `stop` resolves with the largest sample. */
function sampleWithheld (fleet: Fleet): { stop: () => Promise<number> } {
  const stopped = new AbortController()
  let peak = 0
  async function sample (): Promise<void> {
    while (!stopped.signal.aborted) {
      peak = Math.max(peak, await withheldTokens(fleet))
      await new Promise((resolve) => setTimeout(resolve, SAMPLE_MILLISECONDS))
    }
  }
  const sampling = sample()
  return {
    stop: async () => {
      stopped.abort()
      await sampling
      return peak
    }
  }
}
