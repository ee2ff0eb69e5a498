import type { ColdStart } from '../fleetConfiguration.js'
import type { BackendState } from './backendState.js'

/**
 * Decides how many requests a second a backend server takes from all instances together while it is cold.
 *
 * Expected load: a whole failure domain returns at once, so that a third of a service's backend servers are cold while some
 * hundred instances send several requests a second each. What instances know of a cold period differs by up to a second.
 */

/** The second after a cold period is limited like it, as instances learn of its end at different times. */
const AFTER_COLD_MS = 1000

/** Limit of a cold backend server. */
export interface ColdLimit {
  readonly requestsPerSecond: number
  /** End of the cold period, by the clock of whoever holds it. The limit is in force for a while longer. */
  readonly until: number
}

/** Returns the end of the cold period; 0 when none is known. A process whose entry names none is cold for the usual time after its start. */
function coldUntil (state: BackendState, start: ColdStart & { kind: 'named' }): number {
  const { cold, startedAt } = state.entry
  if (cold?.kind !== 'none' || startedAt === 0) return state.coldUntil
  // Clocks of machines differ: the period is never longer than usual, counted from the time at which the process was listed.
  return Math.max(state.coldUntil, Math.min(startedAt, state.processListedAt) + start.milliseconds)
}

/** Returns true until the second after the cold period has passed. */
export function isInForce ({ until }: ColdLimit, now: number): boolean {
  return until + AFTER_COLD_MS > now
}

/** Returns the limit of a backend server that is cold; undefined for one that is warm or takes all requests while it is cold. */
export function coldLimitOf (state: BackendState, start: ColdStart | undefined, now: number): ColdLimit | undefined {
  if (start?.kind !== 'named' || start.requestsPerSecond === 0) return undefined
  const limit = { requestsPerSecond: start.requestsPerSecond, until: coldUntil(state, start) }
  return isInForce(limit, now) ? limit : undefined
}

/** Returns the smaller of the limit that a backend server names and that of its cold period; undefined without both. */
export function smallerLimit (named: number | undefined, cold: ColdLimit | undefined): number | undefined {
  if (named === undefined) return cold?.requestsPerSecond
  return cold === undefined ? named : Math.min(named, cold.requestsPerSecond)
}
