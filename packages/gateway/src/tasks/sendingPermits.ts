import { assertNever } from '@quinceshunt/effects'
import { steadyNow } from '../clock.js'
import { backendProcessOf, type BackendState } from '../decisions/backendState.js'
import { smallerLimit, type ColdLimit } from '../decisions/coldLimit.js'
import { createOwnShareIssuer } from '../decisions/ownShare.js'
import { createPermitIssuer, type IssuingPower, type KnownLimit, type PermitReply, type PermitRequest, type PriorityDemand } from '../decisions/permitIssuer.js'
import type { SharedClock } from '../decisions/sharedClock.js'
import type { NamedLimit } from '../ports.js'
import type { DecisionLog } from './decisionLog.js'
import type { Peer } from './fleetTask.js'
import { createHomeCalls } from './homeCalls.js'
import { parsePermitReply, PEER_PATH } from './peerMessages.js'
import type { Post } from './tokenLoans.js'

/** The first home issues the whole limit. */
const FIRST_HOME_POWER: IssuingPower = { fraction: 1, burst: 2 }
/** While some instances reach only the first home and others only the second, both together issue one and a half times the limit. */
const OTHER_HOME_POWER: IssuingPower = { fraction: 0.5, burst: 1 }
/** Retry time for an instance that is not registered yet. */
const NOT_REGISTERED_RETRY_MS = 500
const MAX_RETRY_MS = 3000
/** A backend server that takes none still gets a trial request at times, as only its responses show when the limit ends. */
/** A home may be reached again before this instance's next own permit. */
const MAX_OWN_DENIAL_MS = 5000
/** No cold period is longer. */
const MAX_COLD_MS = 86_400_000
const MIN_OWN_REQUESTS_PER_SECOND = 0.25

/** Outcome of asking for a permit. */
export type PermitOutcome =
  | { readonly kind: 'granted' }
  | { readonly kind: 'denied' }

/** Permits for requests to backend servers that name a limit or are cold. */
export interface SendingPermits {
  /** Requests a second that the backend server takes from all instances together: the smaller of what it names and the limit of its cold period; undefined without both. */
  limitOf (backend: BackendState, now: number): number | undefined
  /** True when a request of the priority is certain to be denied a permit now. */
  isDenied (backend: BackendState, priority: number, now: number): boolean
  /** Asks for a permit to send one request. */
  acquire (backend: BackendState, priority: number): Promise<PermitOutcome>
  /** Records a request that only these backend servers can serve, all of which name a limit. */
  recordDemand (backends: readonly BackendState[], priority: number): void
  /** When a caller may return whose request all these backend servers deny, by `steadyNow`. */
  retryAt (backends: readonly BackendState[], priority: number, now: number): number
  /** Takes over the limit that a response names, or that it names none. */
  observe (backend: BackendState, limit: NamedLimit, attemptId: string): void
  /** Takes over what other instances announce. */
  learn (backendProcess: string, known: KnownLimit): void
  /** Issues a permit to a peer, as a home of the backend server. */
  issue (request: PermitRequest): PermitReply
  /** Takes over a peer's news of a limit, as a home of the backend server. */
  receive (backendProcess: string, known: KnownLimit): void
}

/** Dependencies of the permits. */
export interface SendingPermitsOptions {
  readonly instanceId: string
  readonly clock: SharedClock
  readonly log: DecisionLog
  /** Number of registered instances. */
  readonly instances: () => number
  /** Homes of a backend server in order of preference; may include this instance. */
  readonly homes: (backendId: string) => readonly Peer[]
  readonly findBackend: (id: string) => BackendState | undefined
  /** Tells all instances of a limit. */
  readonly announce: (backendProcess: string, known: KnownLimit) => void
  readonly count: (outcome: string) => void
  /** The limit of a cold backend server, with its end by `steadyNow`. */
  readonly coldLimit: (backend: BackendState, now: number) => ColdLimit | undefined
  /** Takes over the end of a cold period, by `steadyNow`, that a home knows. */
  readonly learnColdUntil: (backend: BackendState, until: number) => void
  readonly countCold: (backend: BackendState, outcome: 'granted' | 'denied') => void
  /** Place of this instance among all of them, in [0, 1), for one backend server. */
  readonly position: (backendId: string) => number
  /** Delivers one message; replaced by tests. */
  readonly post?: Post
}

