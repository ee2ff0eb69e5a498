import type { Clock } from '@quinceshunt/effects'
import { rankCandidates, rankOfPriority, type PolicyChoice, type SlotResult, type SlotTicket } from '@quinceshunt/routing'
import type { SheetBackendServer } from '@quinceshunt/schemas'
import { isAccessibleTo, type BackendDirectory } from './backendDirectory.js'
import { isEligible, recordHealthEvent, toCandidate, type BackendEntry } from './backendEntry.js'
import type { BackendService, Slot, SlotOutcome } from './services.js'

/** Parameters of `BackendService.acquire`. */
export type AcquireRequest = Parameters<BackendService['acquire']>[0]

/** A pending request for a slot, from its arrival until its outcome. */
export interface Acquisition {
  readonly request: AcquireRequest
  readonly arrivedAt: number
  /** Number of earlier requests to the target; used to rotate among equal backend servers. */
  readonly turn: number
  readonly reply: (outcome: SlotOutcome) => void
  /** Aborted once the request has its outcome; cancels the deadline timer and the caller's abort listener. */
  readonly ended: AbortController
  ticket: SlotTicket | undefined
  /** Backend server in whose queue it was last placed. */
  entry: BackendEntry | undefined
}

/** Dependencies for placing a request. */
export interface PlacementContext {
  readonly directory: BackendDirectory
  readonly policy: PolicyChoice
  readonly failureDomain: string
  readonly clock: Clock
  /** Called with the result from a backend server's queue. */
  readonly onSlotResult: (acquisition: Acquisition, entry: BackendEntry, result: SlotResult) => void
  /** Called with entries that were added because the subset had no eligible member. */
  readonly onEntriesAdded: (entries: readonly BackendEntry[]) => void
  readonly onReleased: (entry: BackendEntry, result: 'succeeded' | 'failed') => void
}

/** Retry delay sent to the caller when no backend server is eligible and none has a probe scheduled. */
const NO_BACKEND_RETRY_DELAY_MS = 2000
/** Weight of accounts that have none in the sheet. */
const MIN_WEIGHT = 1

/** Places a request in a slot or a queue, or sheds it. */
export function placeRequest (context: PlacementContext, acquisition: Acquisition): void {
  const { request } = acquisition
  if (acquisition.ended.signal.aborted) return
  if (request.signal.aborted) return finish(acquisition, deadlineExceeded('the caller has disconnected', request.deadline))
  if (context.clock.now() >= request.deadline) return finish(acquisition, deadlineExceeded('the deadline has passed', request.deadline))
  let eligible = eligibleFor(context, request)
  if (eligible.length === 0) {
    const added = context.directory.growSubsets(request.target, request.account.id)
    if (added.length > 0) {
      context.onEntriesAdded(added)
      eligible = eligibleFor(context, request)
    }
  }
  if (eligible.length === 0) return finish(acquisition, noBackendServer(context, request))
  const byId = new Map(eligible.map((entry) => [entry.server.id, entry]))
  const candidates = eligible.map((entry) => toCandidate(entry, context.failureDomain, request.prefixHashes))
  const ranked = rankCandidates(context.policy, candidates, request, acquisition.turn).map((candidate) => byId.get(candidate.id)!)
  const slotRequest = { account: request.account.id, weight: Math.max(MIN_WEIGHT, request.account.weight), priority: request.priority, promptBytes: request.promptBytes, deadline: request.deadline }
  const admissions = ranked.map((entry) => ({ entry, admission: entry.queue.preview(slotRequest) }))
  const chosen = admissions.find(({ admission }) => admission.kind === 'queued') ?? admissions.find(({ admission }) => admission.kind === 'displacing')
  if (chosen !== undefined) {
    acquisition.entry = chosen.entry
    acquisition.ticket = chosen.entry.queue.request(slotRequest, (result) => context.onSlotResult(acquisition, chosen.entry, result))
    return
  }
  const shedAdmissions = admissions.flatMap(({ admission }) => admission.kind === 'shed' ? [admission] : [])
  finish(acquisition, overloaded(request.target, shedAdmissions.some((shed) => shed.overShare), Math.min(...shedAdmissions.map((shed) => shed.retryAt))))
}

