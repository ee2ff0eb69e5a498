import { assertNever } from '@quinceshunt/effects'
import { steadyNow } from '../clock.js'
import type { ConnectionOrigin } from '../decisions/processProofs.js'
import type { SharedClock } from '../decisions/sharedClock.js'
import { createStreamOrigins, mayRemember, type StartEvidence, type StreamOrigin, type StreamStart } from '../decisions/streamOrigins.js'
import type { StreamReport } from '../decisions/streamReport.js'
import { createVersionHistory, STREAM_LIFETIME_MS, type VersionedEntry } from '../decisions/versionHistory.js'
import type { DecisionLog } from './decisionLog.js'
import type { Peer } from './fleetTask.js'
import { PEER_PATH, postToPeer } from './peerMessages.js'
import { askHomes, type StreamAnswer } from './streamHomes.js'
import type { Post } from './tokenLoans.js'

const TELL_TIMEOUT_MS = 300
/** Pause before homes that did not take a message are told again. */
const TELL_AGAIN_MS = 250
const ORIGINS_PER_MESSAGE = 50
/** Streams whose homes are found in one pass of the event loop; finding them ranks all instances. */
const ORIGINS_PER_PASS = 50
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

/** A stream of this instance. */
interface OwnStream {
  readonly origin: StreamOrigin
  readonly evidence: StartEvidence
  /** Processes that were told of it. */
  readonly toldTo: Set<string>
  toldAs: StreamOrigin['certainty']
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
  /** A stream of this instance began at another process than the listed one; resolves once its homes were told. */
  noteMisattributed (attemptId: string): Promise<void>
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
}

/** Dependencies of the task. */
export interface StreamVersionsOptions {
  readonly instanceId: string
  readonly clock: SharedClock
  readonly log: DecisionLog
  /** Homes of a stream; may include this instance. */
  readonly homes: (attemptId: string) => readonly Peer[]
  /** False when the list of backend servers may lack versions that other instances know. */
  readonly isListCurrent: () => boolean
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
  const ownStreams = new Map<string, OwnStream>()
  /** Own streams some of whose homes may not know them yet. */
  const untold = new Set<string>()
  /** End of the time, on the shared clock, for which other instances know that versions differ. */
  const announcedUntil = new Map<string, number>()
  const announcing = new Set<string>()
  /** The next telling; undefined when none is scheduled. */
  let telling: { readonly at: number, readonly timer: NodeJS.Timeout } | undefined

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

  function forgetExpired (): void {
    const now = sharedNow()
    for (const [attemptId, { origin }] of ownStreams) {
      if (origin.expiresAt > now) continue
      ownStreams.delete(attemptId)
      untold.delete(attemptId)
    }
  }

  function scheduleTelling (delayMilliseconds: number): void {
    const at = steadyNow() + delayMilliseconds
    if (telling !== undefined && telling.at <= at) return
    clearTimeout(telling?.timer)
    const timer = setTimeout(() => {
      telling = undefined
      tellHomes().catch((error: unknown) => log.warning('streamsNotTold', { reason: String(error) }))
    }, delayMilliseconds)
    telling = { at, timer }
  }

  /** What others are told of a stream; undefined while its version may still turn out to be certain. */
  function originToTell (own: OwnStream): StreamOrigin | undefined {
    const { origin, evidence } = own
    switch (evidence.kind) {
      case 'proven': return { ...origin, certainty: 'certain' }
      case 'listed': return origin
      case 'connection':
        if (options.isProven(evidence.connection)) return { ...origin, certainty: 'certain' }
        return evidence.wasSuspect ? { ...origin, certainty: 'uncertain' } : undefined
      default: return assertNever(evidence)
    }
  }

  function findOrigin (attemptId: string): StreamOrigin | undefined {
    const own = ownStreams.get(attemptId)
    return own === undefined ? origins.find(attemptId, sharedNow()) : originToTell(own)
  }

