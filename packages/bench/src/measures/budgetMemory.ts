import { create } from '@bufbuild/protobuf'
import { parseFixtureSheet, startFleet } from '@quinceshunt/scenarios'
import { SheetBudgetSchema, SheetClientAccountSchema, type Sheet } from '@quinceshunt/schemas'
import type { Measurements } from '../experiment/experiment.js'
import { sleep, type Measurement } from './measurement.js'
import { residentBytes } from './processUsage.js'

const BUDGET_COUNTS = [0, 60_000, 120_000, 240_000]
const CLIENT_ACCOUNTS = 500
const SETTLE_MILLISECONDS = 8000
const BYTES_PER_MEBIBYTE = 1_048_576

/** Measures the resident memory of a router by the number of budgets in its configuration. */
export const budgetMemory: Measurement = {
  name: 'budgetMemory',
  description: `resident memory of one router ${SETTLE_MILLISECONDS / 1000} s after it is ready, by number of budgets across ${CLIENT_ACCOUNTS} client accounts`,
  run: async (reportProgress) => {
    const measurements: Record<string, number> = {}
    for (const budgets of BUDGET_COUNTS) {
      reportProgress(`budgetMemory: ${budgets} budgets`)
      measurements[`with${budgets}BudgetsMebibytes`] = await measureMemory(budgets)
    }
    const maxBudgets = BUDGET_COUNTS.at(-1)!
    const growthMebibytes = measurements[`with${maxBudgets}BudgetsMebibytes`]! - measurements['with0BudgetsMebibytes']!
    return { ...measurements, per1000BudgetsMebibytes: growthMebibytes * 1000 / maxBudgets } satisfies Measurements
  }
}

async function measureMemory (budgets: number): Promise<number> {
  const fleet = await startFleet({ routers: 1, engines: 1, plainServices: 1, applySheet: false, routerSettings: { log: { level: 'error' } } })
  try {
    await fleet.acceptSheet(withBudgets(parseFixtureSheet(fleet.sheetText), budgets))
    await fleet.waitUntilReady()
    await sleep(SETTLE_MILLISECONDS)
    return residentBytes(fleet.routers[0]!.process.processId) / BYTES_PER_MEBIBYTE
  } finally {
    await fleet.stop()
  }
}

function withBudgets (sheet: Sheet, budgets: number): Sheet {
  const accounts = Array.from({ length: CLIENT_ACCOUNTS }, (_unused, index) => create(SheetClientAccountSchema, { id: `client-${index}`, targets: sheet.models.map((model) => model.id) }))
  const added = Array.from({ length: budgets }, (_unused, index) => create(SheetBudgetSchema, {
    id: `budget-${index}`, clientAccount: `client-${index % CLIENT_ACCOUNTS}`, topUps: [{ id: 'first', tokens: 1_000_000n }]
  }))
  return { ...sheet, clientAccounts: [...sheet.clientAccounts, ...accounts], budgets: [...sheet.budgets, ...added] }
}
