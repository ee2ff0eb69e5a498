import { create } from '@bufbuild/protobuf'
import { parseFixtureSheet, startFleet } from '@quinceshunt/scenarios'
import { SheetBudgetSchema, SheetClientAccountSchema, type Sheet } from '@quinceshunt/schemas'
import type { Measurements } from '../experiment/experiment.js'
import { pause, type Measurement } from './measurement.js'
import { residentBytes } from './processUsage.js'

const BUDGET_COUNTS = [0, 60_000, 120_000, 240_000]
const CLIENT_ACCOUNTS = 500
const SETTLE_MILLISECONDS = 8000
const BYTES_PER_MEBIBYTE = 1_048_576

/** Resident memory of a router by the number of budgets in the configuration in force. */
export const budgetMemory: Measurement = {
  name: 'budgetMemory',
  description: `resident memory of one router ${SETTLE_MILLISECONDS / 1000} s after it is ready, by budgets of ${CLIENT_ACCOUNTS} client accounts`,
  run: async (note) => {
    const figures: Record<string, number> = {}
    for (const budgets of BUDGET_COUNTS) {
      note(`budgetMemory: ${budgets} budgets`)
      figures[`with${budgets}BudgetsMebibytes`] = await measureMemory(budgets)
    }
    const most = BUDGET_COUNTS.at(-1)!
    const grown = figures[`with${most}BudgetsMebibytes`]! - figures['with0BudgetsMebibytes']!
    return { ...figures, per1000BudgetsMebibytes: grown * 1000 / most } satisfies Measurements
  }
}

async function measureMemory (budgets: number): Promise<number> {
  const fleet = await startFleet({ routers: 1, engines: 1, plainServices: 1, applySheet: false, routerSettings: { log: { level: 'error' } } })
  try {
    await fleet.acceptSheet(withBudgets(parseFixtureSheet(fleet.sheetText), budgets))
    await fleet.waitUntilReady()
    await pause(SETTLE_MILLISECONDS)
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
