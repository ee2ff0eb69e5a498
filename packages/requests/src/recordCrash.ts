import { create } from '@bufbuild/protobuf'
import { assertNever, type Decision } from '@quinceshunt/effects'
import type { RowCheck, RowWrite } from '@quinceshunt/table-store'
import { SuspectState, TrialRecordSchema, type SuspectRecord, type TrialRecord } from '@quinceshunt/schemas'
import { changeSuspect, isSuspected, joinNeighbours, storedSuspect, storedTrial, suspectKey, suspectWrite, trialKey, trialWrite, type Stored } from './quarantineRecords.js'
import { longerWait, pause, readRows, readTime, transactRows, type StoreCommand } from './storeCommands.js'

/** Rows that one transaction changes, at most. */
const BATCH_ROWS = 50
/** Instances notice one crash within this time of each other. */
const SAME_CRASH_MILLISECONDS = 2000
const FIRST_RETRY_MILLISECONDS = 50
const LONGEST_RETRY_MILLISECONDS = 2000

/** A crash of a backend server as one instance saw it. */
export interface CrashReport {
  readonly backendServer: string
  /** Fingerprints of this instance's requests that were in flight there. */
  readonly fingerprints: readonly string[]
  /** Incarnation of the reporting instance. */
  readonly incarnation: string
  /** When the crash was seen, Unix milliseconds; a trial that started later is not concerned. */
  readonly at: number
}

/** Rows that a report concerns, as read in one go. */
interface CrashRows {
  readonly trial: Stored<TrialRecord>
  readonly onTrial: Stored<SuspectRecord> | undefined
  readonly suspects: ReadonlyMap<string, Stored<SuspectRecord>>
  /** Whether other instances reported an earlier suspect beside the request on trial. */
  readonly suspectReported: boolean
}

/** Writes a crash into the suspects' rows, repeating until the store has answered; returns the changed records. */
export function * recordCrash (report: CrashReport): Decision<StoreCommand, readonly SuspectRecord[]> {
  const fingerprints = [...new Set(report.fingerprints)]
  const changed: SuspectRecord[] = []
  for (let start = 0; start < fingerprints.length; start += BATCH_ROWS) {
    changed.push(...yield * recordBatch(report, fingerprints.slice(start, start + BATCH_ROWS)))
  }
  return changed
}

function * recordBatch (report: CrashReport, batch: readonly string[]): Decision<StoreCommand, readonly SuspectRecord[]> {
  let wait = FIRST_RETRY_MILLISECONDS
  let attempted: readonly SuspectRecord[] = []
  for (;;) {
    const rows = yield * readCrashRows(report.backendServer, batch)
    if (rows !== undefined && attempted.some((record) => isWritten(record, rows))) return attempted
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
    yield * pause(wait)
    wait = longerWait(wait, LONGEST_RETRY_MILLISECONDS)
  }
}

/**
 * Whether a transaction whose reply was lost took effect. A write that others have overwritten since is not recognised and
 * counts twice, which is harmless: counts alone don't quarantine.
 */
function isWritten (record: SuspectRecord, rows: CrashRows): boolean {
  const stored = rows.suspects.get(record.fingerprint)?.record
  return stored?.updatedAt === record.updatedAt && stored.state === record.state && stored.crashCount === record.crashCount
}

function * readCrashRows (backendServer: string, batch: readonly string[]): Decision<StoreCommand, CrashRows | undefined> {
  const reply = yield * readRows([trialKey(backendServer), ...batch.map(suspectKey)])
  if (reply.kind === 'unavailable') return undefined
  const trial = storedTrial(reply.rows[0]!)
  const suspects = new Map(batch.map((fingerprint, index) => [fingerprint, storedSuspect(reply.rows[index + 1]!)]))
  const trialFingerprint = trial.record?.fingerprint
  if (trialFingerprint === undefined) return { trial, suspects, onTrial: undefined, suspectReported: false }
  let onTrial = suspects.get(trialFingerprint)
  if (onTrial === undefined) {
    const trialSuspectReply = yield * readRows([suspectKey(trialFingerprint)])
    if (trialSuspectReply.kind === 'unavailable') return undefined
    onTrial = storedSuspect(trialSuspectReply.rows[0]!)
  }
  const suspectReported = yield * anySuspectedBefore(onTrial.record?.neighbours ?? [])
  return suspectReported === undefined ? undefined : { trial, suspects, onTrial, suspectReported }
}

/**
 * Whether one of the neighbours of a crashed trial was a suspect before that crash, which has been counted for it: its
 * count is then at least 2, as is that of a quarantined one. Undefined when the store can't be read.
 */
