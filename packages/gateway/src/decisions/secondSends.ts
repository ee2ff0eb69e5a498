import { assertNever } from '@quinceshunt/effects'
import { silenceMilliseconds, type BackendState } from './backendState.js'
import { createFirstByteTimes, type FirstByteTimes } from './firstByteTimes.js'
import { createSecondSendShare, type SecondSendShare } from './secondSendShare.js'

/**
 * Decides when, where and whether a request without a response is sent a second time before anything has failed.
 *
 * Load: one backend server of several is slower than the others, so that the slowest responses all come from it. When all are slow,
 * or the service is short of room, second sends would only add to the load, and none is made.
 */

/** Why a slow request is not sent a second time. */
export type SecondSendRefusal = 'callerLeft' | 'unidentifiedEvents' | 'suspected' | 'noAttemptLeft' | 'allSlow' | 'shortOfRoom' | 'limited' | 'cutOff' | 'noTarget' | 'shareUsed' | 'retryBudgetUsed'

/** What is known of a request that is slow, and of its service. */
export interface SlowRequest {
  readonly hasCallerLeft: boolean
  readonly hasUnidentifiedEvents: boolean
  /** The request may crash backend servers. */
  readonly isSuspected: boolean
  readonly hasAttemptLeft: boolean
  readonly areAllSlow: boolean
  /** Backend servers of the service need room for each request, as they are brittle or full. */
  readonly needsRoom: boolean
  /** The service is served through other instances. */
  readonly isCutOff: boolean
}

/** Where a request may be sent a second time. */
export type SecondTargets =
  | { readonly kind: 'some', readonly backendIds: readonly string[] }
  | { readonly kind: 'refused', readonly reason: SecondSendRefusal }

/** Second sends of one instance. */
export interface SecondSends {
  readonly share: number
  readonly times: FirstByteTimes
  readonly tokens: SecondSendShare
}

/** Creates the second sends of a process that has sent nothing. `share` 0 turns them off. */
export function createSecondSends (share: number, random: () => number): SecondSends {
  return { share, times: createFirstByteTimes(), tokens: createSecondSendShare(share, random) }
}

/**
 * Selects where a slow request may be sent: to backend servers in other failure domains if one of them responds. `available` are
 * those of the service that take the request, with `first`, which has it.
 */
export function findSecondTargets (request: SlowRequest, first: BackendState, available: readonly BackendState[], now: number): SecondTargets {
  const reason = findRefusal(request, available)
  if (reason !== undefined) return { kind: 'refused', reason }
  const others = available.filter((candidate) => candidate.entry.id !== first.entry.id && candidate.entry.address !== first.entry.address && isSound(candidate, now))
  const elsewhere = others.filter(({ entry }) => entry.failureDomain !== first.entry.failureDomain)
  const targets = elsewhere.length > 0 ? elsewhere : others
  return targets.length === 0 ? { kind: 'refused', reason: 'noTarget' } : { kind: 'some', backendIds: targets.map(({ entry }) => entry.id) }
}

function findRefusal (request: SlowRequest, available: readonly BackendState[]): SecondSendRefusal | undefined {
  if (request.hasCallerLeft) return 'callerLeft'
  if (request.hasUnidentifiedEvents) return 'unidentifiedEvents'
  if (request.isSuspected) return 'suspected'
  if (!request.hasAttemptLeft) return 'noAttemptLeft'
  if (request.isCutOff) return 'cutOff'
  if (request.needsRoom) return 'shortOfRoom'
  if (available.some(({ limit }) => limit.requestsPerSecond !== undefined)) return 'limited'
  return request.areAllSlow ? 'allSlow' : undefined
}

/** True for a backend server that is reached, warm, not silent and has a free slot, as far as this instance knows. */
function isSound (backend: BackendState, now: number): boolean {
  const { entry, reportedLoad, pending } = backend
  const used = Math.max(pending.size, reportedLoad === undefined ? 0 : reportedLoad.running + reportedLoad.waiting)
  return backend.avoidedUntil <= now && backend.lostSince === undefined && Math.max(entry.coldUntil, backend.coldUntil) <= now && used < entry.slots && silenceMilliseconds(backend, now) === 0
}

/** How a request with a second send ended. */
export type SecondSendOutcome = 'won' | 'lost' | 'refused'

/** Returns the reason as logged. */
export function describeRefusal (reason: SecondSendRefusal): string {
  switch (reason) {
    case 'callerLeft': return 'the caller has left'
    case 'unidentifiedEvents': return 'events without an ID were delivered'
    case 'suspected': return 'the request may crash backend servers'
    case 'noAttemptLeft': return 'no attempt is left'
    case 'allSlow': return 'all backend servers are slow'
    case 'shortOfRoom': return 'the service is short of room'
    case 'limited': return 'backend servers name limits'
    case 'cutOff': return 'backend servers are not reached from here'
    case 'noTarget': return 'no other backend server'
    case 'shareUsed': return 'the share of second sends is used up'
    case 'retryBudgetUsed': return 'the retry budget is used up'
    default: return assertNever(reason)
  }
}
