import { runDecision, startTask, type Decision } from '@quinceshunt/effects'
import { updateSuspect, endTrial, exemptSuspects, isSuspected, recordCrash, startTrial, type StoreCommand, type TrialResult, type TrialStart } from '@quinceshunt/requests'
import { SuspectState, type SuspectRecord } from '@quinceshunt/schemas'
import { createStoreRunner } from './storeRunner.js'
import { BURST_MILLISECONDS, exemptedFingerprints, type SeenCrash } from './quarantineExemptions.js'
import { createQuarantineEvidence } from './quarantineEvidence.js'
import { startQuarantinePoll } from './quarantinePoll.js'
import { createKnownSuspects } from './suspectCache.js'
import type { CreateQuarantineTask } from './taskContracts.js'

/** Trials started per second in the whole fleet, so that a large failure can't use up the table's writes. */
const FLEET_TRIALS_PER_SECOND = 100
const MILLISECONDS_PER_SECOND = 1000
/** Wait between attempts at a trial; news of the suspect ends it early. */
const TRIAL_RETRY_MILLISECONDS = 250
/** Longest time for one attempt at telling a peer. */
const REPORT_MILLISECONDS = 500
/** A peer that is not told goes on sending copies of a poison request until gossip reaches it. */
const REPORT_ATTEMPTS = 3
/** A crash whose rows are not written within this time is written in the background. */
const RECORD_WAIT_MILLISECONDS = 1000
/** A trial whose end is not reported this long after its request's deadline has ended without a result. */
const TRIAL_GRACE_MILLISECONDS = 5000

/** A trial that this instance starts, runs or ends. */
interface OwnTrial {
  backendServer: string | undefined
  /** Unix milliseconds after which it counts as ended. */
  lapsesAt: number
}

type Message =
  | { readonly kind: 'learn', readonly records: readonly SuspectRecord[] }
  | { readonly kind: 'polled', readonly records: readonly SuspectRecord[] }
  | { readonly kind: 'crash', readonly crash: SeenCrash, readonly recorded: () => void }
  | { readonly kind: 'crashWritten', readonly crash: SeenCrash, readonly records: readonly SuspectRecord[] }
  | { readonly kind: 'endTrial', readonly fingerprint: string, readonly backendServer: string, readonly result: TrialResult }
  | { readonly kind: 'trialEnded', readonly fingerprint: string, readonly record: SuspectRecord | undefined }

