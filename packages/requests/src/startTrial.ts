import { create } from '@bufbuild/protobuf'
import { assertNever, type Decision } from '@quinceshunt/effects'
import { SuspectState, TrialRecordSchema, type SuspectRecord, type TrialRecord } from '@quinceshunt/schemas'
import { anySuspectedBefore, evaluateTrial } from './recordCrash.js'
import { changeSuspect, deletion, isOnTrialAt, isSuspected, laterSuspect, storedSuspect, storedTrial, suspectKey, suspectWrite, trialKey, trialWrite, type Stored } from './quarantineRecords.js'
import { readRows, readTime, transactRows, type StoreCommand } from './storeCommands.js'

/** A suspect rests for this long, so that other instances' reports of the same crash and further crashes come in first. */
export const SETTLE_MILLISECONDS = 1500
/** A suspect whose trial crashed beside another suspect is tried again after this time when that one was never resent. */
const HOLD_MILLISECONDS = 600_000
/** Without evidence from the instance list, a trial ends after this time, longer than any request's deadline. */
const LONGEST_TRIAL_MILLISECONDS = 600_000

/** What this instance knows of other processes, for trials whose holder may have died. */
export interface TrialEvidence {
  /** Whether the instance list shows, well after this time, that the incarnation is gone. */
  holderIsGone (incarnation: string, since: number): boolean
  /** Whether this instance starts, runs or ends a trial of the fingerprint. */
  hasTrial (fingerprint: string): boolean
  /** Incarnation of a backend server in the instance list; empty when not known. */
  backendServerIncarnation (backendServer: string): string
}

/** A suspect to be tried. */
export interface TrialRequest {
  readonly fingerprint: string
  /** Backend servers that may run it, best first. */
  readonly candidates: readonly string[]
  readonly incarnation: string
  /** What this instance knows of it; counts when it is later than the row, for example because the row isn't written yet. */
  readonly known: SuspectRecord | undefined
  readonly evidence: TrialEvidence
}

/** Answer to one attempt at starting a trial; `record` is the suspect's record as it is now. */
export type TrialStart =
  | { readonly kind: 'started', readonly backendServer: string, readonly record: SuspectRecord }
  /** Cleared or never recorded: it runs like any request. */
  | { readonly kind: 'cleared', readonly record: SuspectRecord | undefined }
  | { readonly kind: 'quarantined', readonly record: SuspectRecord }
  /** Not now; try again later. */
  | { readonly kind: 'wait', readonly reason: 'settling' | 'onTrial' | 'held' | 'noFreeBackendServer' | 'store' }

const wait = (reason: Extract<TrialStart, { kind: 'wait' }>['reason']): TrialStart => ({ kind: 'wait', reason })

/** Tries once to put a suspect on trial on a backend server that runs no other suspect. */
export function * startTrial (request: TrialRequest): Decision<StoreCommand, TrialStart> {
  const { fingerprint, candidates } = request
  const reply = yield * readRows([suspectKey(fingerprint), ...candidates.map(trialKey)])
  if (reply.kind === 'unavailable') return wait('store')
  const stored = storedSuspect(reply.rows[0]!)
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
      if (isOwn && index >= 0) return yield * writeTrial(request, suspect, record.trialBackendServer, storedTrial(reply.rows[index + 1]!), yield * readTime())
      yield * endLapsedTrial(request, record)
      return wait('onTrial')
    }
    case SuspectState.SUSPECT: break
    default: return assertNever(record.state)
  }
  const now = yield * readTime()
  if (BigInt(now) < record.updatedAt + BigInt(SETTLE_MILLISECONDS)) return wait('settling')
  if (record.neighbours.length > 0) {
    const verdict = yield * decideHeld(suspect, now)
    if (verdict !== undefined) return verdict
  }
  for (const [index, backendServer] of candidates.entries()) {
    const trial = storedTrial(reply.rows[index + 1]!)
    if (yield * isFree(request, backendServer, trial)) return yield * writeTrial(request, suspect, backendServer, trial, now)
  }
  return wait('noFreeBackendServer')
}

