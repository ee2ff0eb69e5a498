import { RefusalPreference } from '@quinceshunt/schemas'

/** Deployments of section 1 of the design page. */
export type Organisation = 'taller' | 'fundacion'

/** A client account with one budget and one key. */
export interface AccountOptions {
  readonly id: string
  /** Tokens of its first top-up; 0 for a budget without one. */
  readonly budgetTokens: number
  /** Relative share under overload, 1 to 100. */
  readonly weight?: number
}

/** Settings that override the fixture's, merged key by key. */
export type SettingsChanges = Readonly<Record<string, unknown>>

/** What a fleet consists of; every field has a default. */
export interface FleetOptions {
  readonly organisation?: Organisation
  /** Number of processes. */
  readonly routers?: number
  readonly engines?: number
  readonly plainServices?: number
  readonly administrations?: number
  readonly accounts?: readonly AccountOptions[]
  readonly platformSettings?: SettingsChanges
  readonly routerSettings?: SettingsChanges
  readonly engineSettings?: SettingsChanges
  readonly plainServiceSettings?: SettingsChanges
  readonly administrationSettings?: SettingsChanges
  /** True counts the bytes between routers and the platform. */
  readonly meterPlatform?: boolean
  /** False leaves the fleet without a configuration. */
  readonly applySheet?: boolean
}

/** Names that an organisation's sheet uses. */
export interface OrganisationNames {
  readonly model: string
  readonly service: string
  /** Path of the route that must not be repeated. */
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

/** Tokens that the fixture's accounts start with; enough for any test that is not about budgets. */
const PLENTY_TOKENS = 10_000_000

/** Accounts of a fleet whose options name none. */
export const defaultAccounts: readonly AccountOptions[] = [
  { id: 'escuela', budgetTokens: PLENTY_TOKENS },
  { id: 'museo', budgetTokens: PLENTY_TOKENS }
]

/** Merges changes into settings, key by key. */
export function mergeSettings (base: Record<string, unknown>, changes: SettingsChanges = {}): Record<string, unknown> {
  const merged = { ...base }
  for (const [key, value] of Object.entries(changes)) {
    const before = merged[key]
    merged[key] = isMapping(before) && isMapping(value) ? mergeSettings(before, value) : value
  }
  return merged
}

function isMapping (value: unknown): value is Record<string, unknown> {
  return typeof value === 'object' && value !== null && !Array.isArray(value)
}
