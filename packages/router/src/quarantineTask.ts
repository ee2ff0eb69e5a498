import { runDecision, startTask, type Decision } from '@quinceshunt/effects'
import { updateSuspect, endTrial, exemptSuspects, isSuspected, recordCrash, startTrial, type StoreCommand, type TrialResult, type TrialStart } from '@quinceshunt/requests'
import { SuspectState, type SuspectRecord } from '@quinceshunt/schemas'
import { createStoreRunner } from './storeRunner.js'
import { CORRELATION_WINDOW_MS, exemptedFingerprints, type ObservedCrash } from './quarantineExemptions.js'
import { createQuarantineEvidence } from './quarantineEvidence.js'
import { startQuarantinePoll } from './quarantinePoll.js'
import { createSuspectCache } from './suspectCache.js'
import type { CreateQuarantineTask } from './taskContracts.js'

/** Limits trials in the whole fleet, so that a large failure can't exhaust the table's write capacity. */
const MAX_FLEET_TRIALS_PER_SECOND = 100
const MILLISECONDS_PER_SECOND = 1000
/** Delay between attempts to start a trial; a change of any suspect ends it early. */
const TRIAL_RETRY_DELAY_MS = 250
const REPORT_TIMEOUT_MS = 500
/** Without the report, a peer keeps sending copies of a poison request until gossip reaches it. */
const MAX_REPORT_ATTEMPTS = 3
/** After this time the caller stops waiting and the crash is recorded in the background. */
const MAX_RECORD_WAIT_MS = 1000
/** A trial whose end is not reported within this time after the request's deadline counts as ended without a result. */
const TRIAL_END_GRACE_PERIOD_MS = 5000

/** A trial that this instance is starting, running or ending. */
interface OwnTrial {
  backendServer: string | undefined
  /** Unix milliseconds; the trial counts as ended after this time. */
  expiresAt: number
}

type Message =
  | { readonly kind: 'learn', readonly records: readonly SuspectRecord[] }
  | { readonly kind: 'polled', readonly records: readonly SuspectRecord[] }
  | { readonly kind: 'crash', readonly crash: ObservedCrash, readonly onRecorded: () => void }
  | { readonly kind: 'crashWritten', readonly crash: ObservedCrash, readonly trialFingerprint: string | undefined, readonly records: readonly SuspectRecord[] }
  | { readonly kind: 'endTrial', readonly fingerprint: string, readonly backendServer: string, readonly result: TrialResult }
  | { readonly kind: 'trialEnded', readonly fingerprint: string, readonly record: SuspectRecord | undefined }

