import { steadyNow } from '../clock.js'
import { createOwnStreams } from '../decisions/ownStreams.js'
import type { ConnectionOrigin } from '../decisions/processProofs.js'
import type { SharedClock } from '../decisions/sharedClock.js'
import { createStreamOrigins, mayRemember, type StartEvidence, type StreamOrigin, type StreamStart } from '../decisions/streamOrigins.js'
import type { StreamReport } from '../decisions/streamReport.js'
import { createVersionHistory, STREAM_LIFETIME_MS, type VersionedEntry } from '../decisions/versionHistory.js'
import type { DecisionLog } from './decisionLog.js'
import type { Peer } from './fleetTask.js'
import { postToPeer } from './peerMessages.js'
import { askHomes, type StreamAnswer } from './streamHomes.js'
import { createStreamTelling } from './streamTelling.js'
import type { Post } from './tokenLoans.js'

/** Time after the caller's timeout for which its stream is remembered, as clocks and the ends of attempts differ. */
const ORIGIN_MARGIN_MS = 5000
/** The other instances are told that versions differ again once this part of the time has passed for which they were told. */
const ANNOUNCE_AGAIN_AFTER = 0.25
/** An instance waits a random part of this time before it announces what another one may announce meanwhile. */
const MAX_ANNOUNCE_DELAY_MS = 200

/** A stream of which the first bytes are about to be passed on. */
export interface BegunStream {
  readonly attemptId: string
  readonly service: string
  readonly backendId: string
  readonly version: string
  readonly evidence: StartEvidence
  /** By `steadyNow`. */
  readonly callerTimeoutAt: number
}

/**
 * Knows at which software version streams began, so that they go on only there. While the backend servers of a service differ
 * in their versions, each stream is told to its homes: instances that any other one finds by hash and that outlive this one.
 */
export interface StreamVersions {
  /** Records a stream before its first event is passed on. */
  begin (stream: BegunStream): void
  /** What a peer is told of a stream that this instance serves in its place. */
  report (start: StreamStart): StreamReport
  /** Takes over what a peer reports of a stream that is passed on to the caller, and remembers it like one of this instance. */
  adopt (report: StreamReport, stream: Pick<BegunStream, 'attemptId' | 'callerTimeoutAt'>): StreamStart
  /** Finds where a stream began that a caller takes up; one that nobody knows went to `service` at its only version, if it has one. */
  find (attemptId: string, service: string): Promise<StreamStart>
  /** Turns a start into `unknown` once its backend server may have been another process than the listed one, and into a proven one once it certainly was not. */
  confirm (start: StreamStart): StreamStart
  /** Another process than the listed one began a stream of this instance. Resolves once its homes were told, or can't be. */
  refute (attemptId: string): Promise<void>
  /** A process was asked which one it is: streams that waited for the answer are told. */
  noteProcessAsked (): void
  /** True when streams of a service may have begun at several versions. */
  isMixed (service: string): boolean
  /** False when the list of backend servers may lack what others know. */
  isListCurrent (): boolean
  /** A backend server was listed; `previous` is its entry before. */
  noteListed (entry: VersionedEntry, previous: VersionedEntry | undefined): void
  noteRemoved (entry: VersionedEntry): void
  /** Takes over that streams may have begun at several versions of a service until a time on the shared clock. */
  learnMixed (service: string, until: number): void
  /** An instance has registered or left. */
  noteInstancesChanged (): void
  /** Remembers streams that another instance serves. */
  receive (origins: readonly StreamOrigin[]): void
  /** Where a stream began, if this instance knows. */
  originOf (attemptId: string): StreamOrigin | undefined
  /** Answers another instance that asks for a stream of a service. */
  answer (attemptId: string, service: string): StreamAnswer
  /** Streams of this instance that are remembered. */
  readonly size: number
}

/** Dependencies of the task. */
export interface StreamVersionsOptions {
  readonly instanceId: string
  readonly clock: SharedClock
  readonly log: DecisionLog
  /** Homes of a stream; may include this instance. */
  readonly homes: (attemptId: string) => readonly Peer[]
  /** The running process of an instance; undefined when it is not registered. */
  readonly currentIncarnation: (instanceId: string) => string | undefined
  /** False when the list of backend servers may lack versions that other instances know. */
  readonly isListCurrent: () => boolean
  /** Resolves once all entries are listed that were written before `since`, by `steadyNow`; with false when they can't be read. */
  readonly readList: (since: number) => Promise<boolean>
  /** Tells all instances, also those that start later, until when streams of a service may have begun at several versions. */
  readonly announceMixed: (service: string, until: number) => void
  readonly count: (outcome: string) => void
  /** True when a connection certainly leads to the process that was listed when its request was sent. */
  readonly isProven: (connection: ConnectionOrigin) => boolean
  /** Delivers one message; replaced by tests. */
  readonly post?: Post
}

