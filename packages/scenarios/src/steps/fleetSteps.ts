import { Given, Then } from '@cucumber/cucumber'
import type { Organisation } from '../fleet/fleetOptions.js'
import { findViolations, outstandingTokens, readLedger } from '../fleet/ledger.js'
import { eventually } from './eventually.js'
import type { FleetWorld } from './world.js'

/** Settlement interval, idle return and a settlement that had to be repeated, with room for a busy machine. */
const SETTLED_MILLISECONDS = 10_000

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
  await eventually(SETTLED_MILLISECONDS, async () => findViolations(await readLedger(fleet.platform.ports.table)).join('; ') || undefined)
})

Then('no tokens stay reserved', async function (this: FleetWorld) {
  const fleet = await this.fleet()
  // Idle allowances are returned, but a token that is still reserved can't be.
  await eventually(SETTLED_MILLISECONDS, async () => {
    const { leases } = await readLedger(fleet.platform.ports.table)
    const held = leases.filter(({ lease }) => outstandingTokens(lease) > 0n)
    return held.length === 0 ? undefined : held.map(({ budgetId, lease }) => `${lease.incarnation} holds ${outstandingTokens(lease)} tokens of ${budgetId}`).join('; ')
  })
})
