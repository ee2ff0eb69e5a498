import { create } from '@bufbuild/protobuf'
import { assertNever, type Decision } from '@quinceshunt/effects'
import { SuspectState, TrialRecordSchema, type SuspectRecord, type TrialRecord } from '@quinceshunt/schemas'
import { hasEarlierSuspect, evaluateTrial } from './recordCrash.js'
import { updateSuspect, rowDeletion, isOnTrialAt, isSuspected, laterSuspect, mergeNeighbours, decodeSuspect, decodeTrial, suspectKey, suspectWrite, trialKey, trialWrite, type StoredRecord } from './quarantineRecords.js'
import { readRows, readTime, transactRows, type StoreCommand } from './storeCommands.js'

/** Time before a suspect's trial, in which other instances' reports of the same crash and further crashes arrive. */
export const SETTLING_PERIOD_MS = 1500
/** A suspect held because of another suspect gets a new trial after this time if the other one was never sent again. */
const MAX_HOLD_MS = 600_000
/** A trial ends after this time, longer than any request's deadline, if the instance list doesn't show the holder's state. */
const MAX_TRIAL_DURATION_MS = 600_000

/** State of other processes as known to this instance, for trials whose holder may have died. */
export interface TrialEvidence {
  /** Whether peers or an instance list sufficiently newer than `since` (Unix milliseconds) show that the incarnation is gone. */
  holderIsGone (incarnation: string, since: number): boolean
  /** Whether this instance is starting, running or ending a trial of the fingerprint. */
  hasTrial (fingerprint: string): boolean
  /** Fingerprints of all suspects known to this instance. */
  suspectedFingerprints (): readonly string[]
  /** Incarnation of a backend server in the instance list; empty if unknown. */
  backendServerIncarnation (backendServer: string): string
}

export interface TrialRequest {
  readonly fingerprint: string
  /** Backend servers that may run the trial, in order of preference. */
  readonly candidates: readonly string[]
  readonly incarnation: string
  /** Record known to this instance; used if it is later than the row, for example because the row isn't written yet. */
  readonly known: SuspectRecord | undefined
  readonly evidence: TrialEvidence
}

/** Result of one attempt to start a trial; `record` is the suspect's current record. */
export type TrialStart =
  | { readonly kind: 'started', readonly backendServer: string, readonly record: SuspectRecord }
  /** Cleared or never recorded: the request runs normally. */
  | { readonly kind: 'cleared', readonly record: SuspectRecord | undefined }
  | { readonly kind: 'quarantined', readonly record: SuspectRecord }
  /** The trial can't start yet; retry later. */
  | { readonly kind: 'wait', readonly reason: 'settling' | 'onTrial' | 'held' | 'noFreeBackendServer' | 'store' }

const retryLater = (reason: Extract<TrialStart, { kind: 'wait' }>['reason']): TrialStart => ({ kind: 'wait', reason })

/** Makes one attempt to start a suspect's trial on a backend server that runs no other trial. */
export function * startTrial (request: TrialRequest): Decision<StoreCommand, TrialStart> {
  const { fingerprint, candidates } = request
  const reply = yield * readRows([suspectKey(fingerprint), ...candidates.map(trialKey)])
  if (reply.kind === 'unavailable') return retryLater('store')
  const stored = decodeSuspect(reply.rows[0]!)
  const record = laterSuspect(stored.record, request.known)
  if (record === undefined) return { kind: 'cleared', record }
  const suspect = { check: stored.check, record }
  switch (record.state) {
    case SuspectState.UNSPECIFIED:
    case SuspectState.CLEARED: return { kind: 'cleared', record }
    case SuspectState.QUARANTINED: return { kind: 'quarantined', record }
    case SuspectState.ON_TRIAL: {
      const index = candidates.indexOf(record.trialBackendServer)
      const isOwn = record === stored.record && record.trialIncarnation === request.incarnation
      if (isOwn && index >= 0) return yield * writeTrial(request, suspect, record.trialBackendServer, decodeTrial(reply.rows[index + 1]!), yield * readTime())
      yield * endExpiredTrial(request, record)
      return retryLater('onTrial')
    }
    case SuspectState.SUSPECT: break
    default: return assertNever(record.state)
  }
  const now = yield * readTime()
  if (BigInt(now) < record.updatedAt + BigInt(SETTLING_PERIOD_MS)) return retryLater('settling')
  if (record.neighbours.length > 0) {
    const resolution = yield * resolveHeldSuspect(suspect, now)
    if (resolution !== undefined) return resolution
  }
  for (const [index, backendServer] of candidates.entries()) {
    const trial = decodeTrial(reply.rows[index + 1]!)
    if (yield * isAvailable(request, backendServer, trial, now)) return yield * writeTrial(request, suspect, backendServer, trial, now)
  }
  return retryLater('noFreeBackendServer')
}

