import { isInForce, smallerLimit, type ColdLimit } from './coldLimit.js'

/**
 * Issues permits for requests to backend servers that name how many requests a second they take from all instances, and
 * for those that are cold.
 *
 * Expected load: few requests a second to such a backend server, from six to some hundred instances with uneven demand. One
 * instance, on which all agree, issues all permits of a backend server, so that they go to those that have requests. Where
 * all backend servers of a service name limits, urgent requests come first, but no priority is starved.
 */

/** What is known of a backend server's limit. */
export interface KnownLimit {
  /** Requests that it takes from all instances together; undefined while it names no limit. */
  readonly requestsPerSecond: number | undefined
  /** When the response arrived that says so; milliseconds on the clock that all instances share. */
  readonly seenAt: number
}

/** Of a backend server of which no response is known. */
export const noKnownLimit: KnownLimit = { requestsPerSecond: undefined, seenAt: 0 }

/** Requests of a priority that wanted a permit; 0 is the most urgent. A request that several backend servers can serve counts in part at each. */
export interface PriorityDemand {
  readonly priority: number
  readonly requests: number
}

/** Asks for one permit. */
export interface PermitRequest {
  /** Backend server and its process: a new process has no limit until it names one. */
  readonly backendProcess: string
  readonly instanceId: string
  readonly priority: number
  /** What the asking instance knows of the limit. */
  readonly known: KnownLimit
  /** The limit of its cold period, as the asking instance knows it; its end on the shared clock. */
  readonly cold?: ColdLimit | undefined
  /** Demand since the instance asked last, while no other backend server could serve it. */
  readonly demand: readonly PriorityDemand[]
}

/** Reply to a request for a permit. Times are on the shared clock. */
export type PermitReply =
  /** `coldUntil`: the latest end of the cold period that the issuer knows, which a home of the previous release does not tell. */
  | { readonly kind: 'granted', readonly known: KnownLimit, readonly coldUntil?: number | undefined }
  /** No limit is in force. */
  | { readonly kind: 'unlimited', readonly known: KnownLimit }
  | {
    readonly kind: 'denied'
    readonly known: KnownLimit
    readonly coldUntil?: number | undefined
    /** Until then the instance is denied permits of this and less urgent priorities. */
    readonly askAgainAt: number
    /** When a caller that is rejected for it may return. */
    readonly retryAt: number
    /** Permits a second that the asking instance can count on. */
    readonly share: number
  }

/** What the rank of the issuing instance among the homes of a backend server allows it. */
export interface IssuingPower {
  /** Part of the limit that it may issue. */
  readonly fraction: number
  /** Permits that may be issued at once after a pause. */
  readonly burst: number
}

/** Issuer of permits of one instance. */
export interface PermitIssuer {
  ask (request: PermitRequest, power: IssuingPower, now: number): PermitReply
  /** Takes over what another instance knows, if it is newer. */
  learn (backendProcess: string, known: KnownLimit, now: number): void
}

/** A backend server that names a limit of 0 still gets trial requests at this rate, as only its responses show when the limit ends. */
const MIN_REQUESTS_PER_SECOND = 0.25
/** Time constant of the average demand. */
const DEMAND_AVERAGE_MS = 3000
/** An instance that has not asked for this long, or for two intervals, does not count as one that sends there. */
const MIN_ASKER_EXPIRY_MS = 5000
/** Denied requests for permits a second of all instances together: bounds the messages to the issuer. */
const MIN_DENIALS_PER_SECOND = 10
/** The same for each permit, so that permits don't lie idle. */
const DENIALS_PER_PERMIT = 4
/** Part that less urgent requests get at least, of the permits that they would get without priorities. */
const MIN_FAIR_SHARE = 0.6
const MAX_RETRY_MS = 3000
/** The backend servers that were asked for least recently are evicted first. */
const MAX_BACKEND_PROCESSES = 2000
/** Changes of the value by less than this factor are left for the next reply. */
const ANNOUNCED_CHANGE_FACTOR = 1.25
/** No cold period is longer than a day, nor is its end. */
const MAX_COLD_MS = 86_400_000