/** Creates the permits of one process. */
export function createSendingPermits (options: SendingPermitsOptions): SendingPermits {
  const { instanceId, clock, log } = options
  const calls = createHomeCalls(log, options.post)
  const issuer = createPermitIssuer(options.announce)
  /** Issues this instance's even share while it reaches no home. */
  const ownIssuer = createPermitIssuer(() => {})
  /** The same for cold backend servers. */
  const ownShare = createOwnShareIssuer()

  function sharedNow (): number {
    return clock.fromLocal(steadyNow()) ?? 0
  }

  function powerOf (backendId: string): IssuingPower {
    return options.homes(backendId)[0]?.instanceId === instanceId ? FIRST_HOME_POWER : OTHER_HOME_POWER
  }

  function backendIdOf (backendProcess: string): string {
    return backendProcess.slice(0, backendProcess.lastIndexOf('/'))
  }

  function issue (request: PermitRequest): PermitReply {
    return issuer.ask(request, powerOf(backendIdOf(request.backendProcess)), sharedNow())
  }

  async function ask (backendId: string, request: PermitRequest): Promise<PermitReply> {
    const askedAt = sharedNow()
    for (const home of calls.reachable(options.homes(backendId))) {
      if (home.instanceId === instanceId) return issue(request)
      const reply = parsePermitReply(await calls.post(home, PEER_PATH.permits, { ...request }))
      // A home of the previous release does not know of the cold period, so that others that ask it may send without limit.
      if (reply !== undefined && request.cold !== undefined && (reply.kind === 'unlimited' || reply.coldUntil === undefined)) break
      if (reply !== undefined) return reply
    }
    const now = sharedNow()
    const isRegistered = options.homes(backendId).length > 0
    if (!isRegistered) return { kind: 'denied', known: request.known, askAgainAt: now + NOT_REGISTERED_RETRY_MS, retryAt: now + NOT_REGISTERED_RETRY_MS, share: 0 }
    // Homes that don't reply take longer than an own permit is usable.
    if (request.cold !== undefined) return askOwnShare(backendId, request, request.cold, askedAt)
    return ownIssuer.ask(request, { fraction: 1 / options.instances(), burst: 1 }, now)
  }

  function askOwnShare (backendId: string, { backendProcess, known }: PermitRequest, cold: ColdLimit, now: number): PermitReply {
    const instances = Math.max(1, options.instances())
    const requestsPerSecond = smallerLimit(known.requestsPerSecond, cold) ?? cold.requestsPerSecond
    const permit = ownShare.ask(backendProcess, { requestsPerSecond: Math.max(MIN_OWN_REQUESTS_PER_SECOND, requestsPerSecond), instances, position: options.position(backendId) }, now)
    switch (permit.kind) {
      case 'granted': return { kind: 'granted', known }
      case 'denied': return { kind: 'denied', known, askAgainAt: Math.min(permit.freeAt, now + MAX_OWN_DENIAL_MS), retryAt: Math.min(permit.freeAt, now + MAX_RETRY_MS), share: requestsPerSecond / instances }
      default: return assertNever(permit)
    }
  }

  function takeOver (backend: BackendState, known: KnownLimit, cause: Record<string, unknown>): boolean {
    const previous = backend.limit
    if (known.seenAt <= previous.seenAt) return false
    backend.limit = known
    if (known.requestsPerSecond === previous.requestsPerSecond) return false
    // Permits were denied under the limit of before.
    if (known.requestsPerSecond === undefined || known.requestsPerSecond > (previous.requestsPerSecond ?? Infinity)) backend.denials.clear()
    log.event('requestLimitChanged', { backend: backend.entry.id, service: backend.entry.service, previous: previous.requestsPerSecond, requestsPerSecond: known.requestsPerSecond, ...cause })
    return true
  }

  function takeDemand (backend: BackendState): readonly PriorityDemand[] {
    const demand = [...backend.unreportedDemand].map(([priority, requests]) => ({ priority, requests }))
    backend.unreportedDemand.clear()
    return demand
  }

  async function acquire (backend: BackendState, priority: number): Promise<PermitOutcome> {
    const backendProcess = backendProcessOf(backend.entry)
    const cold = sharedColdLimit(backend)
    const reply = await ask(backend.entry.id, { backendProcess, instanceId, priority, known: backend.limit, cold, demand: takeDemand(backend) })
    options.count(reply.kind)
    if (cold !== undefined) options.countCold(backend, reply.kind === 'denied' ? 'denied' : 'granted')
    if (backendProcessOf(backend.entry) === backendProcess) takeOver(backend, reply.known, { cause: 'reply of a home' })
    if (reply.kind !== 'unlimited' && reply.coldUntil !== undefined && backendProcessOf(backend.entry) === backendProcess) learnColdUntil(backend, reply.coldUntil)
    switch (reply.kind) {
      case 'granted':
      case 'unlimited': return { kind: 'granted' }
      case 'denied': {
        const now = steadyNow()
        const toLocal = (at: number): number => now + at - sharedNow()
        backend.lastDeniedAt = now
        backend.denials.set(priority, { askAgainAt: toLocal(reply.askAgainAt), retryAt: toLocal(reply.retryAt), share: reply.share, rejected: 0 })
        return { kind: 'denied' }
      }
    }
  }

  /** The limit of the cold period, with its end on the shared clock. */
  function sharedColdLimit (backend: BackendState): ColdLimit | undefined {
    const limit = options.coldLimit(backend, steadyNow())
    return limit === undefined ? undefined : { requestsPerSecond: limit.requestsPerSecond, until: sharedNow() + limit.until - steadyNow() }
  }

  function learnColdUntil (backend: BackendState, sharedUntil: number): void {
    const remaining = sharedUntil - sharedNow()
    if (remaining > 0 && remaining <= MAX_COLD_MS) options.learnColdUntil(backend, steadyNow() + remaining)
  }

  function limitOf (backend: BackendState, now: number): number | undefined {
    return smallerLimit(backend.limit.requestsPerSecond, options.coldLimit(backend, now))
  }

  function isDenied (backend: BackendState, priority: number, now: number): boolean {
    if (limitOf(backend, now) === undefined) return false
    for (const [denied, { askAgainAt }] of backend.denials) if (denied <= priority && askAgainAt > now) return true
    return false
  }

  /** Callers that are rejected one after the other are told to return at the pace at which this instance gets permits. */
  function retryAt (backends: readonly BackendState[], priority: number, now: number): number {
    let earliest = now + MAX_RETRY_MS
    for (const backend of backends) {
      const denial = backend.denials.get(priority) ?? [...backend.denials].find(([denied]) => denied <= priority)?.[1]
      if (denial === undefined) continue
      const pace = denial.share > 0 ? denial.rejected * 1000 / (denial.share * backends.length) : 0
      denial.rejected++
      earliest = Math.min(earliest, Math.max(now, denial.retryAt) + pace)
    }
    return earliest
  }

  async function tellHome (backendId: string, backendProcess: string, known: KnownLimit): Promise<void> {
    for (const home of calls.reachable(options.homes(backendId))) {
      if (home.instanceId === instanceId) return issuer.learn(backendProcess, known, sharedNow())
      if (await calls.post(home, PEER_PATH.limits, { backendProcess, known }) !== undefined) return
    }
  }

  function observe (backend: BackendState, limit: NamedLimit, attemptId: string): void {
    switch (limit.kind) {
      case 'unreadable':
        // The limit that is known stays in force.
        log.decision('requestLimitUnreadable', { backend: backend.entry.id, value: limit.value, request: attemptId })
        return
      case 'none':
      case 'named': {
        const known = { requestsPerSecond: limit.kind === 'named' ? limit.requestsPerSecond : undefined, seenAt: sharedNow() }
        const hasChanged = takeOver(backend, known, { request: attemptId })
        // A home learns of other changes from requests for permits, which an ended limit stops.
        if (!hasChanged || limit.kind === 'named') return
        const backendProcess = backendProcessOf(backend.entry)
        tellHome(backend.entry.id, backendProcess, known).catch((error: unknown) => log.warning('limitNotReported', { backend: backend.entry.id, reason: String(error) }))
      }
    }
  }

  return {
    limitOf,
    isDenied,
    acquire,
    retryAt,
    observe,
    issue,
    recordDemand: (backends, priority) => {
      for (const { unreportedDemand } of backends) unreportedDemand.set(priority, (unreportedDemand.get(priority) ?? 0) + 1 / backends.length)
    },
    learn: (backendProcess, known) => {
      const backend = options.findBackend(backendIdOf(backendProcess))
      if (backend !== undefined && backendProcessOf(backend.entry) === backendProcess) takeOver(backend, known, { cause: 'announced' })
    },
    receive: (backendProcess, known) => issuer.learn(backendProcess, known, sharedNow())
  }
}