/** Starts the owner of suspect and quarantined fingerprints. */
export const createQuarantineTask: CreateQuarantineTask = ({ identity, platform, clock, logger, metrics }, peers) => {
  const suspects = createKnownSuspects()
  const ownTrials = new Map<string, OwnTrial>()
  /** Crash reports that are not in the table yet, by fingerprint. */
  const unwritten = new Map<string, number>()
  const stopped = new AbortController()
  const runStoreCommand = createStoreRunner(platform, clock, stopped.signal)
  const evidence = createQuarantineEvidence(platform.instances, peers, clock)
  let crashes: SeenCrash[] = []
  let nextTrialAt = 0
  let news = new AbortController()

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
    news.abort()
    news = new AbortController()
  }

  function report (records: readonly SuspectRecord[]): void {
    if (records.length === 0) return
    for (const { address, instanceId } of peers.peers()) {
      if (instanceId !== identity.instanceId) notifyPeer(address, records, REPORT_ATTEMPTS)
    }
  }

  /** Tells routers that the instance list names and gossip has not found yet, for example after a start. */
  async function reportToListed (records: readonly SuspectRecord[]): Promise<void> {
    await evidence.refresh()
    const known = new Set([identity.address, ...peers.peers().map(({ address }) => address)])
    for (const address of evidence.routerAddresses()) {
      if (!known.has(address)) notifyPeer(address, records, REPORT_ATTEMPTS)
    }
  }

  function notifyPeer (address: string, records: readonly SuspectRecord[], attempts: number): void {
    peers.client(address).reportSuspects({ suspects: [...records] }, { timeoutMs: REPORT_MILLISECONDS, signal: stopped.signal }).catch((error: unknown) => {
      if (stopped.signal.aborted) return
      logger.warn({ err: error, peer: address, step: 'report suspects', attemptsLeft: attempts - 1 }, 'a peer was not told of suspects')
      if (attempts > 1) notifyPeer(address, records, attempts - 1)
    })
  }

  function recordSeenCrash (crash: SeenCrash, recorded: () => void): void {
    metrics.count('backend_server_crashes_total')
    logger.warn({ backendServer: crash.backendServer, requests: crash.fingerprints.length, peers: peers.peers().length, step: 'record crash' }, 'a backend server crashed; its requests are suspects')
    crashes = [...crashes.filter(({ at }) => at > crash.at - 2 * BURST_MILLISECONDS), crash]
    const marks: SuspectRecord[] = []
    for (const fingerprint of new Set(crash.fingerprints)) {
      unwritten.set(fingerprint, (unwritten.get(fingerprint) ?? 0) + 1)
      const known = suspects.get(fingerprint)
      if (isSuspected(known) || known?.state === SuspectState.QUARANTINED) continue
      marks.push(updateSuspect(fingerprint, known, crash.at, { state: SuspectState.SUSPECT, crashCount: (known?.crashCount ?? 0) + 1 }))
    }
    learn(marks)
    report(marks)
    if (marks.length > 0) reportToListed(marks).catch((error: unknown) => logger.warn({ err: error, step: 'report suspects' }, 'listed routers were not told'))
    const { backendServer, fingerprints, at } = crash
    run('record crash', recordCrash({ backendServer, fingerprints, observedAt: at, incarnation: identity.incarnation })).then((records) => {
      if (records !== undefined) task.post({ kind: 'crashWritten', crash, records })
      recorded()
    })
  }

  function crashWritten (crash: SeenCrash, records: readonly SuspectRecord[]): void {
    for (const fingerprint of new Set(crash.fingerprints)) {
      const left = unwritten.get(fingerprint)! - 1
      if (left === 0) unwritten.delete(fingerprint)
      else unwritten.set(fingerprint, left)
      if (ownTrials.get(fingerprint)?.backendServer === crash.backendServer) ownTrials.delete(fingerprint)
    }
    learn(records)
    report(records)
    exempt(crash).catch((error: unknown) => logger.error({ err: error, step: 'exempt suspects' }, 'suspects of a correlated failure stay suspects'))
  }

  async function exempt (crash: SeenCrash): Promise<void> {
    await clock.waitUntil(crash.at + BURST_MILLISECONDS, stopped.signal)
    const fingerprints = exemptedFingerprints(crash, crashes)
    if (fingerprints.length === 0 || stopped.signal.aborted) return
    const records = await run('exempt suspects', exemptSuspects(fingerprints)) ?? []
    metrics.count('suspects_exempted_total', {}, records.length)
    task.post({ kind: 'learn', records })
    report(records)
  }

  /** The fleet's limit is shared evenly by the instances heard of. */
  function takeTrialAttempt (now: number): boolean {
    if (now < nextTrialAt) return false
    nextTrialAt = now + MILLISECONDS_PER_SECOND * (peers.peers().length + 1) / FLEET_TRIALS_PER_SECOND
    return true
  }

  async function waitForNews (deadline: number): Promise<void> {
    await clock.waitUntil(Math.min(deadline, clock.now() + TRIAL_RETRY_MILLISECONDS), AbortSignal.any([news.signal, stopped.signal]))
  }

  async function tryTrial (fingerprint: string, candidates: readonly string[], deadline: number): Promise<TrialStart | undefined> {
    if (ownTrials.has(fingerprint) || unwritten.has(fingerprint) || !takeTrialAttempt(clock.now())) return undefined
    const trial: OwnTrial = { backendServer: undefined, lapsesAt: deadline + TRIAL_GRACE_MILLISECONDS }
    ownTrials.set(fingerprint, trial)
    const hasTrial = (other: string): boolean => ownTrials.has(other)
    const start = await run('start trial', startTrial({ fingerprint, candidates, incarnation: identity.incarnation, known: suspects.get(fingerprint), evidence: { ...evidence, hasTrial } }))
    if (start?.kind === 'started') trial.backendServer = start.backendServer
    else ownTrials.delete(fingerprint)
    if (start !== undefined && start.kind !== 'wait' && start.record !== undefined) {
      learn([start.record])
      if (start.kind !== 'cleared') report([start.record])
    }
    return start
  }

  async function awaitTrial (fingerprint: string, candidates: readonly string[], deadline: number): Promise<string | undefined> {
    while (clock.now() < deadline && !stopped.signal.aborted) {
      const admission = suspects.admit(fingerprint)
      if (admission.kind === 'quarantined') return undefined
      if (admission.kind === 'admitted') return candidates[0]
      const start = await tryTrial(fingerprint, candidates, deadline)
      if (start?.kind === 'started') {
        metrics.count('trials_total')
        if (clock.now() < deadline) return start.backendServer
        task.post({ kind: 'endTrial', fingerprint, backendServer: start.backendServer, result: 'notRun' })
        return undefined
      }
      if (start?.kind === 'cleared') continue
      await waitForNews(deadline)
    }
    return undefined
  }

  function endOwnTrial (fingerprint: string, backendServer: string, result: TrialResult): void {
    const trial = ownTrials.get(fingerprint)
    if (trial?.backendServer !== backendServer || unwritten.has(fingerprint)) return
    trial.lapsesAt = Infinity
    run('end trial', endTrial(fingerprint, backendServer, identity.incarnation, result)).then((record) => {
      task.post({ kind: 'trialEnded', fingerprint, record })
    })
  }

  function trialEnded (fingerprint: string, record: SuspectRecord | undefined): void {
    ownTrials.delete(fingerprint)
    if (record === undefined) return
    learn([record])
    report([record])
  }

  /** Releases rows of this instance's trials that it does not run, for example after a lost reply. */
  function releaseStrayTrials (records: readonly SuspectRecord[]): void {
    const now = clock.now()
    for (const [fingerprint, { backendServer, lapsesAt }] of ownTrials) {
      if (backendServer !== undefined && now > lapsesAt) endOwnTrial(fingerprint, backendServer, 'notRun')
    }
    for (const { fingerprint, state, trialIncarnation, trialBackendServer } of records) {
      if (state !== SuspectState.ON_TRIAL || trialIncarnation !== identity.incarnation || ownTrials.has(fingerprint)) continue
      ownTrials.set(fingerprint, { backendServer: trialBackendServer, lapsesAt: now })
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
          return releaseStrayTrials(message.records)
        case 'crash': return recordSeenCrash(message.crash, message.recorded)
        case 'crashWritten': return crashWritten(message.crash, message.records)
        case 'endTrial': return endOwnTrial(message.fingerprint, message.backendServer, message.result)
        case 'trialEnded': return trialEnded(message.fingerprint, message.record)
      }
    }
  })
  const poll = startQuarantinePoll({
    platform,
    clock,
    logger,
    stopped: stopped.signal,
    run,
    refresh: evidence.refresh,
    learned: (records) => {
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
      const waited = new AbortController()
      const crash: SeenCrash = { backendServer, fingerprints, failureDomain: evidence.failureDomain(backendServer), at: clock.now() }
      const recorded = new Promise<void>((resolve) => task.post({ kind: 'crash', crash, recorded: resolve }))
      await Promise.race([recorded, clock.waitUntil(crash.at + RECORD_WAIT_MILLISECONDS, waited.signal)]).finally(() => waited.abort())
    },
    receiveSuspects: (records) => task.post({ kind: 'learn', records }),
    recentSuspects: () => suspects.recent(clock.now()),
    stop: async () => {
      stopped.abort()
      await poll
    }
  }
}
