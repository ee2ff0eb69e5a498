import type { Fall } from '@quinceshunt/platform-adapter/fixtures'
import { checkFloods, type PlayedFlood } from './checkFloods.js'
import { stalledMilliseconds, type EventLoopStall } from './eventLoopStalls.js'
import { LONG_ANSWER_BYTES } from './flood.js'
import type { ProcessObservation } from './watchGateways.js'

/** Kinds of requests that callers send: at most once, idempotent, idempotent with a long answer, or a resumable stream. */
export type RequestKind = 'once' | 'repeatable' | 'long' | 'stream'

/** A caller's record of one attempt; times are Unix milliseconds. */
export interface CallerRecord {
  readonly attempt: string
  readonly kind: RequestKind
  readonly sentAt: number
  readonly gateway: number
  /** The earlier attempt whose stream it takes up, and the last event that the caller has got of it. */
  readonly resumes?: { readonly attempt: string, readonly after: number }
  /** Number of restarts of the gateway before the attempt was sent. */
  readonly generation: number
  /** Configuration version whose route `/vN/` was requested. */
  readonly routeVersion: number | undefined
  /** Time at which the caller is to close its connection, whatever it has received; undefined for callers that wait. */
  readonly leavesAt: number | undefined
  /** Time at which it did so; undefined for callers that wait or had their whole response before. */
  leftAt: number | undefined
  answeredAt: number
  /** True when the response carried the request limit of its backend server. */
  namesLimit: boolean
  /** 0 when the connection failed before the response headers. */
  status: number
  body: string
  complete: boolean
}

/** One execution of a request at a backend server. */
export interface BackendRun {
  readonly attempt: string
  readonly at: number
  readonly backend: number
}

/** Everything that callers, backend servers and the fault injector recorded. */
export interface Observations {
  readonly callers: readonly CallerRecord[]
  readonly runs: readonly BackendRun[]
  readonly prepaidTokens: number
  readonly promptTokens: number
  readonly tokensPerEvent: number
  readonly eventsPerStream: number
  /** Graceful stops, which must not interrupt requests in progress. */
  readonly plannedStops: readonly { readonly gateway: number, readonly generation: number, readonly from: number }[]
  /** Periods of injected faults; faults of a gateway process or a backend server's link may interrupt responses. */
  readonly faultWindows: readonly FaultWindow[]
  readonly namedLimits: readonly NamedLimitPeriod[]
  /** Periods in which a gateway was cut off from all backend servers. */
  readonly partitions: readonly Partition[]
  /** Falls of brittle backend servers. */
  readonly falls: readonly Fall[]
  /** Backend servers that serve the requests that are not streams. */
  readonly plainBackends: readonly number[]
  /** Periods in which a gateway process, or the link to a backend server, was disrupted. */
  readonly disruptions: readonly Disruption[]
  /** Time after which a request ends by its caller's own deadline. */
  readonly callerDeadlineMilliseconds: number
  /** Stalls of the process that holds the callers, the links and the backend servers. */
  readonly stalls: readonly EventLoopStall[]
  readonly processes: readonly ProcessObservation[]
  readonly floods: readonly PlayedFlood[]
}

/** Period in which a backend server names a request limit. */
export interface NamedLimitPeriod {
  readonly backend: number
  readonly requestsPerSecond: number
  readonly from: number
  readonly to: number
}

/** Disruption of one gateway process or of the link to one backend server. */
export interface Disruption {
  readonly place: 'gateway' | 'backend'
  readonly index: number
  readonly from: number
  readonly to: number
}

/** Period in which a gateway was cut off from all backend servers. */
export interface Partition {
  readonly gateway: number
  readonly from: number
  readonly to: number
}

/** Period of an injected fault and its aftermath. */
export interface FaultWindow {
  readonly from: number
  readonly to: number
  readonly interruptsResponses: boolean
  /** True for faults of the link to a backend server, which may hold a request back. */
  readonly delaysRequests: boolean
}