/** Handles the result from a backend server's queue. */
export function handleSlotResult (context: PlacementContext, acquisition: Acquisition, entry: BackendEntry, result: SlotResult): void {
  if (result.kind === 'granted') {
    // Between the grant and this message, the backend server may have become ineligible or the request may have ended.
    if (acquisition.ended.signal.aborted || !isEligible(entry)) {
      result.release(context.clock.now(), true)
      return placeRequest(context, acquisition)
    }
    return finish(acquisition, { kind: 'slot', slot: createSlot(context, entry, result.release) })
  }
  if (acquisition.ended.signal.aborted) return
  if (result.kind === 'shed') return finish(acquisition, overloaded(acquisition.request.target, result.overShare, result.retryAt))
  placeRequest(context, acquisition)
}

/** Ends a request whose deadline has passed or whose caller has disconnected. */
export function expire (acquisition: Acquisition): void {
  const { request, ticket } = acquisition
  if (acquisition.ended.signal.aborted) return
  finish(acquisition, deadlineExceeded(request.signal.aborted ? 'the caller has disconnected' : 'no slot came free before the deadline', request.deadline))
  ticket?.withdraw()
}

/**
 * Selects the waiting request to move to a backend server with a free slot: the most urgent, then the oldest, of those
 * that wait elsewhere and may use it. Undefined when there is no free slot or no such request.
 */
export function findRequestToMove (entry: BackendEntry, waiting: Iterable<Acquisition>): Acquisition | undefined {
  const { queue, server } = entry
  if (queue.queued > 0 || queue.running >= queue.window || !isEligible(entry)) return undefined
  let best: Acquisition | undefined
  for (const acquisition of waiting) {
    const { request } = acquisition
    if (acquisition.entry === entry || request.target !== server.target || !isAccessibleTo(server, request.account.id) || request.excluded.has(server.id) || request.only !== undefined) continue
    if (best === undefined || precedes(acquisition, best)) best = acquisition
  }
  return best
}

function precedes (left: Acquisition, right: Acquisition): boolean {
  const difference = rankOfPriority(left.request.priority) - rankOfPriority(right.request.priority)
  return difference === 0 ? left.arrivedAt < right.arrivedAt : difference < 0
}

/** Eligible backend servers of a target, in no particular order. */
export function eligibleEntries (directory: BackendDirectory, target: string, accountId: string): readonly BackendEntry[] {
  return directory.accessibleEntries(target, accountId).filter(isEligible)
}

function eligibleFor (context: PlacementContext, request: AcquireRequest): readonly BackendEntry[] {
  return eligibleEntries(context.directory, request.target, request.account.id)
    .filter(({ server }) => !request.excluded.has(server.id) && (request.only === undefined || request.only === server.id))
}

function createSlot (context: PlacementContext, entry: BackendEntry, releaseSlot: (at: number) => void): Slot {
  const startedAt = context.clock.now()
  entry.history.recordChange(1, startedAt)
  recordHealthEvent(entry, { kind: 'requestStarted', at: startedAt })
  const backendServer: SheetBackendServer = entry.server
  let released = false
  return {
    backendServer,
    incarnation: entry.membership.incarnation,
    release: (result) => {
      if (released) return
      released = true
      const now = context.clock.now()
      entry.history.recordChange(-1, now)
      releaseSlot(now)
      context.onReleased(entry, result)
    }
  }
}

function finish (acquisition: Acquisition, outcome: SlotOutcome): void {
  acquisition.ended.abort()
  acquisition.reply(outcome)
}

function deadlineExceeded (reason: string, deadline: number): SlotOutcome {
  return { kind: 'shed', status: 503, code: 'deadline_exceeded', message: `The request was not run: ${reason}.`, retryAt: deadline }
}

function overloaded (target: string, overShare: boolean, retryAt: number): SlotOutcome {
  const reason = overShare ? 'this client account already holds more than its share of the queue' : 'all its backend servers are fully used'
  return { kind: 'shed', status: overShare ? 429 : 503, code: 'overloaded', message: `${target} is overloaded: ${reason}. Send the request again after the time in Retry-After.`, retryAt }
}

function noBackendServer (context: PlacementContext, request: AcquireRequest): SlotOutcome {
  const now = context.clock.now()
  const probes = context.directory.accessibleEntries(request.target, request.account.id).flatMap(({ health }) => health.kind === 'ejected' ? [health.probeAt] : [])
  const retryAt = probes.length === 0 ? now + NO_BACKEND_RETRY_DELAY_MS : Math.max(now, Math.min(...probes))
  return { kind: 'shed', status: 503, code: 'no_backend_server', message: `No backend server of ${request.target} takes requests at present.`, retryAt }
}
