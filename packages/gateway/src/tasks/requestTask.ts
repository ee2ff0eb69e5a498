import { handleArrivedEvents, type CallerPresence } from '@quinceshunt/caller-connections'
import { steadyNow } from '../clock.js'
import { assertNever, runDecision } from '@quinceshunt/effects'
import type { ReservedRetry } from '@quinceshunt/requests'
import { createHash } from 'node:crypto'
import type { IncomingMessage, ServerResponse } from 'node:http'
import { areAllLost } from '../decisions/backendReach.js'
import type { BackendState } from '../decisions/backendState.js'
import { chooseTarget, type ConfigurationIndex } from '../decisions/configurationIndex.js'
import { planRequest, type AttemptOutcome, type PlanCommand, type PlanResult, type RetryReservation } from '../decisions/requestPlan.js'
import { hasAttemptLeft } from '../decisions/relayedRetries.js'
import { createStreamPieces, type StreamPieces } from '../decisions/streamPieces.js'
import { serviceOfStream, type StreamStart } from '../decisions/streamOrigins.js'
import type { RelayEnvelope } from '../decisions/relayEnvelope.js'
import type { ClientAccount, Route } from '../fleetConfiguration.js'
import type { CallerFields } from '../ports.js'
import { countEvacuationRefusal, findAvailableBackends } from './availableBackends.js'
import { runAttempt } from './attempt.js'
import type { AttemptSetAside } from './attemptSetAside.js'
import type { GrantedRoom } from './backendRooms.js'
import { chooseDestination, hasUntriedDestination, noRoomReason, releaseRoom, suggestedRetryAt, queueEntryOf } from './chooseDestination.js'
import { cutOffResponse } from './cutOffResponse.js'
import { destinationIdOf, relayNeed } from './destinations.js'
import { acquireRetry, acquireRetryWithReturn, recordRequest } from './requestRetries.js'
import { releaseReturn } from './releaseReturn.js'
import type { RequestMemory } from './callersMemory.js'
import type { GuardedRequest } from './crashGuard.js'
import type { BufferedResponse } from './forwardedResponse.js'
import type { GatewayContext } from './gatewayContext.js'
import { sendError, sendNotRun } from './errorResponses.js'
import { recordResult, reserveTokens } from './recordResult.js'
import { recordUse } from './recordUse.js'
import { runRelayAttempt } from './relayAttempt.js'
import { declineRelay } from './relayReception.js'
import { confirmStreamStart, mayContinueAt } from './streamContinuation.js'
import { findStreamStart, findUnreportedStart } from './streamStart.js'

/** For callers that send no timeout. */
export const DEFAULT_CALLER_TIMEOUT_MS = 60_000

/** The least urgent priority. */
const MAX_PRIORITY = 9

/** A request that was received completely and matched a route. */
export interface AdmittedRequest {
  readonly incoming: IncomingMessage
  readonly response: ServerResponse
  readonly caller: CallerPresence
  /** Of a request that another instance relays. */
  readonly relay: RelayEnvelope | undefined
  readonly fields: CallerFields
  readonly route: Route
  readonly account: ClientAccount | undefined
  /** The configuration that admitted it. */
  readonly configuration: ConfigurationIndex
  readonly body: Buffer
  /** Counts what it holds until its response is closed and nothing works on it. */
  readonly memory: RequestMemory
  /** Unix milliseconds at which its headers were read. */
  readonly receivedAt: number
}