/** A guarantee that did not hold. */
export interface GuaranteeViolation {
  /** Name of the guarantee. */
  readonly promise: 'budget' | 'once' | 'refusal' | 'whole' | 'plannedStop' | 'interrupted' | 'configuration' | 'recovery' | 'departure' | 'limit' | 'versions' | 'order' | 'partition' | 'brittle' | 'memory' | 'exit' | 'unanswered' | 'served'
  readonly detail: string
}

/** Statuses that guarantee that a request has not run and never will. */
const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503])
/** Share of requests that must succeed once the fleet has recovered. */
const MIN_RECOVERED_SHARE = 0.25
/** Time allowed for recovery after the last fault. */
const RECOVERY_TIME_MS = 2000

/** A backend server must not start work for a caller that left this long before. */
const MAX_START_AFTER_DEPARTURE_MS = 500

/** A request that ends by its caller's deadline is not taken for interrupted when no more than this share of the deadline was free of stalls. */
const MAX_UNSTALLED_SHARE = 0.5

/** From this long after a limit is first named, or a disruption has ended, the limit holds. */
const CONTACT_MS = 3000
/** An instance is bound by a limit from this long after it has passed on a response that names it. */
const LIMIT_NOTICE_MS = 500
const LIMIT_WINDOW_MS = 4000
/** First tries at cut-off gateways must be served this often against those at the others, unless few fail. */
const MIN_SHARE_OF_OTHERS = 2 / 3
const FAILURES_ALLOWED = { count: 10, share: 1 / 50 } as const
const MAX_FALLS = { count: 2, share: 1 / 10 } as const

/** Streams that may hold events of two software versions. */
const MAX_MIXED_STREAMS = 2

/** Expected body of a complete response; a stream that is taken up begins after the event `after`. */
export function completeBody (kind: RequestKind, attempt: string, events: number, after = 0): string {
  if (kind === 'long') return `answer to ${attempt} `.padEnd(LONG_ANSWER_BYTES, 'x')
  if (kind !== 'stream') return `answer to ${attempt}`
  return Array.from({ length: events - after }, (_, index) => `id: ${after + index + 1}\ndata: ${attempt} token ${after + index + 1}\n\n`).join('')
}

const EVENT_VERSION_PATTERN = / from (\S+)$/gm

/** Software versions named by the events of a body. */
export function versionsOf (body: string): readonly string[] {
  return [...body.matchAll(EVENT_VERSION_PATTERN)].map(([, version]) => version ?? '')
}

const EVENT_PATTERN = /^id: (\d+)\ndata: .*\n\n/gm

/** IDs of the whole events of a body. */
export function eventIdsOf (body: string): readonly number[] {
  return [...body.matchAll(EVENT_PATTERN)].map(([, id]) => Number(id))
}

function * checkBudget (observations: Observations): Generator<GuaranteeViolation> {
  const ran = new Set(observations.runs.map((run) => run.attempt))
  const countEvents = (record: CallerRecord): number => record.body.split('\n\n').length - 1
  const streams = observations.callers.filter((record) => record.kind === 'stream' && ran.has(record.attempt))
  const spent = streams.reduce((sum, record) => sum + observations.promptTokens + countEvents(record) * observations.tokensPerEvent, 0)
  if (spent > observations.prepaidTokens) yield { promise: 'budget', detail: `${spent} tokens of ${observations.prepaidTokens} prepaid` }
}

function * checkRuns (observations: Observations): Generator<GuaranteeViolation> {
  const runCounts = new Map<string, number>()
  for (const run of observations.runs) runCounts.set(run.attempt, (runCounts.get(run.attempt) ?? 0) + 1)
  for (const record of observations.callers) {
    const runCount = runCounts.get(record.attempt) ?? 0
    if (record.kind === 'once' && runCount > 1) yield { promise: 'once', detail: `${record.attempt} ran ${runCount} times` }
    if (record.kind === 'once' && NOT_RUN_STATUSES.has(record.status) && runCount > 0) yield { promise: 'refusal', detail: `${record.attempt} ran although its response was ${record.status}` }
  }
}

