import { Given, Then } from '@cucumber/cucumber'
import type { Organisation } from '../fleet/fleetOptions.js'
import { findViolations, outstandingTokens, readLedger } from '../fleet/ledger.js'
import { eventually } from './eventually.js'
import type { FleetWorld } from './world.js'

/** Covers the settlement interval, the idle return and one retried settlement, with a margin for a busy machine. */
const SETTLEMENT_TIMEOUT_MS = 10_000

Given('a fleet of {int} routers and {int} engines', function (this: FleetWorld, routers: number, engines: number) {
  this.configure({ routers, engines })
})

Given('a fleet of the organisation {string} with {int} routers', function (this: FleetWorld, organisation: Organisation, routers: number) {
  this.configure({ organisation, routers })
})

Given('routers with the settings:', function (this: FleetWorld, json: string) {
  this.configure({ routerSettings: JSON.parse(json) as Record<string, unknown> })
})

Given('client accounts with budgets:', function (this: FleetWorld, table: { hashes: () => { account: string, tokens: string }[] }) {
  this.configure({ accounts: table.hashes().map(({ account, tokens }) => ({ id: account, budgetTokens: Number(tokens) })) })
})

Then('the ledger has no violation', async function (this: FleetWorld) {
  const fleet = await this.fleet()
  await eventually(SETTLEMENT_TIMEOUT_MS, async () => findViolations(await readLedger(fleet.platform.client.table)).join('; ') || undefined)
})

Then('no tokens remain reserved', async function (this: FleetWorld) {
  const fleet = await this.fleet()
  // Idle allowances are returned, but reserved tokens are not.
  await eventually(SETTLEMENT_TIMEOUT_MS, async () => {
    const { leases } = await readLedger(fleet.platform.client.table)
    const leasesWithTokens = leases.filter(({ lease }) => outstandingTokens(lease) > 0n)
    return leasesWithTokens.length === 0 ? undefined : leasesWithTokens.map(({ budgetId, lease }) => `${lease.incarnation} holds ${outstandingTokens(lease)} tokens of ${budgetId}`).join('; ')
  })
})