/** State of one request while it is served. */
export interface RequestState extends AdmittedRequest {
  readonly guarded: GuardedRequest
  readonly service: string
  /** Unix milliseconds at which the caller's or the route's timeout passes, whichever is first. */
  readonly deadline: number
  /** Unix milliseconds at which the caller gives its attempt up. */
  readonly callerTimeoutAt: number
  /** From 0, the most urgent, to 9. */
  readonly priority: number
  /** Backend servers to which it may be sent. */
  readonly maximumAttempts: number
  /** Sends, also those that found no connection. */
  attempts: number
  /** Sends that a backend server may have received, and attempts that were handed out to peers. */
  reachedBackends: number
  /** Backend servers to which no connection was established. */
  failedConnections: number
  /** True when it was relayed to a peer before tokens were reserved here, so that only peers may serve it. */
  isRelayed: boolean
  /** True once a backend server may have started running it. */
  mayHaveRun: boolean
  /** Events delivered to the caller. */
  deliveredEvents: number
  /** Events that a peer's answer delivered. */
  relayedEvents: number
  /** Tokens that are already recorded as used. */
  recordedUse: number
  /** True once an event without an ID was delivered: no ID then tells where another run has to go on. */
  hasUnidentifiedEvents: boolean
  lastEventId: string
  /** Which attempt brought which events of the stream. */
  readonly pieces: StreamPieces
  /** Where the stream began, in this or an earlier attempt of the caller. */
  streamStart: StreamStart
  /** True once the response headers were sent to the caller. */
  headersSent: boolean
  /** The head of a stream that was sent to the caller; only a response of its kind continues the stream. */
  streamHead: { readonly status: number, readonly mediaType: string } | undefined
  bufferedResponse: BufferedResponse | undefined
  /** The attempt at a silent backend server whose retry is in progress. */
  setAside: AttemptSetAside | undefined
  /** With which it may return to a backend server that was given up for a silence; held until a retry has answered. */
  reservedReturn: ReservedRetry | undefined
  /** Room that was granted for the next send to a brittle backend server. */
  room: GrantedRoom | undefined
  firstByteAt: number | undefined
  /** Processes that were asked which one they are before its stream could go on there. */
  processQuestions: number
  triedBackendIds: string[]
  /** Software versions of these backend servers, in the same order. */
  triedVersions: string[]
  /** Addresses to which it was sent; two listed backend servers can have the same one for a while after a restart. */
  readonly triedAddresses: Set<string>
}

/** Returns the properties by which a request that crashes backend servers is recognized. The last part of a prompt is its own. */
function guardedRequest ({ incoming, account, body, fields }: AdmittedRequest): GuardedRequest {
  return {
    fingerprint: () => hashContent(incoming, account, body),
    sharedParts: fields.prompt?.parts.slice(0, -1).map((part) => part.id) ?? []
  }
}

function hashContent (incoming: IncomingMessage, account: ClientAccount | undefined, body: Buffer): string {
  return createHash('sha1')
    .update(`${incoming.method ?? ''} ${incoming.url ?? ''} ${account?.name ?? ''}\n`)
    .update(body)
    .digest('hex')
    .slice(0, 24)
}

/** Maximum number of tokens that a request can use. */
function maximumTokens (state: RequestState): number {
  return state.fields.prompt === undefined ? 0 : state.fields.prompt.inputTokens + state.fields.prompt.maximumOutputTokens
}

function usedTokens (state: RequestState): number {
  const prompt = state.fields.prompt
  if (prompt === undefined || !state.mayHaveRun) return 0
  const tokensPerEvent = state.configuration.service(state.service)?.engine?.tokensPerEvent ?? 1
  return prompt.inputTokens + Math.min(prompt.maximumOutputTokens, state.deliveredEvents * tokensPerEvent)
}

