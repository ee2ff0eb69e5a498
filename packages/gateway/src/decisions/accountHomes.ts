import { hashPair } from './backendChoice.js'

/**
 * Chooses the home instances of a client account, which hold its grant and lend tokens to all other instances.
 *
 * Pattern: many instances that each see an account rarely, while the store or single instances are cut off for seconds.
 * Tokens spread over all instances lie where no request arrives; tokens at a few homes are reached with one message.
 */

/** The first home lends; the others take over when it can't be reached. */
const HOMES_PER_ACCOUNT = 3

/** Instance that can be a home. */
export interface HomeCandidate {
  readonly instanceId: string
  readonly failureDomain: string
}

/**
 * Returns the homes of an account in order of preference, by rendezvous hash, so that instances with the same list agree.
 * Homes lie in different failure domains where there are enough.
 */
export function accountHomes<Candidate extends HomeCandidate> (account: string, instances: Iterable<Candidate>): readonly Candidate[] {
  const ranked = [...instances]
    .map((candidate) => ({ candidate, weight: hashPair(account, candidate.instanceId) }))
    .sort((left, right) => right.weight - left.weight || (left.candidate.instanceId < right.candidate.instanceId ? -1 : 1))
    .map(({ candidate }) => candidate)
  const homes: Candidate[] = []
  const failureDomains = new Set<string>()
  for (const candidate of ranked) {
    if (homes.length === HOMES_PER_ACCOUNT) return homes
    if (failureDomains.has(candidate.failureDomain)) continue
    failureDomains.add(candidate.failureDomain)
    homes.push(candidate)
  }
  for (const candidate of ranked) {
    if (homes.length === HOMES_PER_ACCOUNT) return homes
    if (!homes.includes(candidate)) homes.push(candidate)
  }
  return homes
}
