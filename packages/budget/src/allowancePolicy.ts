import { RefusalPreference, TransferPath, type BudgetSettings } from '@quinceshunt/schemas'

/** How an instance sizes, keeps and gives up allowances. */
export interface AllowancePolicy {
  /** Use that one draw should cover, milliseconds. */
  readonly allowanceMilliseconds: number
  readonly smallestAllowanceTokens: bigint
  /** One draw takes at most this part of an instance's even share of the undrawn tokens, unless a waiting request needs more. */
  readonly maxFairShareFraction: number
  /** Unused allowances are returned after this time, milliseconds. */
  readonly idleReturnMilliseconds: number
  /** Time between renewal and expiry of a lease, milliseconds. */
  readonly leaseMilliseconds: number
  readonly settleIntervalMilliseconds: number
  /** Longest wait before a refusal, milliseconds. */
  readonly refusalWaitMilliseconds: number
  /** Whether a lease that could not be renewed grants new reservations. */
  readonly reservesOnExpiredLease: boolean
  /** Transfers go through the table instead of directly. */
  readonly transfersThroughTable: boolean
}

type PreferenceDefaults = Pick<AllowancePolicy, 'allowanceMilliseconds' | 'maxFairShareFraction' | 'idleReturnMilliseconds' | 'refusalWaitMilliseconds' | 'reservesOnExpiredLease'>

/** Small and short-lived allowances: little is withheld when an instance is lost. */
const AVOID_OVERSPEND_RISK: PreferenceDefaults = { allowanceMilliseconds: 2_000, maxFairShareFraction: 0.25, idleReturnMilliseconds: 2_000, refusalWaitMilliseconds: 1_000, reservesOnExpiredLease: false }
/** Large allowances and long waits: few requests are refused during outages and near exhaustion. */
const AVOID_FALSE_REFUSALS: PreferenceDefaults = { allowanceMilliseconds: 10_000, maxFairShareFraction: 0.5, idleReturnMilliseconds: 5_000, refusalWaitMilliseconds: 5_000, reservesOnExpiredLease: true }
const DEFAULT_LEASE_MILLISECONDS = 10_000
/** With 9 instances at most 90 writes per second, of the several hundred that the table service takes. */
const DEFAULT_SETTLE_INTERVAL_MILLISECONDS = 100
const DEFAULT_SMALLEST_ALLOWANCE_TOKENS = 2_000

/** Policy of a deployment; settings of 0 take the preference's default. */
export function createAllowancePolicy (settings: BudgetSettings): AllowancePolicy {
  const defaults = settings.refusalPreference === RefusalPreference.AVOID_FALSE_REFUSALS ? AVOID_FALSE_REFUSALS : AVOID_OVERSPEND_RISK
  return {
    ...defaults,
    allowanceMilliseconds: settings.allowanceMilliseconds || defaults.allowanceMilliseconds,
    idleReturnMilliseconds: settings.idleReturnMilliseconds || defaults.idleReturnMilliseconds,
    refusalWaitMilliseconds: settings.refusalWaitMilliseconds || defaults.refusalWaitMilliseconds,
    leaseMilliseconds: settings.leaseMilliseconds || DEFAULT_LEASE_MILLISECONDS,
    settleIntervalMilliseconds: settings.settleIntervalMilliseconds || DEFAULT_SETTLE_INTERVAL_MILLISECONDS,
    smallestAllowanceTokens: BigInt(settings.smallestAllowanceTokens || DEFAULT_SMALLEST_ALLOWANCE_TOKENS),
    transfersThroughTable: settings.transferPath === TransferPath.TABLE
  }
}

/** What the size of a draw depends on. */
export interface DrawInputs {
  /** Tokens that waiting requests lack. */
  readonly neededTokens: bigint
  /** Tokens that the instance has left. */
  readonly availableTokens: bigint
  /** Recent use of the budget at this instance. */
  readonly tokensPerSecond: number
  /** Prepaid and not drawn. */
  readonly undrawnTokens: bigint
  /** Router instances, this one included. */
  readonly instances: number
}

/** Tokens that cover several seconds of use. */
export function targetAllowance (tokensPerSecond: number, policy: AllowancePolicy): bigint {
  return maxTokens(BigInt(Math.ceil(tokensPerSecond * policy.allowanceMilliseconds / 1000)), policy.smallestAllowanceTokens)
}

/**
 * Tokens to draw: several seconds of use, within a share of what is left, at least what waiting requests need. Without
 * waiting requests, nothing is drawn once the share has become small: many small draws would only load the table.
 */
export function sizeDraw (inputs: DrawInputs, policy: AllowancePolicy): bigint {
  const target = inputs.neededTokens + maxTokens(0n, targetAllowance(inputs.tokensPerSecond, policy) - maxTokens(0n, inputs.availableTokens))
  const undrawn = maxTokens(inputs.undrawnTokens, 0n)
  const cap = BigInt(Math.floor(Number(undrawn) * policy.maxFairShareFraction / Math.max(1, inputs.instances)))
  if (inputs.neededTokens === 0n && cap < policy.smallestAllowanceTokens) return 0n
  return minTokens(maxTokens(inputs.neededTokens, minTokens(target, cap)), undrawn)
}

/**
 * Tokens to give to a peer that lacks `wantedTokens`: all that it wants. A giver that kept a part for its own use near
 * exhaustion would leave parts at all instances, each too small for a request.
 */
export function sizeTransfer (wantedTokens: bigint, transferableTokens: bigint): bigint {
  return maxTokens(0n, minTokens(wantedTokens, transferableTokens))
}

function minTokens (left: bigint, right: bigint): bigint {
  return left < right ? left : right
}

function maxTokens (left: bigint, right: bigint): bigint {
  return left > right ? left : right
}
