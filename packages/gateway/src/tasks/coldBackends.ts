import { assertNever } from '@quinceshunt/effects'
import { steadyNow } from '../clock.js'
import { backendProcessOf, type BackendState } from '../decisions/backendState.js'
import { coldLimitOf, type ColdLimit } from '../decisions/coldLimit.js'
import type { BackendServerEntry, FleetConfiguration, NamedCold, Service } from '../fleetConfiguration.js'
import type { DecisionLog } from './decisionLog.js'

const REVIEW_INTERVAL_MS = 250
/** Invalid values that are remembered so that each is logged once; the oldest are forgotten first. */
const MAX_REMEMBERED_VALUES = 1000
const MAX_LOGGED_VALUE_LENGTH = 100

/** Which backend servers are cold, from their entries and responses. */
export interface ColdBackends {
  /** The limit in force while a backend server is cold, with its end by `steadyNow`; undefined for one that has none. */
  limitOf (backend: BackendState, now: number): ColdLimit | undefined
  /** Takes over what an entry says. */
  noteListed (entry: BackendServerEntry, previous: BackendServerEntry | undefined): void
  /** Takes over what a response of the process says; those of another process are ignored. */
  noteResponse (backend: BackendState, backendProcess: string, cold: NamedCold): void
  /** Takes over the end of a cold period, by `steadyNow`, that another instance knows. */
  learnUntil (backend: BackendState, until: number): void
  /** Logs values that can't be used. */
  noteConfiguration (configuration: FleetConfiguration): void
  notePermit (backend: BackendState, isGranted: boolean): void
  stop (): void
}

/** Dependencies of the task. */
export interface ColdBackendsOptions {
  readonly log: DecisionLog
  readonly findBackend: (id: string) => BackendState | undefined
  readonly listedBackends: () => readonly BackendState[] | undefined
  readonly findService: (name: string) => Service | undefined
}

/** True for an entry that was not written anew: its remaining time counts from when it was written. */
function isReadAgain (entry: BackendServerEntry, previous: BackendServerEntry | undefined): boolean {
  if (previous === undefined || entry.sequence === undefined || entry.sequence !== previous.sequence || entry.startedAt !== previous.startedAt) return false
  return entry.cold?.kind === 'named' && previous.cold?.kind === 'named' && entry.cold.milliseconds === previous.cold.milliseconds
}

/** Starts to follow which backend servers are cold. */
export function startColdBackends (options: ColdBackendsOptions): ColdBackends {
  const { log } = options
  const invalidValues = new Set<string>()
  /** True when a service of the configuration limits its cold backend servers. */
  let hasLimitedService = false
  /** Processes that are reported as cold, with their permits since. */
  const reported = new Map<string, { readonly backend: BackendState, granted: number, denied: number }>()

  function limitOf (backend: BackendState, now: number): ColdLimit | undefined {
    return coldLimitOf(backend, options.findService(backend.entry.service)?.cold, now)
  }

  function reportInvalid (source: string, value: string): void {
    const shown = value.slice(0, MAX_LOGGED_VALUE_LENGTH)
    const id = `${source}\n${shown}`
    if (invalidValues.has(id)) return
    invalidValues.add(id)
    const oldest = invalidValues.values().next().value
    if (invalidValues.size > MAX_REMEMBERED_VALUES && oldest !== undefined) invalidValues.delete(oldest)
    log.warning('coldPeriodInvalid', { source, value: shown })
  }

  function note (backend: BackendState, cold: NamedCold | undefined, source: string): void {
    switch (cold?.kind) {
      case undefined:
      case 'none': return
      case 'unreadable': return reportInvalid(source, cold.value)
      case 'named':
        if (cold.milliseconds === 0) return
        backend.coldUntil = Math.max(backend.coldUntil, steadyNow() + cold.milliseconds)
        return report(backend)
      default: assertNever(cold)
    }
  }

  function report (backend: BackendState): void {
    const limit = limitOf(backend, steadyNow())
    if (limit === undefined) return
    const backendProcess = backendProcessOf(backend.entry)
    if (reported.has(backendProcess)) return
    reported.set(backendProcess, { backend, granted: 0, denied: 0 })
    scheduleReview()
    log.event('backendCold', { backend: backend.entry.id, service: backend.entry.service, until: limit.until, requestsPerSecond: limit.requestsPerSecond })
  }

  function review (): void {
    const now = steadyNow()
    for (const [backendProcess, { backend, granted, denied }] of reported) {
      const isSameProcess = backendProcessOf(backend.entry) === backendProcess && options.findBackend(backend.entry.id) === backend
      if (isSameProcess && limitOf(backend, now) !== undefined) continue
      reported.delete(backendProcess)
      log.event('backendWarm', { backend: backend.entry.id, service: backend.entry.service, granted, denied })
    }
    for (const backend of options.listedBackends() ?? []) report(backend)
  }

  let timer: NodeJS.Timeout | undefined
  let hasStopped = false

  /** Where no service limits its cold backend servers, no timer runs. */
  function scheduleReview (): void {
    if (hasStopped || (reported.size === 0 && !hasLimitedService)) return
    timer ??= setTimeout(() => {
      timer = undefined
      review()
      scheduleReview()
    }, REVIEW_INTERVAL_MS).unref()
  }

  return {
    limitOf,
    noteListed: (entry, previous) => {
      const backend = options.findBackend(entry.id)
      if (backend === undefined) return
      if (previous?.startedAt !== entry.startedAt) backend.processListedAt = steadyNow()
      if (!isReadAgain(entry, previous)) note(backend, entry.cold, `entry of ${entry.id}`)
    },
    noteResponse: (backend, backendProcess, cold) => {
      if (backendProcessOf(backend.entry) === backendProcess) note(backend, cold, `response of ${backend.entry.id}`)
    },
    learnUntil: (backend, until) => {
      backend.coldUntil = Math.max(backend.coldUntil, until)
      report(backend)
    },
    noteConfiguration: ({ services }) => {
      hasLimitedService = services.some(({ cold }) => cold?.kind === 'named' && cold.requestsPerSecond > 0)
      scheduleReview()
      for (const { name, cold } of services) if (cold?.kind === 'unreadable') reportInvalid(`service ${name}`, cold.value)
    },
    notePermit: (backend, isGranted) => {
      const counts = reported.get(backendProcessOf(backend.entry))
      if (counts === undefined) return
      if (isGranted) counts.granted++
      else counts.denied++
    },
    stop: () => {
      hasStopped = true
      clearTimeout(timer)
    }
  }
}
