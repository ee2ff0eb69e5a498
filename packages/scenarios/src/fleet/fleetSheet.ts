import type { Platform } from '@quinceshunt/table-store'
import type { Sheet, SheetHead } from '@quinceshunt/schemas'
import { acceptConfiguration, buildConfiguration, configurationOf, hashKey, parseSheet } from '@quinceshunt/sheet'
import { InternalError } from '@quinceshunt/telemetry'
import { randomUUID } from 'node:crypto'
import { stringify } from 'yaml'
import type { AccountOptions, OrganisationNames } from './fleetOptions.js'
import { FLEET_KEY } from './memberSettings.js'

const SALT = '00112233445566778899aabbccddeeff'
/** Price of the fixture's priced route, tokens. */
export const PRICED_ROUTE_TOKENS = 25
/** Path of the fixture's priced route, which must not be repeated. */
export const PRICED_ROUTE_PATH = '/priced'

/** A backend server as the sheet lists it. */
export interface BackendServerEntry {
  readonly id: string
  readonly target: string
  readonly address: string
  readonly failureDomain: string
  readonly slots: number
}

/** Bearer key of a fixture's account. */
export function keyOf (account: string): string {
  return `key-${account}.secret-of-${account}`
}

/** Budget of a fixture's account. */
export function budgetOf (account: string): string {
  return `${account}-budget`
}

/** Text of a sheet (YAML) with the given accounts and backend servers. */
export function buildSheetText (deployment: string, names: OrganisationNames, accounts: readonly AccountOptions[], backendServers: readonly BackendServerEntry[]): string {
  return stringify({
    deployment,
    clientAccounts: accounts.map(({ id, weight }) => ({ id, targets: [names.model, names.service], ...(weight === undefined ? {} : { weight }) })),
    budgets: accounts.map(({ id, budgetTokens }) => ({ id: budgetOf(id), clientAccount: id, ...(budgetTokens === 0 ? {} : { topUps: [{ id: 'first', tokens: budgetTokens }] }) })),
    keys: accounts.map(({ id }) => ({ id: `key-${id}`, clientAccount: id, budget: budgetOf(id), saltHex: SALT, hashHex: hashKey(SALT, `secret-of-${id}`) })),
    models: [{ id: names.model, contextTokens: 131_072, completionTokens: 4096 }],
    services: [{ id: names.service }],
    routes: [
      { service: names.service, method: 'POST', pathPrefix: names.actionPath, idempotent: false },
      { service: names.service, method: 'POST', pathPrefix: PRICED_ROUTE_PATH, idempotent: false, priceTokens: PRICED_ROUTE_TOKENS },
      { service: names.service, method: '*', pathPrefix: names.queryPath, idempotent: true }
    ],
    backendServers
  })
}

/** Parses a sheet that the fixture wrote; a fault in it is a fault of the fixture. */
export function parseFixtureSheet (text: string): Sheet {
  const parsed = parseSheet('yaml', text)
  if (parsed.kind === 'valid') return parsed.sheet
  const faults = parsed.problems.map((fault) => `${fault.place}: ${fault.message}`).join('; ')
  throw new InternalError(`the fixture's sheet is not valid: ${faults}`, { props: { step: 'parse fixture sheet', peer: '' } })
}

/** Accepts a sheet as the revision after `baseRevision`, as an administration process would. */
export async function acceptFixtureSheet (platform: Platform, sheet: Sheet, baseRevision: bigint): Promise<SheetHead> {
  const outcome = await acceptConfiguration(platform, {
    configuration: buildConfiguration(configurationOf(sheet)),
    baseRevision,
    author: { operator: 'fixture', role: 'planner' },
    at: Date.now(),
    fleetKey: FLEET_KEY,
    auditId: randomUUID(),
    action: 'sheet apply',
    subject: sheet.deployment,
    detail: ''
  })
  if (outcome.kind === 'accepted') return outcome.head
  throw new InternalError(`revision ${outcome.head?.revision ?? 0} is in force, not ${baseRevision}`, { props: { step: 'accept fixture sheet', peer: '' } })
}