function * checkResponses (observations: Observations): Generator<GuaranteeViolation> {
  for (const record of observations.callers) {
    if (record.status !== 200 || !record.complete) continue
    if (record.body.replace(EVENT_VERSION_PATTERN, '') !== completeBody(record.kind, record.attempt, observations.eventsPerStream, record.resumes?.after)) yield { promise: 'whole', detail: `${record.attempt} got ${JSON.stringify(record.body.slice(0, 120))}` }
  }
}

function * checkPlannedStops (observations: Observations): Generator<GuaranteeViolation> {
  for (const stop of observations.plannedStops) {
    for (const record of observations.callers) {
      if (record.gateway !== stop.gateway || record.generation !== stop.generation) continue
      const spansStop = record.sentAt <= stop.from && record.answeredAt >= stop.from
      if (spansStop && isInterruptedWithoutCause(observations, record)) yield { promise: 'plannedStop', detail: `${record.attempt} was interrupted by a planned stop` }
    }
  }
}

function * checkInterruptions (observations: Observations): Generator<GuaranteeViolation> {
  for (const record of observations.callers) {
    if (isInterruptedWithoutCause(observations, record)) yield { promise: 'interrupted', detail: `${record.attempt} was interrupted after ${record.answeredAt - record.sentAt} ms` }
  }
}

function isInterruptedWithoutCause (observations: Observations, record: CallerRecord): boolean {
  if (record.status !== 200 || record.complete || record.leftAt !== undefined) return false
  const isExcused = observations.faultWindows.some(({ from, to, interruptsResponses }) => interruptsResponses && from <= record.answeredAt && to >= record.sentAt)
  return !isExcused && !isCutByStalls(observations, record)
}

/** Whether a request ended by its caller's deadline, most of which passed while the backend servers and callers were stalled. */
function isCutByStalls ({ callerDeadlineMilliseconds, stalls }: Observations, { sentAt, answeredAt }: CallerRecord): boolean {
  const milliseconds = answeredAt - sentAt
  return milliseconds >= callerDeadlineMilliseconds && milliseconds - stalledMilliseconds(stalls, sentAt, answeredAt) < callerDeadlineMilliseconds * MAX_UNSTALLED_SHARE
}

function * checkConfiguration (observations: Observations): Generator<GuaranteeViolation> {
  const newestServed = new Map<string, { version: number, at: number }>()
  const ordered = observations.callers.filter((record) => record.routeVersion !== undefined).sort((left, right) => left.sentAt - right.sentAt)
  for (const record of ordered) {
    const process = `${record.gateway}/${record.generation}`
    const version = record.routeVersion ?? 0
    const known = newestServed.get(process)
    if (record.status === 404 && known !== undefined && known.version >= version && known.at < record.sentAt) yield { promise: 'configuration', detail: `${record.attempt}: process ${process} no longer serves the route of version ${version}` }
    if (record.status === 200 && (known === undefined || version > known.version)) newestServed.set(process, { version, at: record.answeredAt })
  }
}

/** A request may have reached its backend server, unread, when the stall began, so that the time of stalls shows nothing. */
function * checkDepartures (observations: Observations): Generator<GuaranteeViolation> {
  const departures = new Map(observations.callers.flatMap((record) => record.leftAt === undefined ? [] : [[record.attempt, record.leftAt]]))
  for (const run of observations.runs) {
    const leftAt = departures.get(run.attempt)
    if (leftAt === undefined) continue
    const milliseconds = run.at - leftAt - stalledMilliseconds(observations.stalls, leftAt, run.at)
    if (milliseconds <= MAX_START_AFTER_DEPARTURE_MS) continue
    const isExcused = observations.faultWindows.some(({ from, to, delaysRequests }) => delaysRequests && from <= run.at && to >= leftAt)
    if (!isExcused) yield { promise: 'departure', detail: `${run.attempt} started ${milliseconds} ms after its caller had left` }
  }
}

/** True when a gateway, or the link to a backend server, was disrupted in the time before. */
function isDisrupted ({ disruptions }: Observations, place: Disruption['place'], index: number, at: number): boolean {
  return disruptions.some((disruption) => disruption.place === place && disruption.index === index && disruption.from <= at && at <= disruption.to + CONTACT_MS)
}

