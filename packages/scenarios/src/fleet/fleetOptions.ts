import { RefusalPreference } from '@quinceshunt/schemas'

/** Deployments described in section 1 of the design page. */
export type Organisation = 'taller' | 'fundacion'

/** Client account with one budget and one key. */
export interface AccountOptions {
  readonly id: string
  /** Tokens of the first top-up; 0 for a budget without top-ups. */
  readonly budgetTokens: number
  /** Relative share of capacity under overload, 1 to 100. */
  readonly weight?: number
}

/** Settings that override the fixture's settings, merged recursively. */
export type SettingsOverrides = Readonly<Record<string, unknown>>

/** Composition and settings of a fleet; every field has a default. */
export interface FleetOptions {
  readonly organisation?: Organisation
  /** Number of processes. */
  readonly routers?: number
  readonly engines?: number
  readonly plainServices?: number
  readonly administrations?: number
  readonly accounts?: readonly AccountOptions[]
  readonly platformSettings?: SettingsOverrides
  readonly routerSettings?: SettingsOverrides
  readonly engineSettings?: SettingsOverrides
  readonly plainServiceSettings?: SettingsOverrides
  readonly administrationSettings?: SettingsOverrides
  /** Counts the bytes between routers and the platform if true. */
  readonly countPlatformBytes?: boolean
  /** Starts the fleet without a configuration if false. */
  readonly applySheet?: boolean
}

/** Names used in an organisation's sheet. */
export interface OrganisationNames {
  readonly model: string
  readonly service: string
  /** Path of the route that is not idempotent. */
  readonly actionPath: string
  /** Path of the idempotent route. */
  readonly queryPath: string
  readonly failureDomains: readonly string[]
  readonly refusalPreference: keyof typeof RefusalPreference
}

export const organisationNames: Readonly<Record<Organisation, OrganisationNames>> = {
  taller: {
    model: 'painter',
    service: 'commissions',
    actionPath: '/deposits',
    queryPath: '/orders',
    failureDomains: ['caldas-1', 'caldas-2', 'caldas-3'],
    refusalPreference: 'AVOID_OVERSPEND_RISK'
  },
  fundacion: {
    model: 'listener',
    service: 'rounds',
    actionPath: '/pledges',
    queryPath: '/households',
    failureDomains: ['andes-norte-1', 'andes-norte-2', 'andes-norte-3'],
    refusalPreference: 'AVOID_FALSE_REFUSALS'
  }
}

/** Initial budget of the fixture's accounts, large enough for every test that does not exhaust a budget. */
const AMPLE_BUDGET_TOKENS = 10_000_000

/** Accounts of a fleet whose options list none. */
export const defaultAccounts: readonly AccountOptions[] = [
  { id: 'escuela', budgetTokens: AMPLE_BUDGET_TOKENS },
  { id: 'museo', budgetTokens: AMPLE_BUDGET_TOKENS }
]

/** Merges overrides into settings recursively. */
export function mergeSettings (base: Record<string, unknown>, overrides: SettingsOverrides = {}): Record<string, unknown> {
  const merged = { ...base }
  for (const [key, value] of Object.entries(overrides)) {
    const baseValue = merged[key]
    merged[key] = isPlainObject(baseValue) && isPlainObject(value) ? mergeSettings(baseValue, value) : value
  }
  return merged
}

function isPlainObject (value: unknown): value is Record<string, unknown> {
  return typeof value === 'object' && value !== null && !Array.isArray(value)
}
