import { assertNever, type Decision } from '@quinceshunt/effects'
import { SuspectState, type SuspectRecord } from '@quinceshunt/schemas'
import { updateSuspect, rowDeletion, isOnTrialAt, decodeSuspect, decodeTrial, suspectKey, suspectWrite, trialKey, type StoredRecord } from './quarantineRecords.js'
import { nextBackoff, sleep, readRows, readTime, transactRows, type StoreCommand } from './storeCommands.js'

/** `passed`: ended without a crash. `notRun`: never sent, or inconclusive; the fingerprint stays a suspect. */
export type TrialResult = 'passed' | 'notRun'

const INITIAL_RETRY_DELAY_MS = 50
const MAX_RETRY_DELAY_MS = 2000
/** Exemption is an optimization: after this many failed attempts the suspects go through trials instead. */
const MAX_EXEMPTION_ATTEMPTS = 5

/** Ends this instance's trial, retrying until the store confirms; returns the suspect's current record. */
export function * endTrial (fingerprint: string, backendServer: string, incarnation: string, result: TrialResult): Decision<StoreCommand, SuspectRecord | undefined> {
  let retryDelay = INITIAL_RETRY_DELAY_MS
  for (;;) {
    const reply = yield * readRows([suspectKey(fingerprint), trialKey(backendServer)])
    if (reply.kind === 'rows') {
      const suspect = decodeSuspect(reply.rows[0]!)
      const trial = decodeTrial(reply.rows[1]!)
      if (!isOnTrialAt(suspect.record, backendServer) || suspect.record.trialIncarnation !== incarnation) return suspect.record
      const state = result === 'passed' ? SuspectState.CLEARED : SuspectState.SUSPECT
      const record = updateSuspect(fingerprint, suspect.record, yield * readTime(), { state, neighbours: [] })
      const outcome = yield * transactRows([suspect.check, trial.check], [suspectWrite(record), rowDeletion(trial.check.key)])
      if (outcome.kind === 'applied') return record
    }
    yield * sleep(retryDelay)
    retryDelay = nextBackoff(retryDelay, MAX_RETRY_DELAY_MS)
  }
}

/**
 * Clears the suspects of a correlated failure, but only those with a single crash: a fingerprint in flight on two crashed
 * backend servers may be the common cause.
 */
export function * exemptSuspects (fingerprints: readonly string[]): Decision<StoreCommand, readonly SuspectRecord[]> {
  let retryDelay = INITIAL_RETRY_DELAY_MS
  for (let attempt = 0; attempt < MAX_EXEMPTION_ATTEMPTS; attempt++) {
    const reply = yield * readRows(fingerprints.map(suspectKey))
    if (reply.kind === 'rows') {
      const exemptible = reply.rows.map(decodeSuspect).filter(isExemptible)
      if (exemptible.length === 0) return []
      const now = yield * readTime()
      const records = exemptible.map(({ record }) => updateSuspect(record.fingerprint, record, now, { state: SuspectState.CLEARED }))
      const outcome = yield * transactRows(exemptible.map(({ check }) => check), records.map(suspectWrite))
      switch (outcome.kind) {
        case 'applied': return records
        case 'conflict':
        case 'outcomeUnknown':
        case 'unavailable': break
        default: assertNever(outcome)
      }
    }
    yield * sleep(retryDelay)
    retryDelay = nextBackoff(retryDelay, MAX_RETRY_DELAY_MS)
  }
  return []
}

function isExemptible (stored: StoredRecord<SuspectRecord>): stored is StoredRecord<SuspectRecord> & { readonly record: SuspectRecord } {
  return stored.record?.state === SuspectState.SUSPECT && stored.record.crashCount === 1
}

/**
 * Makes a quarantined fingerprint a suspect again if one of its neighbours has been quarantined since: that neighbour was
 * not yet a suspect, and may be the cause of the crash. Does nothing if each lists the other as a neighbour.
 */
export function * releaseExplainedQuarantine (quarantined: SuspectRecord, records: ReadonlyMap<string, SuspectRecord>): Decision<StoreCommand, SuspectRecord | undefined> {
  if (!hasAlternativeCause(quarantined, records)) return undefined
  const reply = yield * readRows([suspectKey(quarantined.fingerprint)])
  if (reply.kind === 'unavailable') return undefined
  const stored = decodeSuspect(reply.rows[0]!)
  if (stored.record === undefined || !hasAlternativeCause(stored.record, records)) return undefined
  const record = updateSuspect(quarantined.fingerprint, stored.record, yield * readTime(), { state: SuspectState.SUSPECT, neighbours: [] })
  const outcome = yield * transactRows([stored.check], [suspectWrite(record)])
  return outcome.kind === 'applied' ? record : undefined
}

function hasAlternativeCause (record: SuspectRecord, records: ReadonlyMap<string, SuspectRecord>): boolean {
  if (record.state !== SuspectState.QUARANTINED) return false
  return record.neighbours.some((fingerprint) => {
    const neighbour = records.get(fingerprint)
    return neighbour?.state === SuspectState.QUARANTINED && !neighbour.neighbours.includes(record.fingerprint)
  })
}