/** Serves one admitted request and settles its tokens. */
export async function serveRequest (context: GatewayContext, admitted: AdmittedRequest): Promise<void> {
  const { route, fields } = admitted
  const chosenService = chooseTarget(route.targets, Math.random()) ?? ''
  const streamStart = await findStreamStart(context, fields, route, chosenService)
  const service = serviceOfStream(streamStart, route, chosenService)
  const callerTimeoutMilliseconds = fields.timeoutMilliseconds ?? DEFAULT_CALLER_TIMEOUT_MS
  const state: RequestState = {
    ...admitted,
    guarded: guardedRequest(admitted),
    service,
    deadline: admitted.receivedAt + Math.min(route.timeoutMilliseconds, callerTimeoutMilliseconds),
    callerTimeoutAt: admitted.receivedAt + callerTimeoutMilliseconds,
    priority: Math.min(MAX_PRIORITY, admitted.account?.priority ?? route.priority),
    maximumAttempts: Math.min(route.maximumAttempts, attemptsOf(admitted.relay)),
    attempts: 0,
    reachedBackends: 0,
    failedConnections: 0,
    isRelayed: false,
    mayHaveRun: false,
    deliveredEvents: 0,
    relayedEvents: 0,
    recordedUse: 0,
    hasUnidentifiedEvents: false,
    lastEventId: fields.lastEventId,
    pieces: createStreamPieces((end) => context.metrics.count('stream_pieces_total', { end: end.kind === 'whole' ? end.delimiter : end.kind })),
    streamStart,
    headersSent: false,
    streamHead: undefined,
    bufferedResponse: undefined,
    setAside: undefined,
    reservedReturn: undefined,
    room: undefined,
    firstByteAt: undefined,
    processQuestions: 0,
    triedBackendIds: [],
    triedVersions: [],
    triedAddresses: new Set()
  }
  recordRequest(context, service, admitted)
  const refusal = findRefusal(context, state)
  if (refusal !== undefined) {
    finishRequest(context, state, refusal, { reserved: 0, used: 0 })
    return
  }
  if (declineIfCutOff(context, state)) return
  state.isRelayed = relayNeed(context, state, steadyNow()) === 'required'
  const stopWatchingCaller = state.caller.onLeft(() => recordCallerLeft(context, state))
  const reserved = maximumTokens(state)
  let isReserved = false
  const result = await runDecision(
    planRequest({ deliverySemantics: route.deliverySemantics, maximumAttempts: state.maximumAttempts, retryAt: () => suggestedRetryAt(context, state) }),
    async (command: PlanCommand) => {
      switch (command.kind) {
        case 'reserveTokens': {
          // The peer that serves it reserves them.
          if (reserved === 0 || state.account === undefined || state.isRelayed) return { kind: 'reserved' }
          const outcome = await reserveTokens(context, state, state.account.name, reserved)
          isReserved = outcome.kind === 'reserved'
          return outcome
        }
        case 'confirmCaller':
          // A process that is behind with its work may have read the request long after the caller left.
          await handleArrivedEvents()
          return !hasCallerLeft(state)
        case 'chooseBackend': return await chooseDestination(context, state, command.excluded)
        case 'sendAttempt': return await attemptDestination(context, state, command.backendId)
        case 'continueAttempt': {
          const continued = state.setAside?.resume()
          if (continued !== undefined) releaseReturn(state)
          return await continued
        }
        case 'consumeRetry':
          if (hasCallerLeft(state) || state.hasUnidentifiedEvents || (state.mayHaveRun && !context.crashGuard.mayRetry(state.guarded))) return false
          return hasAttemptLeft(state) && hasUntriedDestination(context, state, () => true) && await acquireRetry(context, state, 'attempt')
        case 'reserveReturn': return await reserveReturn(context, state, command.backendIds)
        default: return assertNever(command)
      }
    }
  )
  // The caller may take it up at another instance, which knows only the list.
  if (result.kind === 'cutOff' && route.deliverySemantics.kind === 'resumableStream') await confirmStreamStart(context, state)
  stopWatchingCaller()
  state.setAside?.giveUp()
  releaseReturn(state)
  releaseRoom(state)
  const used = usedTokens(state)
  if (isReserved && state.account !== undefined) context.tokens.settle(state.account.name, reserved, used)
  recordUse(context, state, used)
  finishRequest(context, state, result, { reserved: isReserved ? reserved : 0, used })
}

/** Returns why a request can't be served now, so that it is refused before it waits for tokens. */
function findRefusal (context: GatewayContext, state: RequestState): PlanResult | undefined {
  const quarantine = context.crashGuard.findQuarantine(state.guarded)
  if (quarantine !== undefined) return { kind: 'notRun', reason: quarantine.reason, retryAt: quarantine.until }
  const available = findAvailableBackends(context, state, [])
  if (available.kind === 'none') {
    countEvacuationRefusal(context, state.service, available)
    return { kind: 'notRun', reason: available.reason, retryAt: available.retryAt }
  }
  const deniedUntil = context.rooms.deniedUntil(state.service, steadyNow(), queueEntryOf(state))
  return deniedUntil === undefined ? undefined : { kind: 'notRun', reason: noRoomReason(context, state.service), retryAt: deniedUntil }
}

/** Refuses a relayed request that this instance can't send to a backend server either. */
function declineIfCutOff (context: GatewayContext, state: RequestState): boolean {
  if (state.relay === undefined || !isCutOff(context, state)) return false
  declineRelay(context, state.response, 'cut off from all backend servers too', context.relayPeers.knownGood(state.service))
  return true
}

