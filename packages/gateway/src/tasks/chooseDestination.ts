import { steadyNow } from '../clock.js'
import { chooseBackend, rankBackends, type Choice, type ChoiceRequest } from '../decisions/backendChoice.js'
import { backendProcessOf, type BackendState } from '../decisions/backendState.js'
import { chooseByEstimate, hasTooFewReports, type EstimateInput } from '../decisions/estimatedChoice.js'
import { hasAttemptLeft } from '../decisions/relayedRetries.js'
import { isRetryable, type ChoiceOutcome } from '../decisions/requestPlan.js'
import { countEvacuationRefusal, findAvailableBackends } from './availableBackends.js'
import { destinationIdOf, excludedPeers, reachableBackends, relayNeed, type Destination } from './destinations.js'
import type { RoomQueueEntry } from './backendRooms.js'
import type { GatewayContext } from './gatewayContext.js'
import type { RequestState } from './requestTask.js'
import { confirmStreamStart } from './streamContinuation.js'

/** Retry time suggested to callers when backend servers reject requests. */
const REJECTION_RETRY_MS = { engine: 400, plain: 150 } as const
/** Why a request for a service of brittle backend servers is refused, and one for a service that is short of room. */
const NO_ROOM = { brittle: 'all backend servers are full, and fall over when they turn requests away', short: 'all backend servers are full' } as const

/**
 * Chooses where a request is sent next: to a backend server that is not excluded, or to a peer where none can be reached from here.
 * `among`, if given, limits the backend servers to these IDs.
 */
export async function chooseDestination (context: GatewayContext, state: RequestState, excluded: readonly string[], among?: readonly string[]): Promise<ChoiceOutcome> {
  const quarantine = context.crashGuard.findQuarantine(state.guarded)
  if (quarantine !== undefined) return { kind: 'quarantined', reason: quarantine.reason, retryAt: quarantine.until }
  await confirmStreamStart(context, state)
  const { permits } = context
  const { priority } = state
  const denied = new Set<string>()
  for (;;) {
    const now = steadyNow()
    const need = relayNeed(context, state, now)
    if (need === 'required' || (need === 'preferred' && hasAttemptLeft(state) && context.relayPeers.hasChoice(state.service, excludedPeers(excluded)))) return chooseRelayPeer(context, state, excluded)
    const available = findAvailableBackends(context, state, excluded)
    if (available.kind === 'none') {
      countEvacuationRefusal(context, state.service, available)
      return { kind: 'none', reason: available.reason, retryAt: available.retryAt }
    }
    const reachable = reachableBackends(context, available.backends, now)
    const candidates = among === undefined
      ? preferListed(context, reachable.length > 0 ? reachable : available.backends)
      : available.backends.filter(({ entry }) => among.includes(entry.id))
    if (candidates.length === 0) return { kind: 'none', reason: 'no backend server to return to', retryAt: suggestedRetryAt(context, state) }
    const areAllLimited = candidates.every((candidate) => permits.limitOf(candidate, now) !== undefined)
    if (areAllLimited && denied.size === 0 && state.attempts === 0) permits.recordDemand(candidates, priority)
    const usable = candidates.filter((candidate) => !denied.has(candidate.entry.id) && !permits.isDenied(candidate, priority, now))
    const found = await chooseWithRoom(context, state, usable, now)
    if (found.kind === 'noRoom') return { kind: 'none', reason: noRoomReason(context, state.service), retryAt: found.retryAt }
    const { choice } = found
    if (choice === undefined) {
      return areAllLimited
        ? { kind: 'none', reason: limitedReason(context, candidates), retryAt: permits.retryAt(candidates, priority, now) }
        : { kind: 'none', reason: 'no permit for a backend server', retryAt: suggestedRetryAt(context, state) }
    }
    const needsPermit = permits.limitOf(choice.state, steadyNow()) !== undefined
    const isPermitted = !needsPermit || (await permits.acquire(choice.state, priority)).kind === 'granted'
    const hasWaited = needsPermit || state.room !== undefined
    if (isPermitted && (!hasWaited || isAvailable(context, state, choice, excluded))) {
      const destination: Destination = { kind: 'backend', choice, isPermitted: needsPermit }
      context.destinations.set(state, destination)
      return { kind: 'chosen', backendId: destinationIdOf(destination), isAvoided: choice.state.avoidedUntil > steadyNow() }
    }
    releaseRoom(state)
    denied.add(choice.state.entry.id)
  }
}

/** A stream that begins at a process which is not listed yet can go on nowhere if it breaks, as its software version is not known. */
function preferListed ({ processes }: GatewayContext, backends: readonly BackendState[]): readonly BackendState[] {
  const listed = backends.filter(({ entry }) => !processes.isReplaced(backendProcessOf(entry)))
  return listed.length > 0 ? listed : backends
}

function limitedReason (context: GatewayContext, candidates: readonly BackendState[]): string {
  const isAnyCold = candidates.some((candidate) => context.coldBackends.limitOf(candidate, steadyNow()) !== undefined)
  return `all backend servers are ${isAnyCold ? 'cold or ' : ''}at the request limits that they name`
}