function * checkNamedLimits (observations: Observations): Generator<GuaranteeViolation> {
  const callers = new Map(observations.callers.map((record) => [record.attempt, record]))
  for (const { backend, requestsPerSecond, from, to } of observations.namedLimits) {
    const runs = observations.runs.filter((run) => run.backend === backend && run.at >= from && run.at <= to)
    const toldAt = new Map<number, number>()
    for (const run of runs) {
      const record = callers.get(run.attempt)
      if (record?.namesLimit === true) toldAt.set(record.gateway, Math.min(toldAt.get(record.gateway) ?? Infinity, record.answeredAt))
    }
    const counted = runs.map((run) => ({ at: run.at, gateway: callers.get(run.attempt)?.gateway ?? -1 }))
      .filter(({ at, gateway }) => at >= from + CONTACT_MS && at > (toldAt.get(gateway) ?? Infinity) + LIMIT_NOTICE_MS)
      .filter(({ at, gateway }) => !isDisrupted(observations, 'gateway', gateway, at) && !isDisrupted(observations, 'backend', backend, at))
      .map(({ at }) => at)
    const most = Math.max(0, ...counted.map((start) => counted.filter((at) => at >= start && at < start + LIMIT_WINDOW_MS).length))
    const allowed = Math.floor(requestsPerSecond * LIMIT_WINDOW_MS / 1000 * 1.5 + 5)
    if (most > allowed) yield { promise: 'limit', detail: `backend server ${backend}, which names ${requestsPerSecond} requests a second, got ${most} in ${LIMIT_WINDOW_MS} ms, allowed ${allowed}` }
  }
}

/** Most plain requests that may run in a period in which each of their backend servers names a limit; without bound otherwise. */
function requestsAllowedByLimits ({ namedLimits, plainBackends }: Observations, from: number, to: number): number {
  const allowed = plainBackends.map((backend) => {
    const limits = namedLimits.filter((limit) => limit.backend === backend && limit.from <= from && limit.to >= to)
    return Math.min(Infinity, ...limits.map(({ requestsPerSecond }) => requestsPerSecond * (to - from) / 1000))
  })
  return allowed.reduce((sum, requests) => sum + requests, 0)
}

function * checkPartitions (observations: Observations): Generator<GuaranteeViolation> {
  const { callers, partitions } = observations
  if (partitions.length === 0) return
  const inTouch = callers.filter(({ gateway, sentAt, resumes, leavesAt }) => resumes === undefined && leavesAt === undefined && !isDisrupted(observations, 'gateway', gateway, sentAt))
  const isServed = ({ status, complete }: CallerRecord): boolean => status === 200 && complete
  const cutAt = (at: number): readonly Partition[] => partitions.filter(({ from, to }) => from + CONTACT_MS < at && at < to)
  const counted = inTouch.filter(({ sentAt }) => cutAt(sentAt).length > 0)
  const isUncut = (gateway: number, at: number): boolean => !partitions.some(({ gateway: cut, from, to }) => cut === gateway && from <= at && at <= to + CONTACT_MS)
  const gateways = [...new Set(callers.map(({ gateway }) => gateway))]
  // Both shares are of the same times: while the only other gateway is killed, no gateway reaches a backend server.
  const hasOthers = (at: number): boolean => gateways.some((gateway) => isUncut(gateway, at) && !isDisrupted(observations, 'gateway', gateway, at))
  const own = counted.filter(({ gateway, sentAt }) => cutAt(sentAt).some((partition) => partition.gateway === gateway) && hasOthers(sentAt))
  const others = counted.filter(({ gateway, sentAt }) => isUncut(gateway, sentAt))
  const failed = own.filter((record) => !isServed(record)).length
  if (others.length === 0 || failed <= FAILURES_ALLOWED.count + own.length * FAILURES_ALLOWED.share) return
  const share = (records: readonly CallerRecord[]): number => records.filter(isServed).length / records.length
  if (share(own) < share(others) * MIN_SHARE_OF_OTHERS) yield { promise: 'partition', detail: `cut-off gateways served ${own.length - failed} of ${own.length} first tries, the others ${others.filter(isServed).length} of ${others.length}` }
}