  /** Groups the streams that are to be told by their homes. Those whose version is not certain yet are added to `uncertain`. */
  function takeUntold (uncertain: string[]): ReadonlyMap<string, { readonly home: Peer, readonly streams: readonly string[] }> {
    const byHome = new Map<string, { readonly home: Peer, readonly streams: string[] }>()
    for (const attemptId of [...untold].slice(0, ORIGINS_PER_PASS)) {
      untold.delete(attemptId)
      const own = ownStreams.get(attemptId)
      if (own === undefined) continue
      const origin = originToTell(own)
      if (origin === undefined || origin.certainty === 'uncertain') uncertain.push(attemptId)
      if (origin === undefined) continue
      if (origin.certainty !== own.toldAs) own.toldTo.clear()
      own.toldAs = origin.certainty
      for (const home of homesOf(attemptId)) {
        if (own.toldTo.has(home.incarnationId)) continue
        const group = byHome.get(home.incarnationId) ?? { home, streams: [] }
        group.streams.push(attemptId)
        byHome.set(home.incarnationId, group)
      }
    }
    return byHome
  }

  async function tellHome (home: Peer, streams: readonly string[]): Promise<void> {
    for (let from = 0; from < streams.length; from += ORIGINS_PER_MESSAGE) {
      const batch = streams.slice(from, from + ORIGINS_PER_MESSAGE)
      const outcome = await post(home.address, PEER_PATH.streams, { to: home.incarnationId, origins: batch.flatMap((attemptId) => findOrigin(attemptId) ?? []) }, TELL_TIMEOUT_MS)
      options.count(outcome.kind === 'answered' ? 'told' : 'notTold')
      if (outcome.kind === 'answered') for (const attemptId of batch) ownStreams.get(attemptId)?.toldTo.add(home.incarnationId)
      else for (const attemptId of batch) untold.add(attemptId)
      if (outcome.kind === 'failed') log.decision('peerDidNotAnswer', { peer: home.address, path: PEER_PATH.streams, reason: outcome.reason })
    }
  }

  async function tellHomes (): Promise<void> {
    forgetExpired()
    const uncertain: string[] = []
    const byHome = takeUntold(uncertain)
    if (untold.size > 0) scheduleTelling(0)
    await Promise.all([...byHome.values()].map(async ({ home, streams }) => await tellHome(home, streams)))
    for (const attemptId of uncertain) untold.add(attemptId)
    if (untold.size > 0) scheduleTelling(TELL_AGAIN_MS)
  }

  async function noteMisattributed (attemptId: string): Promise<void> {
    const own = ownStreams.get(attemptId)
    if (own?.evidence.kind !== 'connection') return
    ownStreams.set(attemptId, { ...own, evidence: { ...own.evidence, wasSuspect: true } })
    untold.add(attemptId)
    await tellHomes()
  }

  /** Tells all streams of the services whose versions differ, except to the processes that know them. */
  function tellAllAgain (): void {
    for (const [attemptId, { origin }] of ownStreams) if (areVersionsMixed(origin.service)) untold.add(attemptId)
    if (untold.size > 0) scheduleTelling(0)
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
    ownStreams.set(attemptId, { origin, evidence, toldTo: new Set(), toldAs: undefined })
    const isMixed = areVersionsMixed(service)
    if (isMixed) announceIfMixed(service)
    else if (evidence.kind !== 'connection' || !evidence.wasSuspect) return
    untold.add(attemptId)
    scheduleTelling(0)
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
    if (start.evidence.kind === 'connection' && options.isProven(start.evidence.connection)) return { ...start, evidence: { kind: 'proven' } }
    return history.isDoubtful(start.backendId, start.at) ? { kind: 'unknown' } : start
  }

  async function find (attemptId: string, service: string): Promise<StreamStart> {
    const own = ownStreams.get(attemptId)
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
    // An instance that is cut off from the store may have missed a new version, which the homes know.
    const mayTellVersion = reply.kind === 'unknown' ? !reply.areVersionsMixed : options.isListCurrent()
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
    noteMisattributed,
    noteProcessAsked: () => { if (untold.size > 0) scheduleTelling(0) },
    isMixed: areVersionsMixed,
    isListCurrent: options.isListCurrent,
    originOf: findOrigin,
    answer: (attemptId, service) => ({ origin: findOrigin(attemptId), areVersionsMixed: areVersionsMixed(service) })
  }
}
