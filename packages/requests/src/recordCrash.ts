import { create } from '@bufbuild/protobuf'
import { assertNever, type Decision } from '@quinceshunt/effects'
import type { RowCheck, RowWrite } from '@quinceshunt/table-store'
import { SuspectState, TrialRecordSchema, type SuspectRecord, type TrialRecord } from '@quinceshunt/schemas'
import { updateSuspect, isSuspected, mergeNeighbours, decodeSuspect, decodeTrial, suspectKey, suspectWrite, trialKey, trialWrite, type StoredRecord } from './quarantineRecords.js'
import { nextBackoff, sleep, readRows, readTime, transactRows, type StoreCommand } from './storeCommands.js'

/** Suspects written in one transaction. */
const MAX_BATCH_SUSPECTS = 50
/** Reports of different instances within this time describe the same crash. */
const SAME_CRASH_WINDOW_MS = 2000
const INITIAL_RETRY_DELAY_MS = 50
const MAX_RETRY_DELAY_MS = 2000

/** Crash of a backend server as observed by one instance. */
export interface CrashReport {
  readonly backendServer: string
  /** Fingerprints of this instance's requests that were in flight there. */
  readonly fingerprints: readonly string[]
  /** Fingerprint of this instance's request that was on trial there when it crashed; undefined if none was. */
  readonly trialFingerprint: string | undefined
  /** Incarnation of the reporting instance. */
  readonly incarnation: string
  /** Unix milliseconds; the report does not affect a trial that started later. */
  readonly observedAt: number
}

/** Rows that a crash report affects. */
interface CrashRows {
  readonly trial: StoredRecord<TrialRecord>
  readonly onTrial: StoredRecord<SuspectRecord> | undefined
  readonly suspects: ReadonlyMap<string, StoredRecord<SuspectRecord>>
  /** Whether another instance reported that an earlier suspect was in flight together with the request on trial. */
  readonly earlierSuspectReported: boolean
}

/** Records a crash in the rows of the suspects, retrying until the store confirms; returns the suspects' records. */
export function * recordCrash (report: CrashReport): Decision<StoreCommand, readonly SuspectRecord[]> {
  const fingerprints = [...new Set(report.fingerprints)]
  const changed: SuspectRecord[] = []
  for (let start = 0; start < fingerprints.length; start += MAX_BATCH_SUSPECTS) {
    changed.push(...yield * recordBatch(report, fingerprints.slice(start, start + MAX_BATCH_SUSPECTS)))
  }
  return changed
}

function * recordBatch (report: CrashReport, batch: readonly string[]): Decision<StoreCommand, readonly SuspectRecord[]> {
  let retryDelay = INITIAL_RETRY_DELAY_MS
  let attempted: readonly SuspectRecord[] = []
  for (;;) {
    const rows = yield * readCrashRows(report.backendServer, batch)
    if (rows !== undefined && attempted.length > 0 && attempted.every((record) => isApplied(record, rows))) return attempted
    if (rows !== undefined) {
      const { checks, writes, records } = evaluateCrash(report, batch, rows, yield * readTime())
      if (writes.length === 0) return records
      const reply = yield * transactRows(checks, writes)
      switch (reply.kind) {
        case 'applied': return records
        case 'outcomeUnknown':
          attempted = records
          break
        case 'conflict':
        case 'unavailable': break
        default: assertNever(reply)
      }
    }
    yield * sleep(retryDelay)
    retryDelay = nextBackoff(retryDelay, MAX_RETRY_DELAY_MS)
  }
}

/**
 * Whether one write of a transaction whose reply was lost took effect. Only all writes together prove the transaction: another
 * instance's report of the same crash may write an equal record in the same millisecond. A write that has been overwritten since is
 * not recognized, so the crash counts twice; that is harmless, because the count alone never quarantines.
 */
function isApplied (record: SuspectRecord, rows: CrashRows): boolean {
  const stored = rows.suspects.get(record.fingerprint)?.record
  return stored?.updatedAt === record.updatedAt && stored.state === record.state && stored.crashCount === record.crashCount
}

function * readCrashRows (backendServer: string, batch: readonly string[]): Decision<StoreCommand, CrashRows | undefined> {
  const reply = yield * readRows([trialKey(backendServer), ...batch.map(suspectKey)])
  if (reply.kind === 'unavailable') return undefined
  const trial = decodeTrial(reply.rows[0]!)
  const suspects = new Map(batch.map((fingerprint, index) => [fingerprint, decodeSuspect(reply.rows[index + 1]!)]))
  const trialFingerprint = trial.record?.fingerprint
  if (trialFingerprint === undefined || trialFingerprint === '') return { trial, suspects, onTrial: undefined, earlierSuspectReported: false }
  let onTrial = suspects.get(trialFingerprint)
  if (onTrial === undefined) {
    const trialSuspectReply = yield * readRows([suspectKey(trialFingerprint)])
    if (trialSuspectReply.kind === 'unavailable') return undefined
    onTrial = decodeSuspect(trialSuspectReply.rows[0]!)
  }
  const earlierSuspectReported = yield * hasEarlierSuspect(onTrial.record?.neighbours ?? [])
  return earlierSuspectReported === undefined ? undefined : { trial, suspects, onTrial, earlierSuspectReported }
}

/**
 * Whether a neighbour of a crashed trial was a suspect before that crash. The crash itself has already been counted, so
 * an earlier suspect has a count of at least 2, as has a quarantined one. Undefined if the store can't be read.
 */
