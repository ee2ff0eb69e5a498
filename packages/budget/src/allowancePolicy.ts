import { RefusalPreference, TransferPath, type BudgetSettings } from '@quinceshunt/schemas'

/** Settings that control how an instance draws, holds and returns allowances. */
export interface AllowancePolicy {
  /** Duration of expected usage that one draw covers, milliseconds. */
  readonly allowanceMilliseconds: number
  readonly smallestAllowanceTokens: bigint
  /** Upper bound of one draw as a fraction of the instance's fair share of the undrawn tokens; a waiting request may exceed it. */
  readonly maxFairShareFraction: number
  /** Time after which idle or excess tokens are returned, milliseconds. */
  readonly idleReturnMilliseconds: number
  /** Lease duration after a renewal, milliseconds. */
  readonly leaseMilliseconds: number
  readonly settleIntervalMilliseconds: number
  /** Maximum time that a reservation waits before it is refused, milliseconds. */
  readonly refusalWaitMilliseconds: number
  /** Whether new reservations may use a lease that expired because it could not be renewed. */
  readonly reservesOnExpiredLease: boolean
  /** Whether tokens for a peer go through the table instead of directly to the peer. */
  readonly transfersThroughTable: boolean
}

type PreferenceDefaults = Pick<AllowancePolicy, 'allowanceMilliseconds' | 'maxFairShareFraction' | 'idleReturnMilliseconds' | 'refusalWaitMilliseconds' | 'reservesOnExpiredLease'>

/** Small, short-lived allowances limit the tokens withheld when an instance is lost. */
const AVOID_OVERSPEND_RISK: PreferenceDefaults = { allowanceMilliseconds: 2_000, maxFairShareFraction: 0.25, idleReturnMilliseconds: 2_000, refusalWaitMilliseconds: 1_000, reservesOnExpiredLease: false }
/** Large allowances and long waits reduce refusals during outages and near exhaustion. */
const AVOID_FALSE_REFUSALS: PreferenceDefaults = { allowanceMilliseconds: 10_000, maxFairShareFraction: 0.5, idleReturnMilliseconds: 5_000, refusalWaitMilliseconds: 5_000, reservesOnExpiredLease: true }
const DEFAULT_LEASE_MS = 10_000
/** Limits 9 instances to 90 writes per second; the table service handles several hundred. */
const DEFAULT_SETTLE_INTERVAL_MS = 100
const DEFAULT_SMALLEST_ALLOWANCE_TOKENS = 2_000

/** Creates the policy of a deployment. Settings of 0 fall back to the default of the refusal preference. */
export function createAllowancePolicy (settings: BudgetSettings): AllowancePolicy {
  const defaults = settings.refusalPreference === RefusalPreference.AVOID_FALSE_REFUSALS ? AVOID_FALSE_REFUSALS : AVOID_OVERSPEND_RISK
  return {
    ...defaults,
    allowanceMilliseconds: settings.allowanceMilliseconds || defaults.allowanceMilliseconds,
    idleReturnMilliseconds: settings.idleReturnMilliseconds || defaults.idleReturnMilliseconds,
    refusalWaitMilliseconds: settings.refusalWaitMilliseconds || defaults.refusalWaitMilliseconds,
    leaseMilliseconds: settings.leaseMilliseconds || DEFAULT_LEASE_MS,
    settleIntervalMilliseconds: settings.settleIntervalMilliseconds || DEFAULT_SETTLE_INTERVAL_MS,
    smallestAllowanceTokens: BigInt(settings.smallestAllowanceTokens || DEFAULT_SMALLEST_ALLOWANCE_TOKENS),
    transfersThroughTable: settings.transferPath === TransferPath.TABLE
  }
}

/** Inputs to the size of a draw. */
export interface DrawInputs {
  /** Tokens that waiting requests need beyond those available. */
  readonly neededTokens: bigint
  /** Tokens that the instance has available. */
  readonly availableTokens: bigint
  /** Recent usage of the budget at this instance. */
  readonly tokensPerSecond: number
  /** Prepaid tokens that no lease holds. */
  readonly undrawnTokens: bigint
  /** Number of router instances, including this one. */
  readonly instances: number
}

/** Returns the tokens that cover `allowanceMilliseconds` of usage. */
export function targetAllowance (tokensPerSecond: number, policy: AllowancePolicy): bigint {
  return maxTokens(BigInt(Math.ceil(tokensPerSecond * policy.allowanceMilliseconds / 1000)), policy.smallestAllowanceTokens)
}

/**
 * Returns the tokens to draw: up to the target allowance, capped at a fraction of the fair share, but at least what
 * waiting requests need. Without waiting requests, a cap below the smallest allowance means no draw, because many small
 * draws would load the table.
 */
export function sizeDraw (inputs: DrawInputs, policy: AllowancePolicy): bigint {
  const target = inputs.neededTokens + maxTokens(0n, targetAllowance(inputs.tokensPerSecond, policy) - maxTokens(0n, inputs.availableTokens))
  const undrawn = maxTokens(inputs.undrawnTokens, 0n)
  const cap = BigInt(Math.floor(Number(undrawn) * policy.maxFairShareFraction / Math.max(1, inputs.instances)))
  if (inputs.neededTokens === 0n && cap < policy.smallestAllowanceTokens) return 0n
  return minTokens(maxTokens(inputs.neededTokens, minTokens(target, cap)), undrawn)
}

/**
 * Returns the tokens to transfer to a peer: all it wants, as far as available. If givers kept a part for themselves near
 * exhaustion, the remaining tokens would be spread over all instances in amounts too small for any request.
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