/** True when this instance reaches no backend server that may serve the request. */
function isCutOff (context: GatewayContext, state: RequestState): boolean {
  const available = findAvailableBackends(context, state, [])
  return available.kind === 'some' && areAllLost(available.backends)
}

function hasCallerLeft (state: RequestState): boolean {
  return state.caller.leftAt !== undefined
}

async function attemptDestination (context: GatewayContext, state: RequestState, destinationId: string): Promise<AttemptOutcome> {
  const destination = context.destinations.get(state)
  if (destination === undefined || destinationIdOf(destination) !== destinationId) return { kind: 'notSent', reason: 'backend server no longer listed' }
  if (destination.kind === 'backend' && !await mayContinueAt(context, state, destination.choice.state)) {
    releaseRoom(state)
    return { kind: 'notSent', reason: 'the listed process does not answer there' }
  }
  // The caller may have left while a permit or a process was asked for.
  if (hasCallerLeft(state)) return { kind: 'callerGone' }
  if (state.setAside?.hasGoneOn === true) {
    releaseRoom(state)
    return { kind: 'superseded' }
  }
  switch (destination.kind) {
    case 'backend': {
      const { failureDomain } = destination.choice.state.entry
      // The domain may have been evacuated while the request waited for a permit, room or tokens.
      if (context.evacuations.isEvacuated(failureDomain)) {
        releaseRoom(state)
        return { kind: 'notSent', reason: `the failure domain ${failureDomain} is evacuated` }
      }
      if (!destination.isPermitted && context.permits.limitOf(destination.choice.state, steadyNow()) !== undefined) {
        releaseRoom(state)
        return { kind: 'notSent', reason: 'the backend server has turned cold or limited meanwhile' }
      }
      state.triedBackendIds.push(destinationId)
      state.triedVersions.push(destination.choice.state.entry.version)
      const attempt = runAttempt(context, state, destination.choice, async () => await reserveRetry(context, state))
      // From now on the request is among those in progress there.
      releaseRoom(state)
      const outcome = await attempt
      if (outcome.kind === 'notSent') state.failedConnections++
      return outcome
    }
    case 'peer': {
      state.triedBackendIds.push(destinationId)
      state.triedVersions.push('')
      const outcome = await runRelayAttempt(context, state, destination.peer)
      if (outcome.kind === 'broken') await findUnreportedStart(context, state)
      return outcome
    }
    default: return assertNever(destination)
  }
}

/** Reserves a retry at a backend server that was not tried. What is certain to refuse it is asked before the retry budget. */
async function reserveRetry (context: GatewayContext, state: RequestState): Promise<RetryReservation> {
  const now = steadyNow()
  const isUsable = (candidate: BackendState): boolean => candidate.avoidedUntil <= now && !context.permits.isDenied(candidate, state.priority, now)
  if (hasCallerLeft(state)) return { kind: 'refused', reason: 'the caller has left' }
  if (state.hasUnidentifiedEvents) return { kind: 'refused', reason: 'events without an ID were delivered' }
  if (!context.crashGuard.mayRetry(state.guarded)) return { kind: 'refused', reason: 'the request may crash backend servers' }
  if (!hasAttemptLeft(state)) return { kind: 'refused', reason: 'no attempt is left' }
  if (!hasUntriedDestination(context, state, isUsable)) return { kind: 'refused', reason: 'no other backend server' }
  if (!await acquireRetryWithReturn(context, state)) return { kind: 'refused', reason: 'the retry budget is used up' }
  const choice = await chooseDestination(context, state, state.triedBackendIds)
  if (choice.kind === 'chosen') return { kind: 'reserved', backendId: choice.backendId }
  releaseReturn(state)
  return { kind: 'refused', reason: choice.reason }
}

function attemptsOf (relay: RelayEnvelope | undefined): number {
  return relay === undefined ? Infinity : relay.attemptsLeft + (relay.furtherAttempts?.attempts ?? 0)
}

