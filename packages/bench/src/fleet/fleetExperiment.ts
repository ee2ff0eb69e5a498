import { findViolations, mergeSettings, readLedger, startLoadBalancer, startFleet, type Fleet, type SettingsOverrides } from '@quinceshunt/scenarios'
import type { ExperimentDefinition, Measurements, RunContext } from '../experiment/experiment.js'
import { measureBudgets } from '../load/measureBudgets.js'
import { measureLoad } from '../load/measureLoad.js'
import { mixes, type RequestClass } from '../load/mixes.js'
import { planRequests } from '../load/planRequests.js'
import { sendPlan } from '../load/sendPlan.js'
import { estimateCapacity } from './estimateCapacity.js'
import type { ExperimentFile } from './experimentFile.js'
import { scheduleFaults } from './faultSchedule.js'

/** Time after the load for the bills of the last requests to be written. */
const SETTLE_MILLISECONDS = 2000
/** Engine settings used where the experiment file sets none. */
const DEFAULT_ENGINE_SETTINGS = { slots: 8, tokenMilliseconds: 5, prefillMilliseconds: 20 }

/** Ten client accounts, three of them large, with budgets that the load doesn't exhaust. */
const defaultAccounts = Array.from({ length: 10 }, (_unused, index) => ({
  id: `account-${index + 1}`, budgetTokens: 100_000_000, share: index < 3 ? 25 - 5 * index : 40 / 7, weight: undefined
}))

/** Creates an experiment from an experiment file; each run starts a fleet of its own. */
export function createFleetExperiment (file: ExperimentFile): ExperimentDefinition {
  const { name, description, repetitions, seed } = file
  return { name, description, repetitions, seed, policies: Object.keys(file.policies), run: (policy, context) => runOnFleet(file, policy, context) }
}

async function runOnFleet (file: ExperimentFile, policy: string, context: RunContext): Promise<Measurements> {
  const policyChanges = file.policies[policy]!
  const accounts = file.fleet.accounts ?? defaultAccounts
  const engineSettings = { ...DEFAULT_ENGINE_SETTINGS, ...mergeSettings({ ...file.fleet.engineSettings }, policyChanges.engineSettings as SettingsOverrides) }
  const fleet = await startFleet({
    ...file.fleet,
    accounts: accounts.map(({ id, budgetTokens, weight }) => ({ id, budgetTokens, ...(weight === undefined ? {} : { weight }) })),
    engineSettings,
    routerSettings: mergeSettings({ log: { level: 'error' }, ...file.fleet.routerSettings }, policyChanges.routerSettings as SettingsOverrides),
    platformSettings: mergeSettings({ ...file.fleet.platformSettings }, policyChanges.platformSettings as SettingsOverrides)
  } as Parameters<typeof startFleet>[0])
  try {
    return await runLoad(fleet, file, policy, context, engineSettings)
  } finally {
    await fleet.stop()
  }
}

async function runLoad (fleet: Fleet, file: ExperimentFile, policy: string, context: RunContext, engineSettings: typeof DEFAULT_ENGINE_SETTINGS): Promise<Measurements> {
  const mix: readonly RequestClass[] = typeof file.load.mix === 'string' ? mixes[file.load.mix] : file.load.mix
  const capacity = estimateCapacity(mix, { engines: file.fleet.engines, ...engineSettings })
  const requestsPerSecond = file.load.requestsPerSecond ?? capacity * file.load.capacityShare!
  const plan = planRequests({ seed: context.seed, durationMilliseconds: file.durationSeconds * 1000, requestsPerSecond, mix, accounts: file.fleet.accounts ?? defaultAccounts })
  const before = await fleet.platform.readCounters()
  const faults = scheduleFaults(fleet, [...file.faults, ...file.policies[policy]!.faults ?? []], (error) => context.reportProgress(`fault injection failed: ${String(error)}`))
  const balancer = startLoadBalancer(() => fleet.routers)
  const sent = await sendPlan(plan, { fleet, pickRouter: balancer.pick })
  balancer.stop()
  await faults.stop()
  const after = await fleet.platform.readCounters()
  await new Promise((resolve) => setTimeout(resolve, SETTLE_MILLISECONDS))
  const ledger = await readLedger(fleet.platform.client.table)
  const per1000Requests = (count: bigint): number => Number(count) * 1000 / Math.max(1, sent.length)
  const violations = findViolations(ledger)
  for (const violation of violations) context.reportProgress(`violation: ${violation}`)
  return {
    requestsPerSecond,
    ...measureLoad(sent, file.warmupSeconds * 1000),
    ...measureBudgets(sent, fleet.accounts, ledger),
    violations: violations.length,
    tableTransactionsPer1000Requests: per1000Requests(after.tableTransactions - before.tableTransactions),
    tableReadsPer1000Requests: per1000Requests(after.tableReads + after.tableScans - before.tableReads - before.tableScans)
  }
}
