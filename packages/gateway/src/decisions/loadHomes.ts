import type { HomeCandidate } from './accountHomes.js'
import { hashPair } from './backendChoice.js'

/**
 * Orders the instances of a failure domain as homes of its load figures, by rendezvous hash, so that instances with the same list
 * agree.
 *
 * Load: figures of up to 390 instances. One home for each failure domain keeps them available in a domain that is cut off. All
 * instances of the domain are listed, as those of the previous release don't know these messages.
 */
export function loadHomes<Candidate extends HomeCandidate> (failureDomain: string, instances: readonly Candidate[]): readonly Candidate[] {
  return instances
    .filter((instance) => instance.failureDomain === failureDomain)
    .map((candidate) => ({ candidate, weight: hashPair(`load/${failureDomain}`, candidate.instanceId) }))
    .sort((left, right) => right.weight - left.weight || (left.candidate.instanceId < right.candidate.instanceId ? -1 : 1))
    .map(({ candidate }) => candidate)
}
