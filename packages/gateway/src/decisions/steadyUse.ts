/**
 * Decides whether an instance that is not a home of a client account draws tokens for its own callers ahead of their requests.
 *
 * The homes of an account are chosen by its name. A load balancer that keeps callers at their instance may send half of an account's
 * requests to one other instance. If that one borrowed for each request, a home would be in the path of all of them, and none could
 * be served while the homes are slow or cut off, although tokens are left that nobody holds.
 */

/** Time over which an instance's use is compared with the tokens that it may hold without steady use: that of a grant. */
const USE_HORIZON_MS = 12_000
/** A single request, or a few together, are not steady use: the tokens drawn for it would lie idle. */
const MIN_DURATION_MS = 1000
/** Share of an account's use above which an instance uses as much as each of its three homes and all others together. */
const MIN_SHARE = 1 / 4
/** Use ends being steady below this part of what makes it so: it varies, and each change moves tokens. */
const HYSTERESIS = 1 / 2

/** What an instance knows of the use of an account. */
export interface UseInput {
  /** Whether the use was steady before. */
  readonly wasSteady: boolean
  /** Time for which callers of this instance have used the account without a pause; 0 in a pause. */
  readonly durationMilliseconds: number
  /** Recent use by callers of this instance, tokens per millisecond. */
  readonly rate: number
  /** Tokens that callers of this process have used. */
  readonly ownUse: number
  /** Lower bound of the tokens that callers of all processes have used. */
  readonly knownUse: number
  /** Tokens that an instance may hold without steady use. */
  readonly maxVisitorTokens: number
}

/** Returns whether the instance draws for its own use. */
export function isSteadyUse ({ wasSteady, durationMilliseconds, rate, ownUse, knownUse, maxVisitorTokens }: UseInput): boolean {
  const factor = wasSteady ? HYSTERESIS : 1
  return durationMilliseconds >= MIN_DURATION_MS && rate * USE_HORIZON_MS > maxVisitorTokens * factor && ownUse > knownUse * MIN_SHARE * factor
}