/** Decides whether a held suspect stays held or is quarantined; undefined if it may have another trial. */
function * resolveHeldSuspect (suspect: StoredRecord<SuspectRecord> & { readonly record: SuspectRecord }, now: number): Decision<StoreCommand, TrialStart | undefined> {
  const { record } = suspect
  const reply = yield * readRows(record.neighbours.map(suspectKey))
  if (reply.kind === 'unavailable') return retryLater('store')
  const neighbours = reply.rows.map((row) => decodeSuspect(row).record)
  if (neighbours.some((neighbour) => neighbour?.state === SuspectState.QUARANTINED)) return undefined
  if (neighbours.some(isSuspected)) return BigInt(now) < record.updatedAt + BigInt(MAX_HOLD_MS) ? retryLater('held') : undefined
  const quarantined = updateSuspect(record.fingerprint, record, now, { state: SuspectState.QUARANTINED })
  const outcome = yield * transactRows([suspect.check], [suspectWrite(quarantined)])
  return outcome.kind === 'applied' ? { kind: 'quarantined', record: quarantined } : retryLater('store')
}

/**
 * A trial row whose suspect is no longer on trial there is stale. After a crash it blocks the backend server for the
 * settling period, as other instances' reports of that crash find the suspect through it.
 */
function * isAvailable (request: TrialRequest, backendServer: string, trial: StoredRecord<TrialRecord>, now: number): Decision<StoreCommand, boolean> {
  if (trial.record === undefined) return true
  const reply = yield * readRows([suspectKey(trial.record.fingerprint)])
  if (reply.kind === 'unavailable') return false
  const { record } = decodeSuspect(reply.rows[0]!)
  const settledAt = record === undefined ? 0n : record.updatedAt + BigInt(SETTLING_PERIOD_MS)
  if (!isOnTrialAt(record, backendServer)) return BigInt(now) >= settledAt
  yield * endExpiredTrial(request, record)
  return false
}

/**
 * Ends a trial whose holder is gone. Elapsed time alone proves nothing, since the request of a paused holder still runs.
 * If the backend server has crashed or restarted meanwhile, that counts as a crash in the trial. Otherwise the result is
 * unknown: the suspect is neither cleared, since it may still crash a backend server, nor quarantined, since routers die
 * far more often than trials crash.
 */
function * endExpiredTrial (request: TrialRequest, record: SuspectRecord): Decision<StoreCommand, void> {
  const { trialBackendServer, trialIncarnation } = record
  const reply = yield * readRows([suspectKey(record.fingerprint), trialKey(trialBackendServer)])
  if (reply.kind === 'unavailable') return
  const suspect = decodeSuspect(reply.rows[0]!)
  const trial = decodeTrial(reply.rows[1]!)
  if (!isOnTrialAt(suspect.record, trialBackendServer) || suspect.record.trialIncarnation !== trialIncarnation) return
  const now = yield * readTime()
  const startedAt = Number(trial.record?.startedAt ?? suspect.record.updatedAt)
  const isOwn = trialIncarnation === request.incarnation
  if (isOwn && record.fingerprint !== request.fingerprint && request.evidence.hasTrial(record.fingerprint)) return
  if (!isOwn && now < startedAt + MAX_TRIAL_DURATION_MS && !request.evidence.holderIsGone(trialIncarnation, startedAt)) return
  const incarnation = request.evidence.backendServerIncarnation(trialBackendServer)
  const previousIncarnation = trial.record?.backendServerIncarnation ?? ''
  const restarted = incarnation !== '' && previousIncarnation !== '' && incarnation !== previousIncarnation
  const reported = (trial.record?.crashedAt ?? 0n) > 0n
  const crashed = !isOwn && (reported || restarted)
  const earlierSuspectReported = yield * hasEarlierSuspect(suspect.record.neighbours)
  if (earlierSuspectReported === undefined) return
  // A new incarnation alone doesn't tell what ran beside the trial: any suspect may have caused the crash.
  const neighbours = reported ? suspect.record.neighbours : mergeNeighbours(record.fingerprint, suspect.record.neighbours, request.evidence.suspectedFingerprints())
  const next = crashed
    ? evaluateTrial(suspect.record, neighbours, earlierSuspectReported, now)
    : updateSuspect(record.fingerprint, suspect.record, now, { state: SuspectState.SUSPECT, neighbours: [] })
  // After a crash the trial row stays: another instance's later report of that crash needs it to add neighbours.
  yield * transactRows([suspect.check, trial.check], crashed ? [suspectWrite(next)] : [suspectWrite(next), rowDeletion(trial.check.key)])
}

/**
 * Puts the suspect on trial. Also rewrites this instance's own trial row if its earlier write seemed lost: an earlier
 * decision to end that trial may still be in progress and must fail its version check.
 */
function * writeTrial (request: TrialRequest, suspect: StoredRecord<SuspectRecord>, backendServer: string, trial: StoredRecord<TrialRecord>, now: number): Decision<StoreCommand, TrialStart> {
  const { fingerprint, incarnation } = request
  const record = updateSuspect(fingerprint, suspect.record, now, { state: SuspectState.ON_TRIAL, trialIncarnation: incarnation, trialBackendServer: backendServer, neighbours: [] })
  const trialRecord = create(TrialRecordSchema, { fingerprint, incarnation, startedAt: BigInt(now), backendServerIncarnation: request.evidence.backendServerIncarnation(backendServer) })
  const outcome = yield * transactRows([suspect.check, trial.check], [suspectWrite(record), trialWrite(backendServer, trialRecord)])
  return outcome.kind === 'applied' ? { kind: 'started', backendServer, record } : retryLater('store')
}
