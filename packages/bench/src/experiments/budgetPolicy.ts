import { promptTokenUpperBound, summariseBudget } from '@quinceshunt/budget'
import { runTableDecision } from '@quinceshunt/table-store'
import { budgetIdOf, findViolations, readLedger, startLoadBalancer, startFleet, type AccountOptions, type Fleet, type Organisation } from '@quinceshunt/scenarios'
import type { ExperimentDefinition, Measurements, RunContext } from '../experiment/experiment.js'
import { scheduleFaults, type Fault } from '../fleet/faultSchedule.js'
import { measureBudgets } from '../load/measureBudgets.js'
import type { RequestClass } from '../load/mixes.js'
import { planRequests } from '../load/planRequests.js'
import { sendPlan, type SentRequest } from '../load/sendPlan.js'

const LOAD_DURATION_MILLISECONDS = 9_000
const REQUESTS_PER_SECOND = 60
/** Shorter than the faults, so that leases expire and their tokens are withheld during the run. */
const LEASE_DURATION_MILLISECONDS = 3_000
const FAULT_START_SECONDS = 2
const FAULT_DURATION_SECONDS = 6
/** Time after the load for idle allowances to be returned and the leases of killed instances to expire. */
const SETTLE_MILLISECONDS = 6_000
const SAMPLE_INTERVAL_MILLISECONDS = 1_000
/** Fraction of the expected use that a budget covers; below 1, so that every budget runs out during the load. */
const BUDGETED_SHARE = 0.7
/** Mean cost of a request of `MIX`: 75 prompt and 50 completion tokens. */
const MEAN_REQUEST_TOKENS = 125

const MIX: readonly RequestClass[] = [{ kind: 'chat', name: 'question', share: 1, streamed: true, documentBytes: 180, documents: 2, questionBytes: 90, answerTokens: [20, 80] }]

/** Ten client accounts, three of them large. */
const ACCOUNTS = Array.from({ length: 10 }, (_unused, index) => {
  const share = index < 3 ? 25 - 5 * index : 40 / 7
  const expectedRequests = REQUESTS_PER_SECOND * LOAD_DURATION_MILLISECONDS / 1000 * share / 100
  return { id: `account-${index + 1}`, share, budgetTokens: Math.round(expectedRequests * MEAN_REQUEST_TOKENS * BUDGETED_SHARE) }
})

type FaultCondition = 'calm' | 'cutOff' | 'outage' | 'kills'
const FAULTS_BY_CONDITION: Readonly<Record<FaultCondition, readonly Fault[]>> = {
  calm: [],
  cutOff: [{ kind: 'platformDown', service: 'table', instance: 'router-1', atSeconds: FAULT_START_SECONDS, forSeconds: FAULT_DURATION_SECONDS }],
  outage: [{ kind: 'platformDown', service: 'table', atSeconds: FAULT_START_SECONDS, forSeconds: FAULT_DURATION_SECONDS }],
  kills: [{ kind: 'kill', instance: 'router-1', atSeconds: FAULT_START_SECONDS }, { kind: 'kill', instance: 'router-2', atSeconds: FAULT_START_SECONDS + 2 }]
}

/** One combination of the experiment's factors; each runs as a policy of its own. */
interface Cell {
  readonly name: string
  readonly organisation: Organisation
  readonly instances: number
  readonly condition: FaultCondition
  readonly transferPath: 'DIRECT' | 'TABLE'
}

const CELLS: readonly Cell[] = (['taller', 'fundacion'] as const).flatMap((organisation) => [6, 9].flatMap((instances) => [
  ...(['calm', 'cutOff', 'outage', 'kills'] as const).map((condition) => createCell(organisation, instances, condition, 'DIRECT')),
  ...(['calm', 'cutOff'] as const).map((condition) => createCell(organisation, instances, condition, 'TABLE'))
]))

function createCell (organisation: Organisation, instances: number, condition: FaultCondition, transferPath: Cell['transferPath']): Cell {
  return { name: `${organisation}-${instances}-${condition}-${transferPath.toLowerCase()}`, organisation, instances, condition, transferPath }
}

/** Measures false refusals, withheld tokens and table writes under both refusal preferences, each fault condition and both transfer paths. */
export const experiment: ExperimentDefinition = {
  name: 'budget-policy',
  description: 'Both refusal preferences (taller: avoid overspend risk; fundacion: avoid false refusals) at 6 and 9 instances, with budgets that run out during the load: without faults, with one instance cut off from the table, with a store outage, with two instances killed; direct transfers against transfers through the table.',
  policies: selectCells(process.env['BUDGET_POLICY_CELLS']).map(({ name }) => name),
  repetitions: 1,
  seed: 7,
  run: async (policy, context) => await runCell(CELLS.find(({ name }) => name === policy)!, context)
}