/** Undefined when the suspect may be tried again. */
function * decideHeld (suspect: Stored<SuspectRecord> & { readonly record: SuspectRecord }, now: number): Decision<StoreCommand, TrialStart | undefined> {
  const { record } = suspect
  const reply = yield * readRows(record.neighbours.map(suspectKey))
  if (reply.kind === 'unavailable') return wait('store')
  const neighbours = reply.rows.map((row) => storedSuspect(row).record)
  if (neighbours.some((neighbour) => neighbour?.state === SuspectState.QUARANTINED)) return undefined
  if (neighbours.some(isSuspected)) return BigInt(now) < record.updatedAt + BigInt(HOLD_MILLISECONDS) ? wait('held') : undefined
  const quarantined = changeSuspect(record.fingerprint, record, now, { state: SuspectState.QUARANTINED })
  const outcome = yield * transactRows([suspect.check], [suspectWrite(quarantined)])
  return outcome.kind === 'applied' ? { kind: 'quarantined', record: quarantined } : wait('store')
}

/** A trial row whose suspect is not on trial there any more is left over and does not block. */
function * isFree (request: TrialRequest, backendServer: string, trial: Stored<TrialRecord>): Decision<StoreCommand, boolean> {
  if (trial.record === undefined) return true
  const reply = yield * readRows([suspectKey(trial.record.fingerprint)])
  if (reply.kind === 'unavailable') return false
  const { record } = storedSuspect(reply.rows[0]!)
  if (!isOnTrialAt(record, backendServer)) return true
  yield * endLapsedTrial(request, record)
  return false
}

/**
 * Ends a trial whose holder is gone. Time alone is no evidence, since a paused holder's request still runs. When the
 * backend server crashed or restarted meanwhile, it counts as a crash in the trial. Otherwise the result is unknown: the
 * suspect is neither cleared, since it may still crash a backend server, nor quarantined, since routers die far more
 * often than trials crash.
 */
function * endLapsedTrial (request: TrialRequest, record: SuspectRecord): Decision<StoreCommand, void> {
  const { trialBackendServer, trialIncarnation } = record
  const reply = yield * readRows([suspectKey(record.fingerprint), trialKey(trialBackendServer)])
  if (reply.kind === 'unavailable') return
  const suspect = storedSuspect(reply.rows[0]!)
  const trial = storedTrial(reply.rows[1]!)
  if (!isOnTrialAt(suspect.record, trialBackendServer) || suspect.record.trialIncarnation !== trialIncarnation) return
  const now = yield * readTime()
  const startedAt = Number(trial.record?.startedAt ?? suspect.record.updatedAt)
  const isOwn = trialIncarnation === request.incarnation
  if (isOwn && record.fingerprint !== request.fingerprint && request.evidence.hasTrial(record.fingerprint)) return
  if (!isOwn && now < startedAt + LONGEST_TRIAL_MILLISECONDS && !request.evidence.holderIsGone(trialIncarnation, startedAt)) return
  const incarnation = request.evidence.backendServerIncarnation(trialBackendServer)
  const before = trial.record?.backendServerIncarnation ?? ''
  const restarted = incarnation !== '' && before !== '' && incarnation !== before
  const crashed = !isOwn && ((trial.record?.crashedAt ?? 0n) > 0n || restarted)
  const suspectReported = yield * anySuspectedBefore(suspect.record.neighbours)
  if (suspectReported === undefined) return
  const next = crashed
    ? evaluateTrial(suspect.record, suspect.record.neighbours, suspectReported, now)
    : changeSuspect(record.fingerprint, suspect.record, now, { state: SuspectState.SUSPECT, neighbours: [] })
  yield * transactRows([suspect.check, trial.check], [suspectWrite(next), deletion(trial.check.key)])
}

/**
 * Puts the suspect on trial. Over an own row, whose write was taken for lost, this is a new write: an older decision to
 * end that trial may still be under way and must fail its version check.
 */
function * writeTrial (request: TrialRequest, suspect: Stored<SuspectRecord>, backendServer: string, trial: Stored<TrialRecord>, now: number): Decision<StoreCommand, TrialStart> {
  const { fingerprint, incarnation } = request
  const record = changeSuspect(fingerprint, suspect.record, now, { state: SuspectState.ON_TRIAL, trialIncarnation: incarnation, trialBackendServer: backendServer, neighbours: [] })
  const running = create(TrialRecordSchema, { fingerprint, incarnation, startedAt: BigInt(now), backendServerIncarnation: request.evidence.backendServerIncarnation(backendServer) })
  const outcome = yield * transactRows([suspect.check, trial.check], [suspectWrite(record), trialWrite(backendServer, running)])
  return outcome.kind === 'applied' ? { kind: 'started', backendServer, record } : wait('store')
}
