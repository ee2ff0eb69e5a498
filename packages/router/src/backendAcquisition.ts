import type { Clock } from '@quinceshunt/effects'
import { rankCandidates, rankOfPriority, type PolicyChoice, type SlotResult, type SlotTicket } from '@quinceshunt/routing'
import type { SheetBackendServer } from '@quinceshunt/schemas'
import { mayReach, type BackendDirectory } from './backendDirectory.js'
import { isEligible, noteHealth, toCandidate, type BackendEntry } from './backendEntry.js'
import type { BackendService, Slot, SlotOutcome } from './services.js'

/** What a request asks of the task. */
export type AcquireRequest = Parameters<BackendService['acquire']>[0]

/** One request that wants a slot, from its arrival until its outcome. */
export interface Acquisition {
  readonly request: AcquireRequest
  readonly arrivedAt: number
  /** Counts the requests to the target; decides between equal backend servers. */
  readonly turn: number
  readonly reply: (outcome: SlotOutcome) => void
  /** Ends the wait for the deadline and the caller's signal. */
  readonly ended: AbortController
  ticket: SlotTicket | undefined
  /** Where it waits. */
  entry: BackendEntry | undefined
}

/** Task parts that placing a request needs. */
export interface PlacementContext {
  readonly directory: BackendDirectory
  readonly policy: PolicyChoice
  readonly failureDomain: string
  readonly clock: Clock
  /** Posts the answer of a backend server's queue. */
  readonly answered: (acquisition: Acquisition, entry: BackendEntry, result: SlotResult) => void
  /** Told of entries created because the subset had no eligible member. */
  readonly grown: (entries: readonly BackendEntry[]) => void
  readonly released: (entry: BackendEntry, result: 'succeeded' | 'failed') => void
}

/** Wait named to the caller when no backend server is eligible and none is due for a probe, milliseconds. */
const NO_BACKEND_RETRY_MILLISECONDS = 2000
/** Requests of accounts without a weight count as weight 1. */
const SMALLEST_WEIGHT = 1

/** Finds a place for a request: a slot, a queue, or the answer that there is none. */
export function place (context: PlacementContext, acquisition: Acquisition): void {
  const { request } = acquisition
  if (acquisition.ended.signal.aborted) return
  if (request.signal.aborted) return finish(acquisition, expired('the caller has disconnected', request.deadline))
  if (context.clock.now() >= request.deadline) return finish(acquisition, expired('the deadline has passed', request.deadline))
  let eligible = eligibleFor(context, request)
  if (eligible.length === 0) {
    const added = context.directory.grow(request.target, request.account.id)
    if (added.length > 0) {
      context.grown(added)
      eligible = eligibleFor(context, request)
    }
  }
  if (eligible.length === 0) return finish(acquisition, noBackendServer(context, request))
  const byId = new Map(eligible.map((entry) => [entry.server.id, entry]))
  const candidates = eligible.map((entry) => toCandidate(entry, context.failureDomain, request.prefixHashes))
  const ranked = rankCandidates(context.policy, candidates, request, acquisition.turn).map((candidate) => byId.get(candidate.id)!)
  const slotRequest = { account: request.account.id, weight: Math.max(SMALLEST_WEIGHT, request.account.weight), priority: request.priority, promptBytes: request.promptBytes, deadline: request.deadline }
  const admissions = ranked.map((entry) => ({ entry, admission: entry.queue.preview(slotRequest) }))
  const chosen = admissions.find(({ admission }) => admission.kind === 'queued') ?? admissions.find(({ admission }) => admission.kind === 'displacing')
  if (chosen !== undefined) {
    acquisition.entry = chosen.entry
    acquisition.ticket = chosen.entry.queue.request(slotRequest, (result) => context.answered(acquisition, chosen.entry, result))
    return
  }
  const sheds = admissions.flatMap(({ admission }) => admission.kind === 'shed' ? [admission] : [])
  finish(acquisition, overloaded(request.target, sheds.some((shed) => shed.overShare), Math.min(...sheds.map((shed) => shed.retryAt))))
}