interface Demand {
  readonly perSecond: number
  readonly at: number
}

interface BackendPermits {
  known: KnownLimit
  cold: ColdLimit | undefined
  /** Limit in force when the last permit was asked for. */
  rate: number | undefined
  announced: number | undefined
  /** Time at which the permits issued so far are used up (generic cell rate algorithm). */
  issuedUntil: number
  /** The same for the permits that urgent requests leave, by priority. */
  readonly remainderIssuedUntil: Map<number, number>
  readonly demand: Map<number, Demand>
  readonly askers: Map<string, number>
  /** Time up to which instances that were denied are told to ask again, one after the other. */
  askedAgainUntil: number
  deniedSinceGrant: number
}

function averageDemand (demand: Demand | undefined, now: number): number {
  return demand === undefined ? 0 : demand.perSecond * Math.exp(-Math.max(0, now - demand.at) / DEMAND_AVERAGE_MS)
}

/** True when other instances should learn of the change at once. */
function isNotable (before: number | undefined, after: number | undefined): boolean {
  if (before === undefined || after === undefined) return before !== after
  return Math.max(before, after) > Math.min(before, after) * ANNOUNCED_CHANGE_FACTOR
}

/** Creates an issuer that knows of no limit. `announce` is called when other instances should learn of a limit. */
export function createPermitIssuer (announce: (backendProcess: string, known: KnownLimit) => void): PermitIssuer {
  const backends = new Map<string, BackendPermits>()

  function permitsOf (backendProcess: string): BackendPermits {
    const permits = backends.get(backendProcess) ?? { known: noKnownLimit, cold: undefined, rate: undefined, announced: undefined, issuedUntil: -Infinity, remainderIssuedUntil: new Map(), demand: new Map(), askers: new Map(), askedAgainUntil: -Infinity, deniedSinceGrant: 0 }
    backends.delete(backendProcess)
    backends.set(backendProcess, permits)
    const oldest = backends.size > MAX_BACKEND_PROCESSES ? backends.keys().next().value : undefined
    if (oldest !== undefined) backends.delete(oldest)
    return permits
  }

  function learn (backendProcess: string, known: KnownLimit, now: number): void {
    const permits = permitsOf(backendProcess)
    if (known.seenAt <= permits.known.seenAt) return
    permits.known = known
    updateRate(permits, now)
    if (!isNotable(permits.announced, known.requestsPerSecond)) return
    permits.announced = known.requestsPerSecond
    announce(backendProcess, known)
  }

  /** Takes over the limit in force. Permits that were issued take as long as they would have under the new one. */
  function updateRate (permits: BackendPermits, now: number): void {
    if (permits.cold !== undefined && !isInForce(permits.cold, now)) permits.cold = undefined
    const before = permits.rate
    permits.rate = smallerLimit(permits.known.requestsPerSecond, permits.cold)
    if (before !== undefined && permits.rate !== undefined && before !== permits.rate) permits.issuedUntil = now + (permits.issuedUntil - now) * intervalOf(permits.rate) / intervalOf(before)
  }

  /** Keeps the latest end of a cold period: instances learn of it at different times. */
  function learnCold (permits: BackendPermits, cold: ColdLimit | undefined, now: number): void {
    if (cold === undefined || !isInForce(cold, now) || !(cold.until <= now + MAX_COLD_MS)) return
    permits.cold = { requestsPerSecond: cold.requestsPerSecond, until: Math.max(cold.until, permits.cold?.until ?? 0) }
  }

  function recordDemand (permits: BackendPermits, demand: readonly PriorityDemand[], now: number): void {
    for (const { priority, requests } of demand) {
      permits.demand.set(priority, { perSecond: averageDemand(permits.demand.get(priority), now) + requests * 1000 / DEMAND_AVERAGE_MS, at: now })
    }
  }

  /** Time in which all instances that send there are denied once, milliseconds. */
  function askInterval (permits: BackendPermits, requestsPerSecond: number): number {
    return permits.askers.size * denialInterval(requestsPerSecond)
  }

  /**
   * Returns when an instance that is denied may ask again. Instances get these times one after the other: after a limit has
   * fallen all of them are denied within a second, and permits lie idle when all of them wait for the same time.
   */
  function nextAskAt (permits: BackendPermits, requestsPerSecond: number, now: number): number {
    const next = Math.max(permits.askedAgainUntil, now) + denialInterval(requestsPerSecond)
    permits.askedAgainUntil = Math.min(next, now + askInterval(permits, requestsPerSecond))
    return permits.askedAgainUntil
  }

  function recordAsker (permits: BackendPermits, instanceId: string, requestsPerSecond: number, now: number): void {
    permits.askers.set(instanceId, now)
    const expiry = Math.max(MIN_ASKER_EXPIRY_MS, 2 * askInterval(permits, requestsPerSecond))
    for (const [asker, at] of permits.askers) if (at < now - expiry) permits.askers.delete(asker)
  }

  /** Permits a second that requests more urgent than `priority` leave. */
  function remainderFor (permits: BackendPermits, priority: number, requestsPerSecond: number, now: number): number {
    const averages = [...permits.demand].map(([other, demand]) => ({ other, perSecond: averageDemand(demand, now) }))
    const sum = (belongs: (other: number) => boolean): number => averages.reduce((total, { other, perSecond }) => belongs(other) ? total + perSecond : total, 0)
    const total = sum(() => true)
    if (total === 0) return requestsPerSecond
    const fairShare = requestsPerSecond * sum((other) => other === priority) / total
    return Math.max(requestsPerSecond - sum((other) => other < priority), MIN_FAIR_SHARE * fairShare)
  }

  function ask (request: PermitRequest, power: IssuingPower, now: number): PermitReply {
    learn(request.backendProcess, request.known, now)
    const permits = permitsOf(request.backendProcess)
    learnCold(permits, request.cold, now)
    updateRate(permits, now)
    const { known, rate } = permits
    if (rate === undefined) return { kind: 'unlimited', known }
    const told = permits.cold === undefined ? { known } : { known, coldUntil: permits.cold.until }
    recordDemand(permits, request.demand, now)
    const requestsPerSecond = Math.max(MIN_REQUESTS_PER_SECOND, rate) * power.fraction
    recordAsker(permits, request.instanceId, requestsPerSecond, now)
    const share = requestsPerSecond / permits.askers.size

    function deny (freeAt: number): PermitReply {
      permits.deniedSinceGrant++
      const askAgainAt = Math.max(freeAt, nextAskAt(permits, requestsPerSecond, now))
      const retryAt = Math.min(now + MAX_RETRY_MS, freeAt + permits.deniedSinceGrant * 1000 / requestsPerSecond)
      return { kind: 'denied', ...told, askAgainAt, retryAt, share }
    }

    const interval = 1000 / requestsPerSecond
    const issuedUntil = Math.max(permits.issuedUntil, now)
    const freeAt = issuedUntil - (power.burst - 1) * interval
    if (freeAt > now) return deny(freeAt)
    const remainder = remainderFor(permits, request.priority, requestsPerSecond, now)
    const remainderFreeAt = permits.remainderIssuedUntil.get(request.priority) ?? -Infinity
    if (remainder < requestsPerSecond && remainderFreeAt > now) return deny(Math.min(remainderFreeAt, now + MAX_RETRY_MS))
    permits.issuedUntil = issuedUntil + interval
    permits.remainderIssuedUntil.set(request.priority, Math.max(now, remainderFreeAt) + 1000 / Math.max(remainder, MIN_FAIR_SHARE * MIN_REQUESTS_PER_SECOND))
    permits.deniedSinceGrant = 0
    return { kind: 'granted', ...told }
  }

  return { ask, learn }
}

/** Time between two denied requests for permits, milliseconds. */
function denialInterval (requestsPerSecond: number): number {
  return 1000 / Math.max(MIN_DENIALS_PER_SECOND, DENIALS_PER_PERMIT * requestsPerSecond)
}

function intervalOf (requestsPerSecond: number): number {
  return 1000 / Math.max(MIN_REQUESTS_PER_SECOND, requestsPerSecond)
}