/** A fall counts if most of the requests that were turned away came from gateways that were not disrupted. */
function * checkFalls (observations: Observations): Generator<GuaranteeViolation> {
  const gateways = new Map(observations.callers.map(({ attempt, gateway }) => [attempt, gateway]))
  const isInTouch = (attempt: string, at: number): boolean => !isDisrupted(observations, 'gateway', gateways.get(attempt) ?? -1, at)
  const counted = observations.falls.filter(({ at, rejected }) => rejected.filter((attempt) => isInTouch(attempt, at)).length > rejected.length / 2)
  const allowed = MAX_FALLS.count + observations.plainBackends.length * MAX_FALLS.share
  if (counted.length > allowed) yield { promise: 'brittle', detail: `${counted.length} falls of ${observations.plainBackends.length} brittle backend servers, allowed ${allowed}` }
}

function * checkVersions ({ callers }: Observations): Generator<GuaranteeViolation> {
  const versionsByStream = new Map<string, Set<string>>()
  for (const { attempt, resumes, body, status } of callers) {
    if (status !== 200) continue
    const stream = resumes?.attempt ?? attempt
    const versions = versionsByStream.get(stream) ?? new Set()
    for (const version of versionsOf(body)) versions.add(version)
    versionsByStream.set(stream, versions)
  }
  const mixed = [...versionsByStream].filter(([, versions]) => versions.size > 1)
  if (mixed.length > MAX_MIXED_STREAMS) yield { promise: 'versions', detail: mixed.map(([stream, versions]) => `${stream}: ${[...versions].join(' and ')}`).join(', ') }
}

/** The events of a stream over all tries of its caller come in order, each once, and none is missing when it ends as complete. */
function * checkOrder ({ callers, eventsPerStream }: Observations): Generator<GuaranteeViolation> {
  for (const { attempt, kind, resumes, body, status, complete } of callers) {
    if (kind !== 'stream' || status !== 200) continue
    const after = resumes?.after ?? 0
    const ids = eventIdsOf(body)
    const isInOrder = ids.every((id, index) => id === after + index + 1) && ids.length <= eventsPerStream - after
    if (!isInOrder || (complete && ids.length < eventsPerStream - after)) yield { promise: 'order', detail: `${attempt} got ${complete ? 'as complete' : 'in part'}, after ${after}: ${ids.join(' ')}` }
  }
}

function * checkRecovery (observations: Observations): Generator<GuaranteeViolation> {
  const lastFault = Math.max(0, ...observations.faultWindows.map(({ to }) => to))
  const sentAfterRecovery = observations.callers.filter((record) => record.kind !== 'stream' && record.sentAt > lastFault + RECOVERY_TIME_MS)
  const served = sentAfterRecovery.filter((record) => record.status === 200)
  const servable = Math.min(sentAfterRecovery.length, requestsAllowedByLimits(observations, lastFault + RECOVERY_TIME_MS, Math.max(0, ...sentAfterRecovery.map(({ sentAt }) => sentAt))))
  if (sentAfterRecovery.length >= 20 && served.length < servable * MIN_RECOVERED_SHARE) yield { promise: 'recovery', detail: `${served.length} of ${sentAfterRecovery.length} requests served after the faults` }
}

/** Checks all guarantees against the observations. */
export function * checkGuarantees (observations: Observations): Generator<GuaranteeViolation> {
  yield * checkBudget(observations)
  yield * checkRuns(observations)
  yield * checkResponses(observations)
  yield * checkPlannedStops(observations)
  yield * checkInterruptions(observations)
  yield * checkConfiguration(observations)
  yield * checkRecovery(observations)
  yield * checkDepartures(observations)
  yield * checkNamedLimits(observations)
  yield * checkVersions(observations)
  yield * checkOrder(observations)
  yield * checkPartitions(observations)
  yield * checkFalls(observations)
  yield * checkFloods(observations)
}