/** Reserves one more send to a backend server that was given up for a silence. */
async function reserveReturn (context: GatewayContext, state: RequestState, backendIds: readonly string[]): Promise<RetryReservation> {
  if (hasCallerLeft(state)) return { kind: 'refused', reason: 'the caller has left' }
  if (state.hasUnidentifiedEvents) return { kind: 'refused', reason: 'events without an ID were delivered' }
  if (!context.crashGuard.mayRetry(state.guarded)) return { kind: 'refused', reason: 'the request may crash backend servers' }
  const choice = await chooseDestination(context, state, [], backendIds)
  if (choice.kind !== 'chosen') return { kind: 'refused', reason: choice.reason }
  if (!await acquireRetry(context, state, 'return')) return { kind: 'refused', reason: 'the retry budget is used up' }
  context.log.decision('attemptReturned', { request: state.fields.attemptId, backend: choice.backendId, headersSent: state.headersSent })
  return { kind: 'reserved', backendId: choice.backendId }
}

/** Logs how far a request was when its caller left; the line of its result tells when the work for it ended. */
function recordCallerLeft (context: GatewayContext, state: RequestState): void {
  const phase = state.headersSent ? 'streaming' : state.attempts > 0 ? 'sent' : 'waiting'
  context.metrics.count('callers_left_total', { phase })
  context.log.decision('callerLeft', {
    request: state.fields.attemptId,
    route: state.route.name,
    phase,
    sends: state.attempts,
    milliseconds: steadyNow() - state.receivedAt,
    unsentBytes: state.response.writableLength,
    eventLoopDelayMilliseconds: context.eventLoopDelay.milliseconds
  })
}

/** Sends the final response to the caller and logs the result. */
function finishRequest (context: GatewayContext, state: RequestState, result: PlanResult, tokens: { readonly reserved: number, readonly used: number }): void {
  const { response } = state
  const requestId = state.fields.attemptId
  switch (result.kind) {
    case 'delivered': break
    case 'callerGone': response.destroy(); break
    case 'passFailure':
      state.bufferedResponse?.deliver()
      break
    case 'notRun':
      // Another instance may reach the backend servers that this one lost meanwhile. What reached one counts as an attempt.
      if (state.reachedBackends > 0 || !declineIfCutOff(context, state)) sendNotRun(context, response, result.reason, result.retryAt)
      break
    case 'exhausted':
      sendError(context, response, { status: 402, code: 'budget_exhausted', message: 'the remaining prepaid balance does not cover the maximum tokens of this request', run: 'no' })
      break
    case 'unknown':
      sendError(context, response, { status: 502, code: 'outcome_unknown', message: `the backend server did not complete its response: ${result.reason}`, run: 'unknown' })
      break
    case 'timedOut':
      sendError(context, response, { status: 504, code: 'timed_out', message: 'no response within the time limit', run: 'unknown' })
      break
    case 'cutOff': cutOffResponse(response); break
    default: assertNever(result)
  }
  const now = steadyNow()
  recordResult(context, state, result)
  context.log.decision(result.kind === 'delivered' ? 'requestServed' : 'requestNotServed', {
    request: requestId,
    account: state.account?.name,
    route: state.route.name,
    service: state.service,
    outcome: result.kind,
    status: response.statusCode,
    reason: 'reason' in result ? result.reason : undefined,
    backends: state.triedBackendIds.join(','),
    versions: state.triedVersions.join(','),
    pieces: state.pieces.describe(),
    resumedAfter: state.fields.lastEventId === '' ? undefined : state.fields.lastEventId,
    resumedAttempt: state.fields.resumedAttemptId === '' ? undefined : state.fields.resumedAttemptId,
    sends: state.attempts,
    milliseconds: now - state.receivedAt,
    callerLeftMilliseconds: state.caller.leftAt === undefined ? undefined : state.caller.leftAt - state.receivedAt,
    firstByteMilliseconds: state.firstByteAt === undefined ? undefined : state.firstByteAt - state.receivedAt,
    events: state.deliveredEvents,
    relayedEvents: state.relayedEvents === 0 ? undefined : state.relayedEvents,
    relayedBy: state.relay?.from,
    reservedTokens: tokens.reserved,
    usedTokens: tokens.used,
    configuration: context.configuration()?.configuration.version,
    listAgeMilliseconds: now - context.backends.follower.lastResponseAt
  })
}