/** Handles the answer of a backend server's queue. */
export function takeAnswer (context: PlacementContext, acquisition: Acquisition, entry: BackendEntry, result: SlotResult): void {
  if (result.kind === 'granted') {
    // The backend server may have been marked as leaving, or the caller gone, between the grant and this message.
    if (acquisition.ended.signal.aborted || !isEligible(entry)) {
      result.release(context.clock.now(), true)
      return place(context, acquisition)
    }
    return finish(acquisition, { kind: 'slot', slot: startUse(context, entry, result.release) })
  }
  if (acquisition.ended.signal.aborted) return
  if (result.kind === 'shed') return finish(acquisition, overloaded(acquisition.request.target, result.overShare, result.retryAt))
  place(context, acquisition)
}

/** Ends a request that waited until its deadline or whose caller has gone. */
export function expire (acquisition: Acquisition): void {
  const { request, ticket } = acquisition
  if (acquisition.ended.signal.aborted) return
  finish(acquisition, expired(request.signal.aborted ? 'the caller has disconnected' : 'no slot came free before the deadline', request.deadline))
  ticket?.withdraw()
}

/**
 * The waiting request that should be placed again because a backend server has a free slot: the most urgent, then the
 * oldest, of those that wait elsewhere and may use it. Undefined when the slot is not free or none waits.
 */
export function findMovable (entry: BackendEntry, waiting: Iterable<Acquisition>): Acquisition | undefined {
  const { queue, server } = entry
  if (queue.queued > 0 || queue.running >= queue.window || !isEligible(entry)) return undefined
  let best: Acquisition | undefined
  for (const acquisition of waiting) {
    const { request } = acquisition
    if (acquisition.entry === entry || request.target !== server.target || !mayReach(server, request.account.id) || request.excluded.has(server.id) || request.only !== undefined) continue
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
  return directory.reachable(target, accountId).filter(isEligible)
}

function eligibleFor (context: PlacementContext, request: AcquireRequest): readonly BackendEntry[] {
  return eligibleEntries(context.directory, request.target, request.account.id)
    .filter(({ server }) => !request.excluded.has(server.id) && (request.only === undefined || request.only === server.id))
}

function startUse (context: PlacementContext, entry: BackendEntry, releaseSlot: (at: number) => void): Slot {
  const startedAt = context.clock.now()
  entry.history.change(1, startedAt)
  noteHealth(entry, { kind: 'requestStarted', at: startedAt })
  const backendServer: SheetBackendServer = entry.server
  let released = false
  return {
    backendServer,
    release: (result) => {
      if (released) return
      released = true
      const now = context.clock.now()
      entry.history.change(-1, now)
      releaseSlot(now)
      context.released(entry, result)
    }
  }
}

function finish (acquisition: Acquisition, outcome: SlotOutcome): void {
  acquisition.ended.abort()
  acquisition.reply(outcome)
}

function expired (reason: string, deadline: number): SlotOutcome {
  return { kind: 'shed', status: 503, code: 'deadline_exceeded', message: `The request was not run: ${reason}.`, retryAt: deadline }
}

function overloaded (target: string, overShare: boolean, retryAt: number): SlotOutcome {
  const reason = overShare ? 'this client account already holds more than its share of the queue' : 'all its backend servers are fully used'
  return { kind: 'shed', status: overShare ? 429 : 503, code: 'overloaded', message: `${target} is overloaded: ${reason}. Send the request again after the named time.`, retryAt }
}

function noBackendServer (context: PlacementContext, request: AcquireRequest): SlotOutcome {
  const now = context.clock.now()
  const probes = context.directory.reachable(request.target, request.account.id).flatMap(({ health }) => health.kind === 'ejected' ? [health.probeAt] : [])
  const retryAt = probes.length === 0 ? now + NO_BACKEND_RETRY_MILLISECONDS : Math.max(now, Math.min(...probes))
  return { kind: 'shed', status: 503, code: 'no_backend_server', message: `No backend server of ${request.target} takes requests at present.`, retryAt }
}