/** What the version rests on that another instance tells. */
function evidenceOf ({ certainty }: StreamOrigin): StartEvidence {
  return { kind: certainty === 'certain' ? 'proven' : 'listed' }
}

/** Creates the record of one process. */
export function createStreamVersions (options: StreamVersionsOptions): StreamVersions {
  const { clock, log } = options
  const post = options.post ?? postToPeer
  const history = createVersionHistory()
  const origins = createStreamOrigins()
  const ownStreams = createOwnStreams(options.isProven)
  /** End of the time, on the shared clock, for which other instances know that versions differ. */
  const announcedUntil = new Map<string, number>()
  const announcing = new Set<string>()
  function sharedNow (): number {
    return clock.fromLocal(steadyNow()) ?? 0
  }

  function toLocal (sharedAt: number): number {
    return steadyNow() + sharedAt - sharedNow()
  }

  function homesOf (attemptId: string): readonly Peer[] {
    return options.homes(attemptId).filter((home) => home.instanceId !== options.instanceId)
  }

  function areVersionsMixed (service: string): boolean {
    const now = steadyNow()
    return history.mixedUntil(service, now) > now
  }

  function findOrigin (attemptId: string): StreamOrigin | undefined {
    const own = ownStreams.find(attemptId)
    return own === undefined ? origins.find(attemptId, sharedNow()) : ownStreams.originToTell(own)
  }

  const telling = createStreamTelling({ ownStreams, findOrigin, homesOf, currentIncarnation: options.currentIncarnation, sharedNow, log, count: options.count, post })

  /** Tells all streams of the services whose versions differ, except to the processes that know them. */
  function tellAllAgain (): void {
    telling.add([...ownStreams.all()].flatMap(({ origin }) => areVersionsMixed(origin.service) ? [origin.attemptId] : []))
  }

  function announce (service: string): void {
    if (announcing.has(service)) return
    announcing.add(service)
    setTimeout(() => {
      announcing.delete(service)
      const now = steadyNow()
      const until = history.mixedUntil(service, now)
      const known = announcedUntil.get(service) ?? -Infinity
      const sharedUntil = clock.fromLocal(until)
      if (until <= now || sharedUntil === undefined) return
      if (sharedUntil - known > STREAM_LIFETIME_MS * ANNOUNCE_AGAIN_AFTER) {
        announcedUntil.set(service, sharedUntil)
        options.announceMixed(service, sharedUntil)
      }
    }, Math.random() * MAX_ANNOUNCE_DELAY_MS)
  }

  /** Called for each stream and each change of the list, so that the announcement is renewed as long as it matters. */
  function announceIfMixed (service: string): void {
    const now = steadyNow()
    const until = clock.fromLocal(history.mixedUntil(service, now))
    if (until !== undefined && until - (announcedUntil.get(service) ?? -Infinity) > STREAM_LIFETIME_MS * ANNOUNCE_AGAIN_AFTER) announce(service)
  }

  function begin (stream: BegunStream): void {
    remember(stream, sharedNow())
  }

  function remember ({ attemptId, service, backendId, version, evidence, callerTimeoutAt }: BegunStream, begunAt: number): void {
    const now = sharedNow()
    const expiresAt = now + Math.min(STREAM_LIFETIME_MS, callerTimeoutAt - steadyNow() + ORIGIN_MARGIN_MS)
    const origin = { attemptId, service, backendId, version, begunAt, expiresAt }
    origins.record(origin, now)
    ownStreams.begin(origin, evidence, now)
    const isMixed = areVersionsMixed(service)
    if (isMixed) announceIfMixed(service)
    else if (evidence.kind !== 'connection' || !evidence.wasSuspect) return
    telling.add([attemptId])
  }

  function toStart (origin: StreamOrigin, evidence: StartEvidence): StreamStart {
    if (origin.certainty === 'uncertain') return { kind: 'unknown' }
    return confirm({ kind: 'begun', service: origin.service, version: origin.version, backendId: origin.backendId, at: toLocal(origin.begunAt), evidence })
  }

  function report (given: StreamStart): StreamReport {
    const start = confirm(given)
    if (start.kind !== 'begun') return { kind: 'unknown' }
    const { service, version, backendId, at, evidence } = start
    if (evidence.kind === 'connection' && (evidence.wasSuspect || areVersionsMixed(service))) return { kind: 'unknown' }
    return { kind: 'begun', service, version, backendId, begunAt: clock.fromLocal(at) ?? 0, isCertain: evidence.kind === 'proven' }
  }

  function adopt (given: StreamReport, { attemptId, callerTimeoutAt }: Pick<BegunStream, 'attemptId' | 'callerTimeoutAt'>): StreamStart {
    if (given.kind === 'unknown') return given
    const { service, version, backendId, begunAt } = given
    const evidence: StartEvidence = { kind: given.isCertain === true ? 'proven' : 'listed' }
    if (mayRemember(attemptId)) remember({ attemptId, service, backendId, version, evidence, callerTimeoutAt }, begunAt)
    return confirm({ kind: 'begun', service, version, backendId, at: toLocal(begunAt), evidence })
  }

  function confirm (start: StreamStart): StreamStart {
    if (start.kind !== 'begun' || start.evidence.kind === 'proven') return start
    if (start.evidence.kind === 'refuted') return { kind: 'unknown' }
    if (start.evidence.kind === 'connection' && options.isProven(start.evidence.connection)) return { ...start, evidence: { kind: 'proven' } }
    return history.isDoubtful(start.backendId, start.at) ? { kind: 'unknown' } : start
  }

  async function find (attemptId: string, service: string): Promise<StreamStart> {
    const takenUpAt = steadyNow()
    const own = ownStreams.find(attemptId)
    const known = own?.origin ?? origins.find(attemptId, sharedNow())
    if (known !== undefined && known.expiresAt > sharedNow()) {
      options.count('ownRecord')
      return toStart(known, own?.evidence ?? evidenceOf(known))
    }
    const reply = await askHomes({ post, log }, attemptId === '' ? [] : homesOf(attemptId), attemptId, service)
    if (reply.kind === 'known') {
      options.count('homeRecord')
      origins.record(reply.origin, sharedNow())
      return toStart(reply.origin, evidenceOf(reply.origin))
    }
    const areMixedElsewhere = reply.kind === 'unknown' && reply.areVersionsMixed
    // The entry of the version that began the stream was written before the caller took it up, but this list and those of the homes may be older.
    const isRead = !areMixedElsewhere && await options.readList(takenUpAt)
    // While the store is away, only the homes can tell whether this instance has missed a version.
    const mayTellVersion = reply.kind === 'unknown' ? !areMixedElsewhere : isRead
    const version = mayTellVersion ? history.onlyVersion(service, steadyNow()) : undefined
    options.count(version === undefined ? 'unknown' : 'onlyVersion')
    return version === undefined ? { kind: 'unknown' } : { kind: 'begun', service, version, backendId: '', at: steadyNow(), evidence: { kind: 'listed' } }
  }

  return {
    begin,
    report,
    adopt,
    find,
    confirm,
    noteListed: (entry, previous) => {
      const wasMixed = areVersionsMixed(entry.service)
      if (previous === undefined) history.add(entry)
      else history.replace(previous, entry, steadyNow())
      announceIfMixed(entry.service)
      if (!wasMixed && areVersionsMixed(entry.service)) tellAllAgain()
    },
    noteRemoved: (entry) => history.remove(entry, steadyNow()),
    learnMixed: (service, until) => {
      announcedUntil.set(service, Math.max(announcedUntil.get(service) ?? -Infinity, until))
      const wasMixed = areVersionsMixed(service)
      history.learnMixed(service, toLocal(until))
      if (!wasMixed && areVersionsMixed(service)) tellAllAgain()
    },
    noteInstancesChanged: tellAllAgain,
    receive: (received) => { for (const origin of received) origins.record(origin, sharedNow()) },
    noteProcessAsked: telling.noteProcessAsked,
    refute: async (attemptId) => {
      const own = ownStreams.find(attemptId)
      if (own === undefined) return
      own.evidence = { kind: 'refuted' }
      await telling.tell(attemptId)
    },
    isMixed: areVersionsMixed,
    isListCurrent: options.isListCurrent,
    originOf: findOrigin,
    answer: (attemptId, service) => ({ origin: findOrigin(attemptId), areVersionsMixed: areVersionsMixed(service) }),
    get size () { return ownStreams.size }
  }
}