/** Selects the cells whose names match the regular expression, or all cells without one. */
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
    routerSettings: { log: { level: 'error' }, budget: { leaseMilliseconds: LEASE_DURATION_MILLISECONDS, transferPath: `TRANSFER_PATH_${cell.transferPath}` } }
  })
  try {
    return await runLoad(fleet, cell, context)
  } finally {
    await fleet.stop()
  }
}

async function runLoad (fleet: Fleet, cell: Cell, context: RunContext): Promise<Measurements> {
  const plan = planRequests({ seed: context.seed, durationMilliseconds: LOAD_DURATION_MILLISECONDS, requestsPerSecond: REQUESTS_PER_SECOND, mix: MIX, accounts: ACCOUNTS })
  const before = await fleet.platform.readCounters()
  const sampler = startWithheldSampler(fleet)
  const faults = scheduleFaults(fleet, FAULTS_BY_CONDITION[cell.condition], (error) => context.reportProgress(`fault injection failed: ${String(error)}`))
  const balancer = startLoadBalancer(() => fleet.routers)
  const sent = await sendPlan(plan, { fleet, pickRouter: balancer.pick })
  balancer.stop()
  await faults.stop()
  const after = await fleet.platform.readCounters()
  await new Promise((resolve) => setTimeout(resolve, SETTLE_MILLISECONDS))
  const withheldPeakTokens = await sampler.stop()
  const ledger = await readLedger(fleet.platform.client.table)
  const violations = findViolations(ledger)
  for (const violation of violations) context.reportProgress(`violation: ${violation}`)
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
    reachableRefusals: countReachableRefusals(sent),
    falseRefusalsPer1000Requests: falseRefusals! * 1000 / sent.length,
    spentSharePercent: billedTokens * 100 / prepaidTokens,
    withheldPeakTokens,
    withheldAtEndTokens: await readWithheldTokens(fleet),
    tableWritesPer1000Requests: Number(after.tableTransactionsApplied - before.tableTransactionsApplied) * 1000 / sent.length,
    tableTransactionsPer1000Requests: Number(after.tableTransactions - before.tableTransactions) * 1000 / sent.length,
    overspendTokens: overspendTokens!,
    violations: violations.length
  }
}

/**
 * Counts refusals although the remaining tokens would have covered the request's ceiling. The hard limit makes the other
 * false refusals unavoidable: the remaining tokens covered the cost, which is known only afterwards, but not the ceiling.
 */
function countReachableRefusals (sent: readonly SentRequest[]): number {
  return sent.filter((refusal) => {
    if (refusal.result !== 'refused') return false
    const sameAccount = sent.filter(({ planned, result }) => planned.account === refusal.planned.account && result !== 'refused' && planned.arrivalMilliseconds <= refusal.endedAtMilliseconds)
    // Requests without a complete, correct answer count with their ceilings.
    const usedTokens = sameAccount.reduce((sum, request) => sum + (request.result === 'answered' ? request.tokens : ceilingInTokens(request)), 0)
    return ACCOUNTS.find(({ id }) => id === refusal.planned.account)!.budgetTokens - usedTokens >= ceilingInTokens(refusal)
  }).length
}

function ceilingInTokens ({ planned }: SentRequest): number {
  return promptTokenUpperBound([{ role: 'user', content: planned.content }]) + planned.answerTokens
}

/** Reads the tokens held under expired leases, summed over all budgets. */
async function readWithheldTokens (fleet: Fleet): Promise<number> {
  const now = BigInt(Date.now())
  const summaries = await Promise.all(fleet.accounts.map(({ id }) => runTableDecision(summariseBudget(budgetIdOf(id), now), fleet.platform.client.table)))
  return summaries.reduce((sum, summary) => sum + Number(summary?.withheldTokens ?? 0n), 0)
}

/** Samples the withheld tokens once per second; `stop` resolves with the largest sample. */
function startWithheldSampler (fleet: Fleet): { stop: () => Promise<number> } {
  const stopped = new AbortController()
  let peakTokens = 0
  async function sample (): Promise<void> {
    while (!stopped.signal.aborted) {
      peakTokens = Math.max(peakTokens, await readWithheldTokens(fleet))
      await new Promise((resolve) => setTimeout(resolve, SAMPLE_INTERVAL_MILLISECONDS))
    }
  }
  const sampling = sample()
  return {
    stop: async () => {
      stopped.abort()
      await sampling
      return peakTokens
    }
  }
}
