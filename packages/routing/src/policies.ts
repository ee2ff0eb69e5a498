import { assertNever } from '@quinceshunt/effects'
import { RoutingPolicy } from '@quinceshunt/schemas'
import { expectedOutstanding, score, type Candidate, type RoutedRequest } from './scoring.js'

/** How a backend server is chosen. */
export type PolicyChoice =
  /** By expected cost: cached prefix, load, failure domain and priority. */
  | { readonly kind: 'scored' }
  /** By the fewest requests of this instance, running or waiting there. */
  | { readonly kind: 'leastOutstanding' }
  /** In turn. */
  | { readonly kind: 'roundRobin' }

/** Policy of a settings file; unspecified means scored. */
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
 * Orders candidates, best first. `turn` counts this instance's requests to the target; it decides between equals, so
 * that they are used in turn.
 */
export function rankCandidates (policy: PolicyChoice, candidates: readonly Candidate[], request: RoutedRequest, turn: number): readonly Candidate[] {
  const inTurn = rotate([...candidates].sort((left, right) => left.id < right.id ? -1 : 1), turn)
  switch (policy.kind) {
    case 'roundRobin': return inTurn
    case 'leastOutstanding': return sortBy(inTurn, (candidate) => candidate.ownRunning + candidate.ownQueued)
    case 'scored': return sortBy(inTurn, (candidate) => score(candidate, request))
    default: return assertNever(policy)
  }
}

/** Orders candidates by expected load alone, for lists that are not for one request. */
export function rankByLoad (candidates: readonly Candidate[]): readonly Candidate[] {
  return sortBy(candidates, (candidate) => expectedOutstanding(candidate) / candidate.slots)
}

function rotate<Item> (items: readonly Item[], by: number): readonly Item[] {
  if (items.length === 0) return items
  const start = by % items.length
  return [...items.slice(start), ...items.slice(0, start)]
}

function sortBy (candidates: readonly Candidate[], cost: (candidate: Candidate) => number): readonly Candidate[] {
  return candidates
    .map((candidate) => ({ candidate, cost: cost(candidate) }))
    .sort((left, right) => left.cost - right.cost)
    .map((entry) => entry.candidate)
}
