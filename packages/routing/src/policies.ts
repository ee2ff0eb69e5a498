import { assertNever } from '@quinceshunt/effects'
import { RoutingPolicy } from '@quinceshunt/schemas'
import { expectedOutstanding, score, type Candidate, type RoutedRequest } from './scoring.js'

/** Policy by which a backend server is chosen. */
export type PolicyChoice =
  /** Lowest expected cost, from cached prefix, load, failure domain and priority. */
  | { readonly kind: 'scored' }
  /** Fewest requests of this instance, running or waiting there. */
  | { readonly kind: 'leastOutstanding' }
  | { readonly kind: 'roundRobin' }

/** Converts the policy from the settings; unspecified means scored. */
export function policyFromSettings (policy: RoutingPolicy): PolicyChoice {
  switch (policy) {
    case RoutingPolicy.UNSPECIFIED:
    case RoutingPolicy.SCORED: return { kind: 'scored' }
    case RoutingPolicy.LEAST_OUTSTANDING: return { kind: 'leastOutstanding' }
    case RoutingPolicy.ROUND_ROBIN: return { kind: 'roundRobin' }
    default: return assertNever(policy)
  }
}

/**
 * Orders candidates, best first. `turn` is the number of this instance's earlier requests to the target; it rotates
 * the candidates, so that equals are used in turn.
 */
export function rankCandidates (policy: PolicyChoice, candidates: readonly Candidate[], request: RoutedRequest, turn: number): readonly Candidate[] {
  const rotated = rotate([...candidates].sort((left, right) => left.id < right.id ? -1 : 1), turn)
  switch (policy.kind) {
    case 'roundRobin': return rotated
    case 'leastOutstanding': return sortBy(rotated, (candidate) => candidate.ownRunning + candidate.ownQueued)
    case 'scored': return sortBy(rotated, (candidate) => score(candidate, request))
    default: return assertNever(policy)
  }
}

/** Orders candidates by expected load alone, for use without a particular request. */
export function rankByLoad (candidates: readonly Candidate[]): readonly Candidate[] {
  return sortBy(candidates, (candidate) => expectedOutstanding(candidate) / candidate.slots)
}

function rotate<Item> (items: readonly Item[], offset: number): readonly Item[] {
  if (items.length === 0) return items
  const start = offset % items.length
  return [...items.slice(start), ...items.slice(0, start)]
}

function sortBy (candidates: readonly Candidate[], cost: (candidate: Candidate) => number): readonly Candidate[] {
  return candidates
    .map((candidate) => ({ candidate, cost: cost(candidate) }))
    .sort((left, right) => left.cost - right.cost)
    .map((entry) => entry.candidate)
}
