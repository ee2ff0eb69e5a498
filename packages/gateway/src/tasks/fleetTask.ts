import { steadyNow } from '../clock.js'
import { accountHomes } from '../decisions/accountHomes.js'
import { encodeUnansweredRequest, type ReportedRequest } from '../decisions/crashReport.js'
import type { KnownLimit } from '../decisions/permitIssuer.js'
import { createRecentReports } from '../decisions/recentReports.js'
import type { RowStore, StoredRow } from '../ports.js'
import type { DecisionLog } from './decisionLog.js'
import type { KnownBrittleness } from './backendRooms.js'
import { dispatchReport, REPORT_PREFIX, withLatestAnswer, type Report, type ReportHandlers } from './fleetReports.js'
import type { StoreEra } from './storeEra.js'
import { followTable, type TableFollower } from './tableFollower.js'

/** Table for messages between instances; its rows change rarely. */
const TABLE = 'fleet'
const PREFIX = { instance: 'instance/', recovered: 'recovered/', unknownDraws: 'unknownDraws/' } as const
/** Time that a long poll waits for a change. */
const LONG_POLL_MS = 3000
const WRITE_TIMEOUT_MS = 1000
/** Reports are written in batches at this interval; a crash breaks all requests of a backend server together. */
const CRASH_REPORT_INTERVAL_MS = 50
/** A transaction of the store holds at most 100 entries. */
const REPORTS_PER_WRITE = 50
const REPORT_RETRY_MS = 500
/** Reports that wait for the store; the oldest are dropped first. */
const MAX_PENDING_REPORTS = 2000
/** An answer is reported after a random part of this time, as many instances may know one, and the first report is enough. */
const MAX_ANSWER_REPORT_DELAY_MS = 400
/** Pause between two polls: each message wakes all instances. Until a crash is known everywhere, further backend servers crash. */
const POLL_PAUSE_MS = 400
const REGISTRATION_RETRY_MS = 1000
/** Longest pause of draws after a restore of the store; grants last several times as long. */
const RECOVERY_WAIT_MS = 3000
/** An instance that has not registered again this long after a restore is taken for one that had stopped since the copy. */
const REGISTRATION_GRACE_MS = 10_000
/** Part of a registration: whether the instance has draws from before a restore to record again. Not known yet while it starts. */
type RecordingState = 'starting' | 'recording' | 'recorded'
/** Reports of this instance that are written again after a restore; the oldest are dropped first. */
const MAX_KEPT_REPORTS = 500
/** After a restore, processes that run have written their reports again within this time. */
const MISSING_REPORTS_DELAY_MS = 1500

/** Another instance. */
export interface Peer {
  readonly instanceId: string
  readonly address: string
  readonly failureDomain: string
  /** ID of its running process. */
  readonly incarnationId: string
}