export function * hasEarlierSuspect (neighbours: readonly string[]): Decision<StoreCommand, boolean | undefined> {
  if (neighbours.length === 0) return false
  const reply = yield * readRows(neighbours.map(suspectKey))
  if (reply.kind === 'unavailable') return undefined
  return reply.rows.some((row) => {
    const { record } = decodeSuspect(row)
    return isLikelyCause(record) && (record?.crashCount ?? 0) > 1
  })
}

/** Whether a request is as likely a cause as the one on trial: it is a suspect, or was quarantined after it was sent. */
function isLikelyCause (record: SuspectRecord | undefined): boolean {
  return isSuspected(record) || record?.state === SuspectState.QUARANTINED
}

/** Computes the writes for a crash from the current rows, without side effects. */
function evaluateCrash (report: CrashReport, batch: readonly string[], rows: CrashRows, now: number): { checks: RowCheck[], writes: RowWrite[], records: SuspectRecord[] } {
  const onTrialRecord = affectsTrial(report, rows) ? rows.onTrial?.record : undefined
  const checks: RowCheck[] = [rows.trial.check]
  const writes: RowWrite[] = []
  const records: SuspectRecord[] = []
  const addChange = (stored: StoredRecord<SuspectRecord>, record: SuspectRecord): void => {
    checks.push(stored.check)
    writes.push(suspectWrite(record))
    records.push(record)
  }

  for (const [fingerprint, stored] of rows.suspects) {
    if (fingerprint === onTrialRecord?.fingerprint) continue
    if (stored.record?.state === SuspectState.QUARANTINED) records.push(stored.record)
    else addChange(stored, countCrash(fingerprint, stored.record, now))
  }
  if (rows.onTrial === undefined || onTrialRecord === undefined) {
    // A trial start that was composed before the crash must conflict: its request did not run when the backend server crashed.
    if (writes.length > 0) writes.push(trialWrite(report.backendServer, rows.trial.record ?? create(TrialRecordSchema)))
    return { checks, writes, records }
  }

  const otherSuspectInFlight = [...rows.suspects].some(([fingerprint, { record }]) => fingerprint !== onTrialRecord.fingerprint && isLikelyCause(record))
  const neighbours = mergeNeighbours(onTrialRecord.fingerprint, onTrialRecord.neighbours, report.fingerprints)
  const held = onTrialRecord.state === SuspectState.SUSPECT || otherSuspectInFlight
  if (onTrialRecord.state !== SuspectState.ON_TRIAL) {
    // Already evaluated from another instance's report of the same crash; this report can only add another likely cause.
    addChange(rows.onTrial, updateSuspect(onTrialRecord.fingerprint, onTrialRecord, now, { state: held ? SuspectState.SUSPECT : SuspectState.QUARANTINED, neighbours }))
  } else if (onTrialRecord.trialIncarnation === report.incarnation) {
    addChange(rows.onTrial, evaluateTrial(onTrialRecord, neighbours, otherSuspectInFlight || rows.earlierSuspectReported, now))
  } else {
    // Only the holder knows whether its trial was running at that moment; the report is kept in case the holder has died.
    addChange(rows.onTrial, updateSuspect(onTrialRecord.fingerprint, onTrialRecord, now, { neighbours }))
    const trial = rows.trial.record ?? create(TrialRecordSchema)
    // A crash in the millisecond in which the trial started may have come before it, so that it shows neighbours but no crash of the trial.
    writes.push(trialWrite(report.backendServer, BigInt(report.observedAt) > trial.startedAt ? { ...trial, crashedAt: BigInt(now) } : trial))
  }
  return { checks, writes, records }
}

/** Whether the trial was running when the backend server crashed, or was evaluated from another report of the same crash. */
function affectsTrial ({ backendServer, incarnation, observedAt, trialFingerprint }: CrashReport, { onTrial, trial }: CrashRows): boolean {
  const record = onTrial?.record
  if (record?.trialBackendServer !== backendServer || trial.record === undefined || BigInt(observedAt) < trial.record.startedAt) return false
  // The holder knows whether its trial was running. Times don't tell: an earlier copy may crash in the millisecond in which the trial starts.
  if (record.state === SuspectState.ON_TRIAL) return record.trialIncarnation !== incarnation || record.fingerprint === trialFingerprint
  const evaluated = record.state === SuspectState.QUARANTINED || (record.state === SuspectState.SUSPECT && record.neighbours.length > 0)
  return evaluated && BigInt(observedAt) <= record.updatedAt + BigInt(SAME_CRASH_WINDOW_MS)
}

function countCrash (fingerprint: string, record: SuspectRecord | undefined, now: number): SuspectRecord {
  const crashCount = (record?.crashCount ?? 0) + 1
  if (isSuspected(record)) return updateSuspect(fingerprint, record, now, { crashCount })
  return updateSuspect(fingerprint, record, now, { crashCount, state: SuspectState.SUSPECT, neighbours: [], trialIncarnation: '', trialBackendServer: '' })
}

/**
 * A crash during a trial quarantines the fingerprint, unless another suspect, sent before it was suspected, was in flight
 * there too. In that case the fingerprint is held, neither run nor quarantined, until its neighbours' trials are decided.
 */
export function evaluateTrial (onTrial: SuspectRecord, neighbours: readonly string[], otherSuspectInFlight: boolean, now: number): SuspectRecord {
  const state = otherSuspectInFlight ? SuspectState.SUSPECT : SuspectState.QUARANTINED
  return updateSuspect(onTrial.fingerprint, onTrial, now, { crashCount: onTrial.crashCount + 1, state, neighbours: [...neighbours] })
}
