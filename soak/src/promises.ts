/** Kinds of requests that the soak's callers send. */
export type RequestKind = 'once' | 'repeatable' | 'stream'

/** One attempt of a caller. */
export interface CallerRecord {
  readonly attempt: string
  readonly kind: RequestKind
  readonly sentAt: number
  readonly gateway: number
  /** Lifetime of the process that it was sent to. */
  readonly lifetime: number
  readonly configurationPath: number | undefined
  answeredAt: number
  /** 0 when the connection broke off before the head of an answer. */
  status: number
  body: string
  complete: boolean
}

/** One run at a backend server. */
export interface BackendRun {
  readonly attempt: string
  readonly at: number
  readonly backend: number
}

/** All that a soak saw from outside. */
export interface Observations {
  readonly callers: readonly CallerRecord[]
  readonly runs: readonly BackendRun[]
  readonly prepaidTokens: number
  /** Tokens of a prompt, and of one event. */
  readonly promptTokens: number
  readonly tokensPerEvent: number
  readonly eventsOfStream: number
  /** Requests to these processes may not be cut between the two times: a planned stop. */
  readonly plannedStops: readonly { readonly gateway: number, readonly lifetime: number, readonly from: number }[]
  /** Times in which something was harmed; where a process or a backend server's link was, answers may break off. */
  readonly harmed: readonly { readonly from: number, readonly to: number, readonly cutsAnswers: boolean }[]
}

/** A promise that did not hold. */
export interface BrokenPromise {
  readonly promise: 'budget' | 'once' | 'refusal' | 'whole' | 'plannedStop' | 'configuration' | 'recovery'
  readonly detail: string
}

/** Statuses that promise that a request was not run and never will be. */
const NOT_RUN: ReadonlySet<number> = new Set([408, 421, 429, 503])
/** Share of requests that must succeed after the faults. */
const RECOVERED_SHARE = 0.25
/** Time for recovery after the last fault, milliseconds. */
const RECOVERY_TIME = 2000

/** Body of a whole answer. */
export function wholeBody (kind: RequestKind, attempt: string, events: number): string {
  if (kind !== 'stream') return `answer to ${attempt}`
  return Array.from({ length: events }, (_, index) => `id: ${index + 1}\ndata: ${attempt} token ${index + 1}\n\n`).join('')
}

function * checkBudget (seen: Observations): Generator<BrokenPromise> {
  const ran = new Set(seen.runs.map((run) => run.attempt))
  const events = (record: CallerRecord): number => record.body.split('\n\n').length - 1
  const streams = seen.callers.filter((record) => record.kind === 'stream' && ran.has(record.attempt))
  const spent = streams.reduce((sum, record) => sum + seen.promptTokens + events(record) * seen.tokensPerEvent, 0)
  if (spent > seen.prepaidTokens) yield { promise: 'budget', detail: `${spent} tokens of ${seen.prepaidTokens} prepaid` }
}

function * checkRuns (seen: Observations): Generator<BrokenPromise> {
  const runs = new Map<string, number>()
  for (const run of seen.runs) runs.set(run.attempt, (runs.get(run.attempt) ?? 0) + 1)
  for (const record of seen.callers) {
    const count = runs.get(record.attempt) ?? 0
    if (record.kind === 'once' && count > 1) yield { promise: 'once', detail: `${record.attempt} ran ${count} times` }
    if (record.kind === 'once' && NOT_RUN.has(record.status) && count > 0) yield { promise: 'refusal', detail: `${record.attempt} ran and was answered ${record.status}` }
  }
}

function * checkAnswers (seen: Observations): Generator<BrokenPromise> {
  for (const record of seen.callers) {
    if (record.status !== 200 || !record.complete) continue
    if (record.body !== wholeBody(record.kind, record.attempt, seen.eventsOfStream)) yield { promise: 'whole', detail: `${record.attempt} got ${JSON.stringify(record.body.slice(0, 120))}` }
  }
}

function * checkPlannedStops (seen: Observations): Generator<BrokenPromise> {
  for (const stop of seen.plannedStops) {
    for (const record of seen.callers) {
      if (record.gateway !== stop.gateway || record.lifetime !== stop.lifetime) continue
      const isCut = record.status === 200 && !record.complete
      const isAround = record.sentAt <= stop.from && record.answeredAt >= stop.from
      const isExcused = seen.harmed.some(({ from, to, cutsAnswers }) => cutsAnswers && from <= record.answeredAt && to >= record.sentAt)
      if (isCut && isAround && !isExcused) yield { promise: 'plannedStop', detail: `${record.attempt} was cut at a planned stop` }
    }
  }
}

function * checkConfiguration (seen: Observations): Generator<BrokenPromise> {
  const newest = new Map<string, { version: number, at: number }>()
  const ordered = seen.callers.filter((record) => record.configurationPath !== undefined).sort((left, right) => left.sentAt - right.sentAt)
  for (const record of ordered) {
    const process = `${record.gateway}/${record.lifetime}`
    const version = record.configurationPath ?? 0
    const known = newest.get(process)
    if (record.status === 404 && known !== undefined && known.version >= version && known.at < record.sentAt) yield { promise: 'configuration', detail: `${record.attempt}: process ${process} forgot the route of version ${version}` }
    if (record.status === 200 && (known === undefined || version > known.version)) newest.set(process, { version, at: record.answeredAt })
  }
}

function * checkRecovery (seen: Observations): Generator<BrokenPromise> {
  const lastFault = Math.max(0, ...seen.harmed.map(({ to }) => to))
  const after = seen.callers.filter((record) => record.kind !== 'stream' && record.sentAt > lastFault + RECOVERY_TIME)
  const served = after.filter((record) => record.status === 200)
  if (after.length >= 20 && served.length < after.length * RECOVERED_SHARE) yield { promise: 'recovery', detail: `${served.length} of ${after.length} requests served after the faults` }
}

/** Checks all promises against what callers and backend servers saw. */
export function * checkPromises (seen: Observations): Generator<BrokenPromise> {
  yield * checkBudget(seen)
  yield * checkRuns(seen)
  yield * checkAnswers(seen)
  yield * checkPlannedStops(seen)
  yield * checkConfiguration(seen)
  yield * checkRecovery(seen)
}