/** Membership of the fleet and messages between instances, through the store. */
export interface FleetTask {
  /** Number of registered instances; this one counts also while it is not registered. */
  readonly instances: number
  /** The other registered instances. */
  readonly peers: readonly Peer[]
  /** Homes of an account, in order of preference; may include this instance. */
  homes (account: string): readonly Peer[]
  /** Instances that issue permits for requests to a backend server, in order of preference; may include this instance. */
  permitHomes (backendId: string): readonly Peer[]
  /** Instances that know at which software version a stream began; may include this instance. */
  streamHomes (attemptId: string): readonly Peer[]
  /** The running process of an instance; undefined when it is not registered. */
  incarnationOf (instanceId: string): string | undefined
  /** Reports a crash to all instances. */
  reportCrash (fingerprint: string, unanswered: ReportedRequest): void
  /** Reports a backend server's answer to a prompt part, if other instances still suspect the part when it is written. */
  reportAnswer (part: string): void
  /** Takes over reports that a peer could not write to the store. */
  receive (reports: readonly Report[]): void
  /** Tells all instances of the limit that a backend server names. */
  announceLimit (backendProcess: string, known: KnownLimit): void
  /** Instances that issue room at a service's brittle backend servers, in order of preference; may include this instance. */
  roomHomes (service: string): readonly Peer[]
  /** Tells all instances whether the backend servers of a service are brittle. */
  announceBrittleness (service: string, known: KnownBrittleness): void
  /** Tells all instances until when, on the shared clock, streams of a service may have begun at several software versions. */
  announceMixedVersions (service: string, until: number): void
  /** True when peers know, or may know, a newer configuration than the one that a restored store still holds. */
  mayBeOutdated (configurationVersion: number): boolean
  /** False for some time after a restore of the store, until all instances have recorded again what they had drawn. */
  readonly mayDraw: boolean
  /** True when an instance has recorded its draws again since the last restore. */
  hasRecovered (instanceId: string): boolean
  /**
   * Number of restores since an era of the store after which draws of an instance may be unknown; 0 when all are recorded. Without
   * an era, restores count only if an instance is known to have run before them.
   */
  lossesSince (era: number | undefined): number
  /** Notes that this instance has recorded its draws again, and tells all instances if it knows all of them. */
  confirmRecovery (isComplete: boolean): void
  /** Tells all instances that the draws of a peer are recorded again. */
  confirmRecoveryOf (instanceId: string): void
  /**
   * Notes that the lease of this instance's last process was read. `hasMissedRestore`: it lacks draws from before a restore that
   * this process did not see.
   */
  noteLease (hasMissedRestore: boolean): void
  readonly follower: TableFollower
  /** Removes this instance from the list of instances. */
  deregister (): Promise<void>
}

/** Dependencies of the task. */
export interface FleetTaskOptions extends ReportHandlers {
  readonly store: RowStore
  readonly era: StoreEra
  readonly log: DecisionLog
  readonly instanceId: string
  /** Unique ID of this run of the process. */
  readonly incarnationId: string
  /** Version of the configuration in force; 0 without one. */
  readonly configurationVersion: () => number
  /** Address at which peers reach this instance. */
  readonly peerAddress: string
  readonly failureDomain: string
  /** Called when an instance has registered or left. */
  readonly onInstancesChanged: () => void
  /** Tells a peer of reports that can't be written to the store. */
  readonly tellPeer: (peer: Peer, reports: readonly Report[]) => void
  /** Time of an answer to a part; undefined when no instance needs to know of it. */
  readonly answerToReport: (part: string) => number | undefined
  /** Time of the latest known answer to a part. */
  readonly latestAnswer: (part: string) => number | undefined
}