/** Starts the task that owns suspect and quarantined fingerprints. */
export const createQuarantineTask: CreateQuarantineTask = ({ identity, platform, clock, logger, metrics }, peers) => {
  const suspects = createSuspectCache()
  const ownTrials = new Map<string, OwnTrial>()
  /** Number of crash reports not yet written to the table, by fingerprint. */
  const unwrittenReports = new Map<string, number>()
  const stopped = new AbortController()
  const runStoreCommand = createStoreRunner(platform, clock, stopped.signal)
  const evidence = createQuarantineEvidence(platform.instances, peers, clock)
  let crashes: ObservedCrash[] = []
  let nextTrialAt = 0
  let suspectsChanged = new AbortController()

  async function run<Result> (step: string, decision: Decision<StoreCommand, Result>): Promise<Result | undefined> {
    try {
      return await runDecision(decision, runStoreCommand)
    } catch (error) {
      if (!stopped.signal.aborted) logger.error({ err: error, step }, 'a quarantine decision failed')
      return undefined
    }
  }

  function learn (records: readonly SuspectRecord[]): void {
    const changed = records.filter((record) => suspects.learn(record))
    for (const { fingerprint, state } of changed) {
      if (state === SuspectState.QUARANTINED) logger.warn({ fingerprint, step: 'quarantine' }, 'requests with this content are refused: they have crashed backend servers')
    }
    if (changed.length === 0) return
    suspectsChanged.abort()
    suspectsChanged = new AbortController()
  }

  function reportToPeers (records: readonly SuspectRecord[]): void {
    if (records.length === 0) return
    for (const { address, instanceId } of peers.peers()) {
      if (instanceId !== identity.instanceId) notifyPeer(address, records, MAX_REPORT_ATTEMPTS)
    }
  }

  /** Reports to routers in the instance list that gossip has not discovered yet, for example after a start. */
  async function reportToListedRouters (records: readonly SuspectRecord[]): Promise<void> {
    await evidence.refresh()
    const known = new Set([identity.address, ...peers.peers().map(({ address }) => address)])
    for (const address of evidence.routerAddresses()) {
      if (!known.has(address)) notifyPeer(address, records, MAX_REPORT_ATTEMPTS)
    }
  }

  function notifyPeer (address: string, records: readonly SuspectRecord[], attempts: number): void {
    peers.client(address).reportSuspects({ suspects: [...records] }, { timeoutMs: REPORT_TIMEOUT_MS, signal: stopped.signal }).catch((error: unknown) => {
      if (stopped.signal.aborted) return
      logger.warn({ err: error, peer: address, step: 'report suspects', attemptsLeft: attempts - 1 }, 'failed to report suspects to a peer')
      if (attempts > 1) notifyPeer(address, records, attempts - 1)
    })
  }

  function handleCrash (crash: ObservedCrash, onRecorded: () => void): void {
    metrics.count('backend_server_crashes_total')
    logger.warn({ backendServer: crash.backendServer, requests: crash.fingerprints.length, peers: peers.peers().length, step: 'record crash' }, 'a backend server crashed; the requests in flight on it are suspects')
    crashes = [...crashes.filter(({ observedAt }) => observedAt > crash.observedAt - 2 * CORRELATION_WINDOW_MS), crash]
    const newSuspects: SuspectRecord[] = []
    for (const fingerprint of new Set(crash.fingerprints)) {
      unwrittenReports.set(fingerprint, (unwrittenReports.get(fingerprint) ?? 0) + 1)
      const known = suspects.get(fingerprint)
      if (isSuspected(known) || known?.state === SuspectState.QUARANTINED) continue
      newSuspects.push(updateSuspect(fingerprint, known, crash.observedAt, { state: SuspectState.SUSPECT, crashCount: (known?.crashCount ?? 0) + 1 }))
    }
    learn(newSuspects)
    reportToPeers(newSuspects)
    if (newSuspects.length > 0) reportToListedRouters(newSuspects).catch((error: unknown) => logger.warn({ err: error, step: 'report suspects' }, 'failed to report suspects to listed routers'))
    const { backendServer, fingerprints, observedAt } = crash
    const trialFingerprint = fingerprints.find((fingerprint) => ownTrials.get(fingerprint)?.backendServer === backendServer)
    run('record crash', recordCrash({ backendServer, fingerprints, trialFingerprint, observedAt, incarnation: identity.incarnation })).then((records) => {
      if (records !== undefined) task.post({ kind: 'crashWritten', crash, trialFingerprint, records })
      onRecorded()
    })
  }

  function handleCrashWritten (crash: ObservedCrash, trialFingerprint: string | undefined, records: readonly SuspectRecord[]): void {
    for (const fingerprint of new Set(crash.fingerprints)) {
      const left = unwrittenReports.get(fingerprint)! - 1
      if (left === 0) unwrittenReports.delete(fingerprint)
      else unwrittenReports.set(fingerprint, left)
    }
    if (trialFingerprint !== undefined) ownTrials.delete(trialFingerprint)
    learn(records)
    reportToPeers(records)
    exempt(crash).catch((error: unknown) => logger.error({ err: error, step: 'exempt suspects' }, 'failed to exempt the suspects of a correlated failure'))
  }

  async function exempt (crash: ObservedCrash): Promise<void> {
    await clock.waitUntil(crash.observedAt + CORRELATION_WINDOW_MS, stopped.signal)
    const fingerprints = exemptedFingerprints(crash, crashes)
    if (fingerprints.length === 0 || stopped.signal.aborted) return
    const records = await run('exempt suspects', exemptSuspects(fingerprints)) ?? []
    metrics.count('suspects_exempted_total', {}, records.length)
    task.post({ kind: 'learn', records })
    reportToPeers(records)
  }

  /** The fleet-wide limit is divided evenly among the known instances. */
  function tryAcquireTrialAttempt (now: number): boolean {
    if (now < nextTrialAt) return false
    nextTrialAt = now + MILLISECONDS_PER_SECOND * (peers.peers().length + 1) / MAX_FLEET_TRIALS_PER_SECOND
    return true
  }

  async function waitForSuspectChange (deadline: number): Promise<void> {
    await clock.waitUntil(Math.min(deadline, clock.now() + TRIAL_RETRY_DELAY_MS), AbortSignal.any([suspectsChanged.signal, stopped.signal]))
  }

  async function attemptTrial (fingerprint: string, candidates: readonly string[], deadline: number): Promise<TrialStart | undefined> {
    if (ownTrials.has(fingerprint) || unwrittenReports.has(fingerprint) || !tryAcquireTrialAttempt(clock.now())) return undefined
    const trial: OwnTrial = { backendServer: undefined, expiresAt: deadline + TRIAL_END_GRACE_PERIOD_MS }
    ownTrials.set(fingerprint, trial)
    const hasTrial = (other: string): boolean => ownTrials.has(other)
    const suspectedFingerprints = (): readonly string[] => [...suspects.all().values()].filter(isSuspected).map((suspect) => suspect.fingerprint)
    const start = await run('start trial', startTrial({ fingerprint, candidates, incarnation: identity.incarnation, known: suspects.get(fingerprint), evidence: { ...evidence, hasTrial, suspectedFingerprints } }))
    if (start?.kind === 'started') trial.backendServer = start.backendServer
    else ownTrials.delete(fingerprint)
    if (start !== undefined && start.kind !== 'wait' && start.record !== undefined) {
      learn([start.record])
      if (start.kind !== 'cleared') reportToPeers([start.record])
    }
    return start
  }

  async function awaitTrial (fingerprint: string, candidates: readonly string[], deadline: number): Promise<string | undefined> {
    while (clock.now() < deadline && !stopped.signal.aborted) {
      const admission = suspects.admit(fingerprint)
      if (admission.kind === 'quarantined') return undefined
      if (admission.kind === 'admitted') return candidates[0]
      const start = await attemptTrial(fingerprint, candidates, deadline)
      if (start?.kind === 'started') {
        metrics.count('trials_total')
        if (clock.now() < deadline) return start.backendServer
        task.post({ kind: 'endTrial', fingerprint, backendServer: start.backendServer, result: 'notRun' })
        return undefined
      }
      if (start?.kind === 'cleared') continue
      await waitForSuspectChange(deadline)
    }
    return undefined
  }

  function endOwnTrial (fingerprint: string, backendServer: string, result: TrialResult): void {
    const trial = ownTrials.get(fingerprint)
    if (trial?.backendServer !== backendServer || unwrittenReports.has(fingerprint)) return
    trial.expiresAt = Infinity
    run('end trial', endTrial(fingerprint, backendServer, identity.incarnation, result)).then((record) => {
      task.post({ kind: 'trialEnded', fingerprint, record })
    })
  }

  function handleTrialEnded (fingerprint: string, record: SuspectRecord | undefined): void {
    ownTrials.delete(fingerprint)
    if (record === undefined) return
    learn([record])
    reportToPeers([record])
  }

  /** Ends this instance's expired trials, and trials in the table that it does not run, for example after a lost reply. */
  function releaseOrphanedTrials (records: readonly SuspectRecord[]): void {
    const now = clock.now()
    for (const [fingerprint, { backendServer, expiresAt }] of ownTrials) {
      if (backendServer !== undefined && now > expiresAt) endOwnTrial(fingerprint, backendServer, 'notRun')
    }
    for (const { fingerprint, state, trialIncarnation, trialBackendServer } of records) {
      if (state !== SuspectState.ON_TRIAL || trialIncarnation !== identity.incarnation || ownTrials.has(fingerprint)) continue
      ownTrials.set(fingerprint, { backendServer: trialBackendServer, expiresAt: now })
      endOwnTrial(fingerprint, trialBackendServer, 'notRun')
    }
  }

  const task = startTask<Message>({
    name: 'quarantineTask',
    onError: (error, { kind }) => logger.error({ err: error, step: `quarantine task ${kind}` }, 'the quarantine task failed'),
    handle: (message) => {
      switch (message.kind) {
        case 'learn': return learn(message.records)
        case 'polled':
          learn(message.records)
          return releaseOrphanedTrials(message.records)
        case 'crash': return handleCrash(message.crash, message.onRecorded)
        case 'crashWritten': return handleCrashWritten(message.crash, message.trialFingerprint, message.records)
        case 'endTrial': return endOwnTrial(message.fingerprint, message.backendServer, message.result)
        case 'trialEnded': return handleTrialEnded(message.fingerprint, message.record)
      }
    }
  })
  const poll = startQuarantinePoll({
    platform,
    clock,
    logger,
    stopped: stopped.signal,
    run,
    refreshEvidence: evidence.refresh,
    mergeRecords: (records) => {
      task.post({ kind: 'polled', records })
      return suspects.all()
    }
  })

  return {
    admit: suspects.admit,
    startTrial: awaitTrial,
    endTrial: (fingerprint, backendServer) => task.post({ kind: 'endTrial', fingerprint, backendServer, result: 'passed' }),
    abandonTrial: (fingerprint, backendServer) => task.post({ kind: 'endTrial', fingerprint, backendServer, result: 'notRun' }),
    recordCrash: async (backendServer, fingerprints) => {
      const timer = new AbortController()
      const crash: ObservedCrash = { backendServer, fingerprints, failureDomain: evidence.failureDomain(backendServer), observedAt: clock.now() }
      const recorded = new Promise<void>((resolve) => task.post({ kind: 'crash', crash, onRecorded: resolve }))
      await Promise.race([recorded, clock.waitUntil(crash.observedAt + MAX_RECORD_WAIT_MS, timer.signal)]).finally(() => timer.abort())
    },
    receiveSuspects: (records) => task.post({ kind: 'learn', records }),
    recentSuspects: () => suspects.recent(clock.now()),
    stop: async () => {
      stopped.abort()
      await poll
    }
  }
}
