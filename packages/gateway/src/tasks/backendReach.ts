import { steadyNow } from '../clock.js'
import { areAllLost, recordAcceptedConnection, recordContact, recordLoss, recordRefusal, selectProbes } from '../decisions/backendReach.js'
import type { BackendState } from '../decisions/backendState.js'
import type { Service } from '../fleetConfiguration.js'
import type { DecisionLog } from './decisionLog.js'
import { probeBackend, type ProbeOutcome } from './probeBackend.js'

const CHECK_INTERVAL_MS = 100
/** A check that comes later than this after the one before lets bytes be read first that arrived while the process was paused. */
const MAX_CHECK_DELAY_MS = 300
const PROBE_TIMEOUT_MS = 400
/** Connections to several backend servers that end within this time have a common cause. */
const COMMON_BREAK_MS = 50

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
   * A connection with a request in progress has ended. Returns true when this instance's own network explains it, so that it is no
   * evidence of a crash: connections to several backend servers have ended together.
   */
  explainsBreak (backend: BackendState): boolean
  stop (): void
}

/** Dependencies of the task. */
export interface BackendReachOptions {
  /** Backend servers that may get requests, by service. */
  readonly backendsByService: () => ReadonlyMap<string, readonly BackendState[]>
  readonly findService: (name: string) => Service | undefined
  /** False for a backend server that wants no requests now. */
  readonly mayProbe: (backend: BackendState) => boolean
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
  let lastBreak: { readonly backend: string, readonly at: number } | undefined

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

  function check (service: string, backends = options.backendsByService().get(service) ?? []): void {
    logCutOff(service, backends)
    const settings = options.findService(service)
    const now = steadyNow()
    for (const backend of selectProbes(backends, settings?.engine === undefined ? 'plain' : 'engine', now)) {
      if (!options.mayProbe(backend)) continue
      backend.lastProbeAt = now
      probe(backend.entry.address, settings?.healthPath ?? '', PROBE_TIMEOUT_MS).then((outcome) => {
        options.count(outcome.kind)
        if (outcome.kind === 'reached') {
          recordAcceptedConnection(backend)
          noteBytes(backend)
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

  function explainsBreak ({ entry: { id } }: BackendState): boolean {
    const now = steadyNow()
    const isCommon = lastBreak !== undefined && lastBreak.backend !== id && now - lastBreak.at <= COMMON_BREAK_MS
    lastBreak = { backend: id, at: now }
    return isCommon
  }

  return { noteUnreachable, noteRefused: (backend) => recordRefusal(backend, steadyNow()), noteAccepted: recordAcceptedConnection, noteBytes, explainsBreak, stop: () => clearInterval(timer) }
}