export function * anySuspectedBefore (neighbours: readonly string[]): Decision<StoreCommand, boolean | undefined> {
  if (neighbours.length === 0) return false
  const reply = yield * readRows(neighbours.map(suspectKey))
  if (reply.kind === 'unavailable') return undefined
  return reply.rows.some((row) => {
    const { record } = storedSuspect(row)
    return explains(record) && (record?.crashCount ?? 0) > 1
  })
}

/** Whether another request in flight is as likely a cause as the request on trial: a suspect, or quarantined since it was sent. */
function explains (record: SuspectRecord | undefined): boolean {
  return isSuspected(record) || record?.state === SuspectState.QUARANTINED
}

/** Pure core: what a crash changes, given the rows as they are. */
function evaluateCrash (report: CrashReport, batch: readonly string[], rows: CrashRows, now: number): { checks: RowCheck[], writes: RowWrite[], records: SuspectRecord[] } {
  const onTrialRecord = concernsTrial(report, rows) ? rows.onTrial?.record : undefined
  const checks: RowCheck[] = [rows.trial.check]
  const writes: RowWrite[] = []
  const records: SuspectRecord[] = []
  const change = (stored: Stored<SuspectRecord>, record: SuspectRecord): void => {
    checks.push(stored.check)
    writes.push(suspectWrite(record))
    records.push(record)
  }

  for (const [fingerprint, stored] of rows.suspects) {
    if (fingerprint === onTrialRecord?.fingerprint) continue
    if (stored.record?.state === SuspectState.QUARANTINED) records.push(stored.record)
    else change(stored, countCrash(fingerprint, stored.record, now))
  }
  if (rows.onTrial === undefined || onTrialRecord === undefined) return { checks, writes, records }

  const suspectedBeside = [...rows.suspects].some(([fingerprint, { record }]) => fingerprint !== onTrialRecord.fingerprint && explains(record))
  const neighbours = joinNeighbours(onTrialRecord.fingerprint, onTrialRecord.neighbours, report.fingerprints)
  const held = onTrialRecord.state === SuspectState.SUSPECT || suspectedBeside
  if (onTrialRecord.state !== SuspectState.ON_TRIAL) {
    // Evaluated already from another instance's report of the same crash: this report can only add another explanation.
    change(rows.onTrial, changeSuspect(onTrialRecord.fingerprint, onTrialRecord, now, { state: held ? SuspectState.SUSPECT : SuspectState.QUARANTINED, neighbours }))
  } else if (onTrialRecord.trialIncarnation === report.incarnation && batch.includes(onTrialRecord.fingerprint)) {
    change(rows.onTrial, evaluateTrial(onTrialRecord, neighbours, suspectedBeside || rows.suspectReported, now))
  } else {
    // Only the holder knows whether its trial was running at that moment; this is evidence in case the holder has died.
    change(rows.onTrial, changeSuspect(onTrialRecord.fingerprint, onTrialRecord, now, { neighbours }))
    writes.push(trialWrite(report.backendServer, { ...(rows.trial.record ?? create(TrialRecordSchema)), crashedAt: BigInt(now) }))
  }
  return { checks, writes, records }
}

/** A trial there that was running when the backend server crashed, or was evaluated from another report of the same crash. */
function concernsTrial ({ backendServer, at }: CrashReport, { onTrial, trial }: CrashRows): boolean {
  const record = onTrial?.record
  if (record?.trialBackendServer !== backendServer || trial.record === undefined || BigInt(at) < trial.record.startedAt) return false
  if (record.state === SuspectState.ON_TRIAL) return true
  const evaluated = record.state === SuspectState.QUARANTINED || (record.state === SuspectState.SUSPECT && record.neighbours.length > 0)
  return evaluated && BigInt(at) <= record.updatedAt + BigInt(SAME_CRASH_MILLISECONDS)
}

function countCrash (fingerprint: string, record: SuspectRecord | undefined, now: number): SuspectRecord {
  const crashCount = (record?.crashCount ?? 0) + 1
  if (isSuspected(record)) return changeSuspect(fingerprint, record, now, { crashCount })
  return changeSuspect(fingerprint, record, now, { crashCount, state: SuspectState.SUSPECT, neighbours: [], trialIncarnation: '', trialBackendServer: '' })
}

/**
 * A crash in a trial quarantines, unless another suspect was in flight there as well, left over from before it was
 * suspected. Then the request on trial is held, neither run nor quarantined, until its neighbours' own trials decide between them.
 */
export function evaluateTrial (onTrial: SuspectRecord, neighbours: readonly string[], suspectedBeside: boolean, now: number): SuspectRecord {
  const state = suspectedBeside ? SuspectState.SUSPECT : SuspectState.QUARANTINED
  return changeSuspect(onTrial.fingerprint, onTrial, now, { crashCount: onTrial.crashCount + 1, state, neighbours: [...neighbours] })
}
