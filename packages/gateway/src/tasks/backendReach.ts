import { steadyNow } from '../clock.js'
import { areAllLost, recordAcceptedConnection, recordContact, recordLoss, recordRefusal, selectProbes } from '../decisions/backendReach.js'
import { backendProcessOf, type BackendState } from '../decisions/backendState.js'
import type { Service } from '../fleetConfiguration.js'
import type { DecisionLog } from './decisionLog.js'
import { probeBackend, type ProbeOutcome } from './probeBackend.js'

const CHECK_INTERVAL_MS = 100
/** A check that comes later than this after the one before lets bytes be read first that arrived while the process was paused. */
const MAX_CHECK_DELAY_MS = 300
const PROBE_TIMEOUT_MS = 400
/** Connections that end within this time are judged together. */
const COMMON_BREAK_MS = 30

/** Which backend servers this instance reaches, from its requests and from probes. */
export interface BackendReach {
  /** A connection to a backend server was not established. */
  noteUnreachable (backend: BackendState): void
  /** A new connection to a backend server ended before its first byte. */
  noteRefused (backend: BackendState): void
  /** A byte has come on a new connection. */
  noteAccepted (backend: BackendState): void
  /** A backend server has sent bytes. */
  noteBytes (backend: BackendState): void
  /**
   * A connection with a request in progress has ended. Tells within a moment whether this instance's own network explains it, so that
   * it is no evidence of a crash: those to several backend servers have ended together, and none that had a request in progress is left.
   */
  judgeBreak (backend: BackendState, onJudged: (isOwnNetwork: boolean) => void): void
  stop (): void
}

/** Dependencies of the task. */
export interface BackendReachOptions {
  /** Backend servers that may get requests, by service. */
  readonly backendsByService: () => ReadonlyMap<string, readonly BackendState[]>
  readonly findService: (name: string) => Service | undefined
  /** False for a backend server that wants no requests now. */
  readonly mayProbe: (backend: BackendState) => boolean
  /** True for a backend server in an evacuated failure domain, which says nothing about whether the others are reached. */
  readonly isEvacuated: (backend: BackendState) => boolean
  /** Gets a response to a probe and the process that was listed when the probe was sent. */
  readonly onProbeResponse?: (backend: BackendState, backendProcess: string, response: NonNullable<(ProbeOutcome & { kind: 'reached' })['response']>) => void
  readonly log: DecisionLog
  readonly count: (outcome: ProbeOutcome['kind']) => void
  /** Probes one backend server; replaced by tests. */
  readonly probe?: typeof probeBackend
}

/** Starts to watch whether backend servers are reached. */
export function startBackendReach (options: BackendReachOptions): BackendReach {
  const { log } = options
  const probe = options.probe ?? probeBackend
  const cutOffSince = new Map<string, number>()
  let checkedAt = steadyNow()
  /** Connections that have ended and are not judged yet. */
  let breaks: { readonly backends: Set<string>, readonly listeners: ((isOwnNetwork: boolean) => void)[] } | undefined

  function noteUnreachable (backend: BackendState): void {
    recordRefusal(backend, steadyNow())
    if (!recordLoss(backend, steadyNow())) return
    check(backend.entry.service)
  }

  function noteBytes (backend: BackendState): void {
    if (!recordContact(backend)) return
    const { id, service } = backend.entry
    log.decision('backendReached', { backend: id, service })
    check(service)
  }

  function logCutOff (service: string, backends: readonly BackendState[]): void {
    const now = steadyNow()
    const since = cutOffSince.get(service)
    const isCutOff = areAllLost(backends)
    if (isCutOff === (since !== undefined)) return
    if (isCutOff) {
      cutOffSince.set(service, now)
      log.event('serviceCutOff', { service, backends: backends.length, lastByteMilliseconds: now - Math.max(...backends.map(({ lastByteAt }) => lastByteAt)) })
    } else {
      cutOffSince.delete(service)
      log.event('serviceReached', { service, cutOffMilliseconds: now - (since ?? now) })
    }
  }

  function check (service: string, listed = options.backendsByService().get(service) ?? []): void {
    const backends = listed.filter((backend) => !options.isEvacuated(backend))
    logCutOff(service, backends)
    const settings = options.findService(service)
    const now = steadyNow()
    for (const backend of selectProbes(backends, settings?.engine === undefined ? 'plain' : 'engine', now)) {
      if (!options.mayProbe(backend)) continue
      backend.lastProbeAt = now
      const backendProcess = backendProcessOf(backend.entry)
      probe(backend.entry.address, settings?.healthPath ?? '', PROBE_TIMEOUT_MS).then((outcome) => {
        options.count(outcome.kind)
        if (outcome.kind === 'reached') {
          recordAcceptedConnection(backend)
          noteBytes(backend)
          if (outcome.response !== undefined) options.onProbeResponse?.(backend, backendProcess, outcome.response)
          return
        }
        log.decision('backendProbeFailed', { backend: backend.entry.id, service, reason: outcome.reason, silentMilliseconds: steadyNow() - backend.lastByteAt })
        // Bytes that came meanwhile show more than a probe without an answer.
        if (backend.lastByteAt < now) noteUnreachable(backend)
      }, (error: unknown) => log.warning('backendProbeBroken', { backend: backend.entry.id, reason: String(error) }))
    }
  }

  const timer = setInterval(() => {
    const now = steadyNow()
    const isLate = now - checkedAt > MAX_CHECK_DELAY_MS
    checkedAt = now
    if (isLate) return
    const services = options.backendsByService()
    for (const [service, backends] of services) check(service, backends)
    for (const service of cutOffSince.keys()) if (!services.has(service)) check(service, [])
  }, CHECK_INTERVAL_MS)

  /** True when a backend server but the given ones has a request in progress that was sent before. */
  function isAnotherInUse (except: ReadonlySet<string>, sentBefore: number): boolean {
    return [...options.backendsByService().values()].flat().some(({ entry, pending }) => !except.has(entry.id) && [...pending].some(({ sentAt }) => sentAt < sentBefore))
  }

  /** All of these connections are judged alike: a crash that only some of its requests tell of puts the blame on them. */
  function judgeBreak ({ entry: { id } }: BackendState, onJudged: (isOwnNetwork: boolean) => void): void {
    const since = steadyNow()
    if (breaks === undefined) {
      const backends = new Set([id])
      const listeners: ((isOwnNetwork: boolean) => void)[] = []
      if (!isAnotherInUse(backends, since)) return onJudged(false)
      breaks = { backends, listeners }
      setTimeout(() => {
        breaks = undefined
        const isOwnNetwork = backends.size > 1 && !isAnotherInUse(backends, since)
        for (const listener of listeners) listener(isOwnNetwork)
      }, COMMON_BREAK_MS)
    }
    breaks.backends.add(id)
    breaks.listeners.push(onJudged)
  }

  return { noteUnreachable, noteRefused: (backend) => recordRefusal(backend, steadyNow()), noteAccepted: recordAcceptedConnection, noteBytes, judgeBreak, stop: () => clearInterval(timer) }
}