type ChoiceWithRoom =
  /** `choice` is undefined without a candidate. */
  | { readonly kind: 'found', readonly choice: Choice | undefined }
  /** All candidates are brittle and full; `retryAt` by `steadyNow`. */
  | { readonly kind: 'noRoom', readonly retryAt: number }

/** Chooses the best candidate, or the best that has room where they are brittle. */
async function chooseWithRoom (context: GatewayContext, state: RequestState, candidates: readonly BackendState[], now: number): Promise<ChoiceWithRoom> {
  const request = { prompt: state.fields.prompt, isRetryable: isRetryable(state.route.deliverySemantics), failureDomain: context.settings.failureDomain }
  if (candidates.length === 0 || !context.rooms.isNeeded(state.service)) return { kind: 'found', choice: chooseWithoutRoom(context, state, candidates, request, now) }
  const ranked = rankBackends(candidates, request, now, Math.random())
  releaseRoom(state)
  const outcome = await context.rooms.acquire(state.service, ranked.map((choice) => choice.state), queueEntryOf(state))
  if (outcome.kind === 'denied') return { kind: 'noRoom', retryAt: outcome.retryAt }
  state.room = outcome.room
  return { kind: 'found', choice: ranked.find((choice) => choice.state === outcome.backend) }
}

/** Chooses by the load figures that instances share where this one knows too little itself. */
function chooseWithoutRoom (context: GatewayContext, state: RequestState, candidates: readonly BackendState[], request: ChoiceRequest, now: number): Choice | undefined {
  const input: EstimateInput = {
    request,
    service: state.service,
    latencyTargetMilliseconds: state.route.latencyTargetMilliseconds,
    loads: context.loads,
    timing: context.timings.of(state.service),
    hasIdleConnection: context.connections.hasIdle,
    random: Math.random,
    now
  }
  const isEstimated = hasTooFewReports(candidates, input)
  context.metrics.count('choices_total', { service: state.service, by: isEstimated ? 'estimate' : 'ownResponses' })
  return isEstimated ? chooseByEstimate(candidates, input) : chooseBackend(candidates, request, now, Math.random())
}

/** Returns why a request is refused that gets no room. */
export function noRoomReason ({ rooms }: GatewayContext, service: string): string {
  return rooms.isBrittle(service) ? NO_ROOM.brittle : NO_ROOM.short
}

/** Share of the time left until the latency target that a request may wait for room. */
const ROOM_WAIT_SHARE = 1 / 3
/** Counted from here, so that the home's reply comes before it counts as one that does not reply. */
const MAX_ROOM_WAIT_MS = 100

/** By what a request is ordered among those that wait for room, and how long it may wait. */
export function queueEntryOf ({ priority, account, receivedAt, deadline, route, caller }: RequestState): RoomQueueEntry {
  const now = steadyNow()
  const timeLeft = Math.max(0, Math.min(receivedAt + route.latencyTargetMilliseconds, deadline) - now)
  return { priority, account: account?.name ?? '', waitUntil: now + Math.min(MAX_ROOM_WAIT_MS, timeLeft * ROOM_WAIT_SHARE), onCallerLeft: caller.onLeft }
}

/** Gives back the room that was granted for a send. */
export function releaseRoom (state: RequestState): void {
  state.room?.release()
  state.room = undefined
}

function chooseRelayPeer (context: GatewayContext, state: RequestState, excluded: readonly string[]): ChoiceOutcome {
  if (!hasAttemptLeft(state)) return { kind: 'none', reason: 'cut off from all backend servers, and no attempt is left for another instance', retryAt: context.relayPeers.retryAt(state.service) }
  const peer = context.relayPeers.choose(state.service, excludedPeers(excluded))
  if (peer === undefined) return { kind: 'none', reason: 'cut off from all backend servers, and no other instance takes the request', retryAt: context.relayPeers.retryAt(state.service) }
  const destination: Destination = { kind: 'peer', peer }
  context.destinations.set(state, destination)
  return { kind: 'chosen', backendId: destinationIdOf(destination) }
}

/** False when the backend server has said meanwhile that it takes no requests. */
function isAvailable (context: GatewayContext, state: RequestState, choice: Choice, excluded: readonly string[]): boolean {
  const available = findAvailableBackends(context, state, excluded)
  return available.kind === 'some' && available.backends.includes(choice.state)
}

/** True when a backend server that is usable, or a peer, takes a retry of the request: the retry budget is kept for requests that have one. */
export function hasUntriedDestination (context: GatewayContext, state: RequestState, isUsable: (backend: BackendState) => boolean): boolean {
  const need = relayNeed(context, state, steadyNow())
  const hasPeer = need !== 'none' && hasAttemptLeft(state) && context.relayPeers.hasChoice(state.service, excludedPeers(state.triedBackendIds))
  if (need === 'required' || hasPeer) return hasPeer
  const available = findAvailableBackends(context, state, state.triedBackendIds)
  return available.kind === 'some' && available.backends.some(isUsable)
}

/** When a caller may return whose request was rejected, by `steadyNow`. */
export function suggestedRetryAt (context: GatewayContext, state: RequestState): number {
  const available = findAvailableBackends(context, state, [])
  if (available.kind === 'none') return available.retryAt
  return steadyNow() + (state.fields.prompt === undefined ? REJECTION_RETRY_MS.plain : REJECTION_RETRY_MS.engine)
}