/** Registers this instance and starts following the fleet table. */
export function startFleetTask (options: FleetTaskOptions): FleetTask {
  const { store, log, era } = options
  const instances = new Map<string, Peer>()
  const rowVersions = new Map<string, number>()
  /** Era in which each instance has last recorded its draws again. */
  const recoveredEras = new Map<string, number>()
  /** What each instance told with its registration. */
  const registrations = new Map<string, { readonly era: string, readonly configurationVersion: number, readonly state: string }>()
  /** Instances that ran before a restore and have to record their draws again. */
  const ranBeforeRestore = new Set<string>()
  let lastRestoredEra: number | undefined
  /** Eras in which an instance was forgotten whose draws nobody had recorded. */
  const erasWithUnknownDraws = new Set<string>()
  /** Earliest era in which an instance was registered. */
  let earliestEra: number | undefined
  /** A process that starts may have missed a restore, so that it waits as well until the others are known. */
  let drawFrom = steadyNow() + RECOVERY_WAIT_MS
  /** True while the balances may lack tokens that this instance drew before a restore. */
  let recordingState: RecordingState = 'starting'
  /** Era in which this instance has recorded all of its draws again. */
  let confirmedEra: number | undefined
  /** Kept until a row or the state of this instance changes, as each review of an account asks for it. */
  let unsettled: { readonly era: number | undefined, readonly instanceIds: readonly string[] } | undefined
  let isRegistering = false
  let registeredState: string | undefined
  let hasReadLease = false
  let keptReports: Report[] = []
  const recentReports = createRecentReports()
  /** Keys of the reports that the store holds, from a restore until missing ones are written again. */
  let listedReports: Set<string> | undefined
  const homesByAccount = new Map<string, readonly Peer[]>()
  let pendingReports: Report[] = []
  /** Reports that peers were told of directly. */
  const toldPeers = new WeakSet<Report>()
  let isWriteScheduled = false
  const pendingAnswers = new Set<string>()
  let reportSequence = 0
  let stopped = false
  let hasReadPeers = false
  let markRead: () => void = () => {}
  const isRead = new Promise<void>((resolve) => { markRead = resolve })
  let markLeaseRead: () => void = () => {}
  const isLeaseRead = new Promise<void>((resolve) => { markLeaseRead = resolve })

  /** Part of the registration that is written again when it changes; the era is known from the first response on. */
  function registeredPart (): string {
    return `${era.current ?? ''} ${recordingState}`
  }

  /** Value of this instance's row. */
  function registration (): string {
    return `${options.peerAddress} ${options.failureDomain} ${options.incarnationId} ${registeredPart()} ${options.configurationVersion()}`
  }

  async function writeRow (key: string, value: string): Promise<boolean> {
    const outcome = await store.transact({ expected: [], writes: [{ table: TABLE, part: '', key, value }], removals: [] }, steadyNow() + WRITE_TIMEOUT_MS)
    if (outcome.kind === 'applied') return true
    log.decision('fleetNoteNotWritten', { key, outcome: outcome.kind })
    return false
  }

  function applyRow (row: StoredRow): void {
    unsettled = undefined
    if (row.key.startsWith(PREFIX.instance)) {
      const name = row.key.slice(PREFIX.instance.length)
      homesByAccount.clear()
      const [address = '', failureDomain = '', incarnationId = '', registeredEra = '', state = 'recorded', configurationVersion = '0'] = row.value.split(' ')
      rowVersions.set(name, row.version)
      registrations.set(name, { era: registeredEra, configurationVersion: Number(configurationVersion), state })
      if (registeredEra !== '') earliestEra = Math.min(earliestEra ?? Infinity, Number(registeredEra))
      if (row.deleted) instances.delete(name)
      else instances.set(name, { instanceId: name, address, failureDomain, incarnationId })
      // The removal of the process before may be performed late.
      if (row.deleted && name === options.instanceId && registeredState !== undefined) startRegistration()
      options.onInstancesChanged()
      return
    }
    if (row.key.startsWith(PREFIX.recovered)) {
      recoveredEras.set(row.key.slice(PREFIX.recovered.length), Number(row.value))
      return
    }
    if (row.key.startsWith(PREFIX.unknownDraws)) {
      erasWithUnknownDraws.add(row.key.slice(PREFIX.unknownDraws.length))
      return
    }
    if (row.deleted) return
    listedReports?.add(row.key)
    applyReport(row)
  }

  function applyReport (row: Report): void {
    if (!row.key.startsWith(REPORT_PREFIX.limit)) recentReports.add({ key: row.key, value: row.value }, steadyNow())
    dispatchReport(row, options)
  }

  const follower = followTable({
    store,
    log,
    table: TABLE,
    waitMilliseconds: LONG_POLL_MS,
    pauseMilliseconds: POLL_PAUSE_MS,
    // Crash reports are never deleted, so the table grows large.
    prefersFullRead: false,
    onSnapshot: (rows) => {
      for (const row of rows) applyRow(row)
      // All processes that saw the restore may have ended before they dropped the instances that stay away.
      if (!hasReadPeers) scheduleDrop()
      hasReadPeers = true
      markRead()
    },
    onChanges: (rows) => { for (const row of rows) applyRow(row) }
  })

  function hasRecovered (instanceId: string): boolean {
    return era.current !== undefined && recoveredEras.get(instanceId) === era.current
  }

  function awaitRecovery (): void {
    drawFrom = steadyNow() + RECOVERY_WAIT_MS
    recordingState = 'recording'
    unsettled = undefined
    startRegistration()
  }

  function noteLease (hasMissedRestore: boolean): void {
    // The store may have been away, and restored, since this process started.
    if (!hasReadLease) drawFrom = steadyNow() + RECOVERY_WAIT_MS
    if (hasMissedRestore) awaitRecovery()
    else if (!hasReadLease && era.restoredAt === undefined) recordingState = 'recorded'
    hasReadLease = true
    unsettled = undefined
    markLeaseRead()
    if (registeredState !== undefined && registeredState !== registeredPart()) startRegistration()
  }

  /** True when the balances lack no tokens that the instance drew before a restore. */
  function isSettled (instanceId: string): boolean {
    if (hasRecovered(instanceId)) return true
    if (instanceId === options.instanceId) return recordingState !== 'recording' || (confirmedEra !== undefined && confirmedEra === era.current)
    return !ranBeforeRestore.has(instanceId) && hasRegistered(instanceId) && registrations.get(instanceId)?.state === 'recorded'
  }

  /** Instances whose draws from before a restore may be missing in the balances. */
  function unsettledInstances (): readonly string[] {
    if (unsettled?.era !== era.current || unsettled === undefined) unsettled = { era: era.current, instanceIds: findUnsettled() }
    return unsettled.instanceIds
  }

  function findUnsettled (): readonly string[] {
    return [...new Set([...instances.keys(), ...ranBeforeRestore, options.instanceId])].filter((instanceId) => !isSettled(instanceId))
  }

  /** True for an instance that is known to have run before a restore. */
  function isFromEarlierEra (instanceId: string): boolean {
    const registration = registrations.get(instanceId)
    return instanceId === options.instanceId || ranBeforeRestore.has(instanceId) || registration?.state === 'recording' || (registration?.era !== '' && !hasRegistered(instanceId))
  }

  function lossesSince (accountedEra: number | undefined): number {
    const { current } = era
    if (current === undefined || current === accountedEra) return 0
    const isUnknown = erasWithUnknownDraws.has(String(current)) || unsettledInstances().some((instanceId) => accountedEra !== undefined || isFromEarlierEra(instanceId))
    return isUnknown ? Math.max(1, current - (accountedEra ?? earliestEra ?? current)) : 0
  }

  function handleRestore (): void {
    // Instances that recorded their draws after the restore before and have left since have nothing to record again.
    for (const instanceId of ranBeforeRestore) if (recoveredEras.get(instanceId) === lastRestoredEra) ranBeforeRestore.delete(instanceId)
    for (const instanceId of instances.keys()) ranBeforeRestore.add(instanceId)
    lastRestoredEra = era.current
    awaitRecovery()
    queueAgain(keptReports)
    if (pendingReports.length > 0) scheduleReports(CRASH_REPORT_INTERVAL_MS)
    listedReports = new Set()
    scheduleMissingReports()
    scheduleDrop()
  }

  /** Writes reports again whose writers have ended, once those that run have written theirs. One of the instances does so first. */
  function scheduleMissingReports (): void {
    const { current } = era
    setTimeout(() => {
      if (stopped || era.current !== current) return
      const missing = recentReports.missingIn(listedReports ?? new Set(), steadyNow())
      listedReports = undefined
      if (missing.length === 0) return
      log.event('reportsWrittenAgain', { count: missing.length })
      queueAgain(missing)
      scheduleReports(CRASH_REPORT_INTERVAL_MS)
    }, MISSING_REPORTS_DELAY_MS * (1 + Math.random()))
  }

  /** Drops the instances that don't register in the current era in time. */
  function scheduleDrop (): void {
    const { current } = era
    setTimeout(() => { if (era.current === current) dropUnregistered() }, REGISTRATION_GRACE_MS)
  }

  function hasRegistered (instanceId: string): boolean {
    return era.current === undefined || registrations.get(instanceId)?.era === String(era.current)
  }

  /** Forgets instances that had stopped since the copy: their registrations are back, but no process renews them. */
  function dropUnregistered (): void {
    const unregistered = peersOf().filter(({ instanceId }) => !hasRegistered(instanceId))
    for (const { instanceId } of unregistered) instances.delete(instanceId)
    homesByAccount.clear()
    unsettled = undefined
    for (const { instanceId } of unregistered) {
      // Chosen among the instances that are left.
      const isRemover = homesOf(`${PREFIX.instance}${instanceId}`).some((home) => home.instanceId === options.instanceId)
      if (!isSettled(instanceId)) {
        ranBeforeRestore.add(instanceId)
        writeRow(`${PREFIX.unknownDraws}${era.current ?? ''}`, instanceId).catch((error: unknown) => log.warning('unknownDrawsNotNoted', { instance: instanceId, reason: String(error) }))
      }
      log.event('instanceNotConfirmed', { instance: instanceId, isRemover })
      if (isRemover) removeRegistration(instanceId).catch((error: unknown) => log.warning('registrationNotRemoved', { instance: instanceId, reason: String(error) }))
    }
  }

  async function removeRegistration (name: string): Promise<void> {
    const row = { table: TABLE, part: '', key: `${PREFIX.instance}${name}` }
    await store.transact({ expected: [{ ...row, version: rowVersions.get(name) ?? 0 }], writes: [], removals: [row] }, steadyNow() + WRITE_TIMEOUT_MS)
  }

  async function writeRecovery (instanceId: string): Promise<void> {
    const confirmed = era.current
    for (;;) {
      if (stopped || confirmed === undefined || era.current !== confirmed) return
      if (await writeRow(`${PREFIX.recovered}${instanceId}`, String(confirmed))) return
      await new Promise((resolve) => setTimeout(resolve, REPORT_RETRY_MS))
    }
  }

  function confirmRecoveryOf (instanceId: string): void {
    writeRecovery(instanceId).catch((error: unknown) => log.warning('recoveryNotConfirmed', { instance: instanceId, reason: String(error) }))
  }

  function peersOf (): readonly Peer[] {
    return [...instances.values()].filter((peer) => peer.instanceId !== options.instanceId)
  }

  async function register (): Promise<void> {
    await Promise.race([Promise.all([isRead, isLeaseRead]), new Promise((resolve) => setTimeout(resolve, REGISTRATION_RETRY_MS))])
    for (;;) {
      if (stopped) return
      const state = registeredPart()
      const isWritten = await writeRow(`${PREFIX.instance}${options.instanceId}`, registration())
      if (isWritten) registeredState = state
      if (state !== registeredPart()) continue
      if (isWritten) return
      await new Promise((resolve) => setTimeout(resolve, REGISTRATION_RETRY_MS))
    }
  }

  function startRegistration (): void {
    if (isRegistering || stopped) return
    isRegistering = true
    register()
      .catch((error: unknown) => log.warning('registrationFailed', { reason: String(error) }))
      .finally(() => { isRegistering = false })
  }

  function writeReports (): void {
    const batch = pendingReports.slice(0, REPORTS_PER_WRITE)
    pendingReports = pendingReports.slice(REPORTS_PER_WRITE)
    if (pendingReports.length > 0) scheduleReports(CRASH_REPORT_INTERVAL_MS)
    const writes = batch.map((report) => ({ table: TABLE, part: '', ...withLatestAnswer(report, options.latestAnswer) }))
    store.transact({ expected: [], writes, removals: [] }, steadyNow() + WRITE_TIMEOUT_MS).then((outcome) => {
      if (outcome.kind === 'applied') return
      log.decision('crashReportsNotWritten', { count: batch.length, outcome: outcome.kind })
      const untold = batch.filter((report) => !toldPeers.has(report))
      for (const report of untold) toldPeers.add(report)
      if (untold.length > 0) for (const peer of peersOf()) options.tellPeer(peer, untold)
      // Each report has a key of its own, so that one that was applied after all is not counted twice.
      queueAgain(batch)
      scheduleReports(REPORT_RETRY_MS)
    }, (error: unknown) => log.warning('crashReportsFailed', { reason: String(error) }))
  }

  /** Puts reports first; those that wait already are not queued twice, as a transaction names each row once. */
  function queueAgain (reports: readonly Report[]): void {
    const waiting = new Set(pendingReports.map(({ key }) => key))
    pendingReports = [...reports.filter(({ key }) => !waiting.has(key)), ...pendingReports].slice(-MAX_PENDING_REPORTS)
  }

  function scheduleReports (delayMilliseconds: number): void {
    if (isWriteScheduled || stopped) return
    isWriteScheduled = true
    setTimeout(() => {
      isWriteScheduled = false
      writeReports()
    }, delayMilliseconds)
  }

  function addReport (key: string, value: string): void {
    const report = { key, value }
    pendingReports.push(report)
    keptReports = [...keptReports.filter((kept) => kept.key !== key), report].slice(-MAX_KEPT_REPORTS)
    scheduleReports(CRASH_REPORT_INTERVAL_MS)
  }

  function reportCrash (fingerprint: string, unanswered: ReportedRequest): void {
    reportSequence++
    const key = `${REPORT_PREFIX.crash}${fingerprint}/${options.incarnationId}/${reportSequence}`
    options.onCrash(fingerprint, key, unanswered)
    addReport(key, encodeUnansweredRequest(unanswered))
  }

  function reportAnswer (part: string): void {
    if (pendingAnswers.has(part)) return
    pendingAnswers.add(part)
    setTimeout(() => {
      pendingAnswers.delete(part)
      const answeredAt = options.answerToReport(part)
      if (answeredAt === undefined) return
      options.onAnswer(part, answeredAt)
      replaceReport(`${REPORT_PREFIX.answer}${part}`, String(answeredAt))
    }, Math.random() * MAX_ANSWER_REPORT_DELAY_MS)
  }

  /** Adds a report of which only the newest counts. */
  function replaceReport (key: string, value: string): void {
    pendingReports = pendingReports.filter((report) => report.key !== key)
    addReport(key, value)
  }

  function announceLimit (backendProcess: string, known: KnownLimit): void {
    options.onLimit(backendProcess, known)
    replaceReport(`${REPORT_PREFIX.limit}${backendProcess}`, JSON.stringify(known))
  }

  function homesOf (account: string): readonly Peer[] {
    const known = homesByAccount.get(account)
    if (known !== undefined) return known
    const homes = accountHomes(account, instances.values())
    homesByAccount.set(account, homes)
    return homes
  }

  era.onRestored(handleRestore)
  startRegistration()
  return {
    get instances () { return instances.size + (instances.has(options.instanceId) ? 0 : 1) },
    get peers () { return peersOf() },
    homes: homesOf,
    permitHomes: (backendId) => homesOf(`${REPORT_PREFIX.limit}${backendId}`),
    // Not kept: each stream has homes of its own.
    streamHomes: (attemptId) => accountHomes(attemptId, instances.values()),
    incarnationOf: (instanceId) => instances.get(instanceId)?.incarnationId,
    reportCrash,
    reportAnswer,
    announceLimit,
    roomHomes: (service) => homesOf(`${REPORT_PREFIX.brittle}${service}`),
    announceBrittleness: (service, known) => replaceReport(`${REPORT_PREFIX.brittle}${service}`, JSON.stringify(known)),
    announceMixedVersions: (service, until) => replaceReport(`${REPORT_PREFIX.versions}${service}`, String(until)),
    mayBeOutdated: (configurationVersion) => !hasReadPeers || peersOf().some(({ instanceId }) => !hasRegistered(instanceId) || (registrations.get(instanceId)?.configurationVersion ?? 0) > configurationVersion),
    get mayDraw () { return steadyNow() >= drawFrom || (hasReadPeers && instances.size > 0 && unsettledInstances().length === 0) },
    hasRecovered,
    lossesSince,
    confirmRecovery: (isComplete) => {
      if (!isComplete) return
      confirmedEra = era.current
      unsettled = undefined
      confirmRecoveryOf(options.instanceId)
    },
    confirmRecoveryOf,
    noteLease,
    receive: (reports) => { for (const report of reports) applyReport(report) },
    follower,
    deregister: async () => {
      stopped = true
      follower.stop()
      await store.transact({ expected: [], writes: [], removals: [{ table: TABLE, part: '', key: `${PREFIX.instance}${options.instanceId}` }] }, steadyNow() + WRITE_TIMEOUT_MS)
    }
  }
}
