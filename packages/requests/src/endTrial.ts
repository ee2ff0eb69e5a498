import { assertNever, type Decision } from '@quinceshunt/effects'
import { SuspectState, type SuspectRecord } from '@quinceshunt/schemas'
import { changeSuspect, deletion, isOnTrialAt, storedSuspect, storedTrial, suspectKey, suspectWrite, trialKey, type Stored } from './quarantineRecords.js'
import { longerWait, pause, readRows, readTime, transactRows, type StoreCommand } from './storeCommands.js'

/** `passed`: ended without a crash. `notRun`: never sent, or ended without showing anything; it stays a suspect. */
export type TrialResult = 'passed' | 'notRun'

const FIRST_RETRY_MILLISECONDS = 50
const LONGEST_RETRY_MILLISECONDS = 2000
/** Exempting is an optimisation and is given up after this many attempts; the suspects are then tried. */
const EXEMPTION_ATTEMPTS = 5

/** Ends this instance's trial, repeating until the store has answered; returns the record as it is then. */
export function * endTrial (fingerprint: string, backendServer: string, incarnation: string, result: TrialResult): Decision<StoreCommand, SuspectRecord | undefined> {
  let wait = FIRST_RETRY_MILLISECONDS
  for (;;) {
    const reply = yield * readRows([suspectKey(fingerprint), trialKey(backendServer)])
    if (reply.kind === 'rows') {
      const suspect = storedSuspect(reply.rows[0]!)
      const trial = storedTrial(reply.rows[1]!)
      if (!isOnTrialAt(suspect.record, backendServer) || suspect.record.trialIncarnation !== incarnation) return suspect.record
      const state = result === 'passed' ? SuspectState.CLEARED : SuspectState.SUSPECT
      const record = changeSuspect(fingerprint, suspect.record, yield * readTime(), { state, neighbours: [] })
      const outcome = yield * transactRows([suspect.check, trial.check], [suspectWrite(record), deletion(trial.check.key)])
      if (outcome.kind === 'applied') return record
    }
    yield * pause(wait)
    wait = longerWait(wait, LONGEST_RETRY_MILLISECONDS)
  }
}

/**
 * Clears suspects of a correlated failure. Only those with a single crash are cleared: a fingerprint that was in flight on
 * two crashed backend servers may be what they had in common.
 */
export function * exemptSuspects (fingerprints: readonly string[]): Decision<StoreCommand, readonly SuspectRecord[]> {
  let wait = FIRST_RETRY_MILLISECONDS
  for (let attempt = 0; attempt < EXEMPTION_ATTEMPTS; attempt++) {
    const reply = yield * readRows(fingerprints.map(suspectKey))
    if (reply.kind === 'rows') {
      const exempted = reply.rows.map(storedSuspect).filter(isExemptible)
      if (exempted.length === 0) return []
      const now = yield * readTime()
      const records = exempted.map(({ record }) => changeSuspect(record.fingerprint, record, now, { state: SuspectState.CLEARED }))
      const outcome = yield * transactRows(exempted.map(({ check }) => check), records.map(suspectWrite))
      switch (outcome.kind) {
        case 'applied': return records
        case 'conflict':
        case 'outcomeUnknown':
        case 'unavailable': break
        default: assertNever(outcome)
      }
    }
    yield * pause(wait)
    wait = longerWait(wait, LONGEST_RETRY_MILLISECONDS)
  }
  return []
}

function isExemptible (stored: Stored<SuspectRecord>): stored is Stored<SuspectRecord> & { readonly record: SuspectRecord } {
  return stored.record?.state === SuspectState.SUSPECT && stored.record.crashCount === 1
}

/**
 * Releases a quarantined fingerprint for another trial when one of its neighbours has been quarantined since: that
 * neighbour, not yet known as a suspect, explains the crash as well. Not when each names the other.
 */
export function * releaseExplained (quarantined: SuspectRecord, records: ReadonlyMap<string, SuspectRecord>): Decision<StoreCommand, SuspectRecord | undefined> {
  if (!isExplained(quarantined, records)) return undefined
  const reply = yield * readRows([suspectKey(quarantined.fingerprint)])
  if (reply.kind === 'unavailable') return undefined
  const stored = storedSuspect(reply.rows[0]!)
  if (stored.record === undefined || !isExplained(stored.record, records)) return undefined
  const record = changeSuspect(quarantined.fingerprint, stored.record, yield * readTime(), { state: SuspectState.SUSPECT, neighbours: [] })
  const outcome = yield * transactRows([stored.check], [suspectWrite(record)])
  return outcome.kind === 'applied' ? record : undefined
}

function isExplained (record: SuspectRecord, records: ReadonlyMap<string, SuspectRecord>): boolean {
  if (record.state !== SuspectState.QUARANTINED) return false
  return record.neighbours.some((fingerprint) => {
    const neighbour = records.get(fingerprint)
    return neighbour?.state === SuspectState.QUARANTINED && !neighbour.neighbours.includes(record.fingerprint)
  })
}
