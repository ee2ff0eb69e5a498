import { assertNever, type Decision } from '@quinceshunt/effects'
import type { Row } from '@quinceshunt/table-store'
import { ClaimState, type ClaimRecord, type RecordedAnswer } from '@quinceshunt/schemas'
import { claimWrite, decodeClaim, type ClaimIdentity } from './claimRecords.js'
import { getObject, longerWait, pause, readRows, readTime, transactRows, type StoreCommand, type TransactReply } from './storeCommands.js'

/** A store that refuses calls for this long is down: the caller is told so instead of waiting for its whole deadline. */
export const STORE_PATIENCE_MILLISECONDS = 1000
const FIRST_RETRY_MILLISECONDS = 50
const LONGEST_RETRY_MILLISECONDS = 500
/** Polls of another holder's claim start fast for short calls and slow down to spare the table's reads. */
const FIRST_POLL_MILLISECONDS = 100
const LONGEST_POLL_MILLISECONDS = 1000

/** Answer to an attempt to claim. */
export type AcquireResult =
  /** The row is `pending` with this attempt's nonce at this version; the request may be dispatched once. */
  | { readonly kind: 'claimed', readonly version: bigint }
  | { readonly kind: 'answered', readonly answer: RecordedAnswer }
  /** Sent earlier, outcome not known. */
  | { readonly kind: 'unknown' }
  /** The key was used with another body. */
  | { readonly kind: 'keyReused' }
  /** Another holder's claim was still pending at the deadline. */
  | { readonly kind: 'inProgress' }
  /** The answer was recorded, but its object could not be read until the deadline. */
  | { readonly kind: 'answerUnreadable' }
  /**
   * Not claimed and never sent by this attempt. `withdrawAt`: a write that checks this version may have taken effect or
   * may do so later; it must be withdrawn with `withdrawClaim`.
   */
  | { readonly kind: 'notClaimed', readonly reason: 'storeUnavailable' | 'deadline', readonly withdrawAt: bigint | undefined }

/** What the next round does, or the result. */
type Step =
  | { readonly kind: 'write', readonly expectedVersion: bigint }
  | { readonly kind: 'poll' }
  | { readonly kind: 'load', readonly answer: RecordedAnswer }
  | { readonly kind: 'done', readonly result: AcquireResult }

/** Claims a non-idempotent request, waits for another holder's answer, or says why neither is possible. */
export function * acquireClaim (claim: ClaimIdentity, deadline: number): Decision<StoreCommand, AcquireResult> {
  let step: Step = { kind: 'write', expectedVersion: 0n }
  let pollWait = FIRST_POLL_MILLISECONDS
  for (;;) {
    switch (step.kind) {
      case 'done': return step.result
      case 'load': return yield * loadAnswer(step.answer, deadline)
      case 'write':
        step = yield * writeClaim(claim, step.expectedVersion, deadline)
        break
      case 'poll':
        step = yield * pollClaim(claim, pollWait, deadline)
        pollWait = longerWait(pollWait, LONGEST_POLL_MILLISECONDS)
        break
      default: assertNever(step)
    }
  }
}

/**
 * Writes `pending` over a row of the expected version. After a lost reply the same write is repeated: at most one of the
 * copies can pass the version check, and a conflict shows by the nonce whether one did.
 */
function * writeClaim (claim: ClaimIdentity, expectedVersion: bigint, deadline: number): Decision<StoreCommand, Step> {
  const startedAt = yield * readTime()
  let outcomeKnown = true
  let wait = FIRST_RETRY_MILLISECONDS
  for (let now = startedAt; ; now = yield * readTime()) {
    const withdrawAt = outcomeKnown ? undefined : expectedVersion
    if (now >= deadline) return done({ kind: 'notClaimed', reason: 'deadline', withdrawAt })
    if (outcomeKnown && now >= startedAt + STORE_PATIENCE_MILLISECONDS) return done({ kind: 'notClaimed', reason: 'storeUnavailable', withdrawAt })
    const reply: TransactReply = yield * transactRows([{ key: claim.key, expectedVersion }], [claimWrite(claim, ClaimState.PENDING, now)])
    switch (reply.kind) {
      case 'applied': return yield * claimedUnlessLate(reply.versions[0]!, deadline)
      case 'conflict': return yield * evaluateRow(claim, reply.rows[0]!, deadline)
      case 'unavailable': break
      case 'outcomeUnknown':
        outcomeKnown = false
        break
      default: assertNever(reply)
    }
    yield * pause(wait, deadline)
    wait = longerWait(wait, LONGEST_RETRY_MILLISECONDS)
  }
}

function * pollClaim (claim: ClaimIdentity, wait: number, deadline: number): Decision<StoreCommand, Step> {
  if ((yield * readTime()) >= deadline) return done({ kind: 'inProgress' })
  yield * pause(wait, deadline)
  const reply = yield * readRows([claim.key])
  return reply.kind === 'rows' ? yield * evaluateRow(claim, reply.rows[0]!, deadline) : { kind: 'poll' }
}

function * evaluateRow (claim: ClaimIdentity, row: Row, deadline: number): Decision<StoreCommand, Step> {
  const record = decodeClaim(row)
  if (record === undefined) return { kind: 'write', expectedVersion: 0n }
  if (record.nonce === claim.nonce && record.state === ClaimState.PENDING) return yield * claimedUnlessLate(row.version, deadline)
  if (record.bodyHash !== claim.bodyHash) return done({ kind: 'keyReused' })
  return evaluateRecord(record, row.version)
}

/** Only a withdrawn claim may be taken; `pending` of another holder never is, however old it looks. */
function evaluateRecord (record: ClaimRecord, version: bigint): Step {
  switch (record.state) {
    case ClaimState.WITHDRAWN: return { kind: 'write', expectedVersion: version }
    case ClaimState.PENDING: return { kind: 'poll' }
    case ClaimState.COMPLETED:
      return record.answer === undefined ? done({ kind: 'unknown' }) : { kind: 'load', answer: record.answer }
    case ClaimState.UNKNOWN:
    case ClaimState.UNSPECIFIED: return done({ kind: 'unknown' })
    default: return assertNever(record.state)
  }
}

/** A claim that was confirmed after the deadline is not used: the caller may have been told that nothing ran. */
function * claimedUnlessLate (version: bigint, deadline: number): Decision<StoreCommand, Step> {
  const now = yield * readTime()
  return done(now < deadline ? { kind: 'claimed', version } : { kind: 'notClaimed', reason: 'deadline', withdrawAt: version })
}

function * loadAnswer (answer: RecordedAnswer, deadline: number): Decision<StoreCommand, AcquireResult> {
  if (answer.objectName === '') return { kind: 'answered', answer }
  let wait = FIRST_RETRY_MILLISECONDS
  do {
    const reply = yield * getObject(answer.objectName)
    if (reply.kind === 'found') return { kind: 'answered', answer: { ...answer, body: reply.content } }
    if (reply.kind === 'absent') return { kind: 'answerUnreadable' }
    yield * pause(wait, deadline)
    wait = longerWait(wait, LONGEST_RETRY_MILLISECONDS)
  } while ((yield * readTime()) < deadline)
  return { kind: 'answerUnreadable' }
}

function done (result: AcquireResult): Step {
  return { kind: 'done', result }
}
