import { assertNever, type Decision } from '@quinceshunt/effects'
import type { Row } from '@quinceshunt/table-store'
import { ClaimState, type ClaimRecord, type RecordedAnswer } from '@quinceshunt/schemas'
import { claimWrite, decodeClaim, type ClaimIdentity } from './claimRecords.js'
import { getObject, nextBackoff, sleep, readRows, readTime, transactRows, type StoreCommand, type TransactReply } from './storeCommands.js'

/** A store that refuses calls for this long counts as down: the claim fails at once instead of at its deadline. */
export const STORE_UNAVAILABLE_TIMEOUT_MS = 1000
const INITIAL_RETRY_DELAY_MS = 50
const MAX_RETRY_DELAY_MS = 500
/** Polling another holder's claim starts at a short interval, for short calls, and backs off to limit table reads. */
const INITIAL_POLL_DELAY_MS = 100
const MAX_POLL_DELAY_MS = 1000

/** Result of an attempt to acquire a claim. */
export type AcquireResult =
  /** The row is `pending` with this attempt's nonce at this version; the request may be dispatched once. */
  | { readonly kind: 'claimed', readonly version: bigint }
  | { readonly kind: 'answered', readonly answer: RecordedAnswer }
  /** The request was sent earlier and its outcome is unknown. */
  | { readonly kind: 'unknown' }
  /** The idempotency key was used with a different body. */
  | { readonly kind: 'keyReused' }
  /** Another holder's claim was still pending at the deadline. */
  | { readonly kind: 'inProgress' }
  /** The answer was recorded, but its object could not be read before the deadline. */
  | { readonly kind: 'answerUnreadable' }
  /**
   * Not claimed, and this attempt sent nothing. `withdrawAt` is set when a write that checks this version may have taken
   * effect or may still do so; the caller must then call `withdrawClaim`.
   */
  | { readonly kind: 'notClaimed', readonly reason: 'storeUnavailable' | 'deadline', readonly withdrawAt: bigint | undefined }

/** Next step of the claim state machine. */
type Step =
  | { readonly kind: 'write', readonly expectedVersion: bigint }
  | { readonly kind: 'poll' }
  | { readonly kind: 'load', readonly answer: RecordedAnswer }
  | { readonly kind: 'done', readonly result: AcquireResult }

/** Claims a non-idempotent request or waits for the answer of another holder, until the deadline (Unix milliseconds). */
export function * acquireClaim (claim: ClaimIdentity, deadline: number): Decision<StoreCommand, AcquireResult> {
  let step: Step = { kind: 'write', expectedVersion: 0n }
  let pollDelay = INITIAL_POLL_DELAY_MS
  for (;;) {
    switch (step.kind) {
      case 'done': return step.result
      case 'load': return yield * loadAnswer(step.answer, deadline)
      case 'write':
        step = yield * writeClaim(claim, step.expectedVersion, deadline)
        break
      case 'poll':
        step = yield * pollClaim(claim, pollDelay, deadline)
        pollDelay = nextBackoff(pollDelay, MAX_POLL_DELAY_MS)
        break
      default: assertNever(step)
    }
  }
}

/**
 * Writes `pending` if the row still has the expected version. After a lost reply the same write is repeated: at most one
 * copy can pass the version check, and on a conflict the nonce in the row shows whether one did.
 */
function * writeClaim (claim: ClaimIdentity, expectedVersion: bigint, deadline: number): Decision<StoreCommand, Step> {
  const startedAt = yield * readTime()
  let outcomeKnown = true
  let retryDelay = INITIAL_RETRY_DELAY_MS
  for (let now = startedAt; ; now = yield * readTime()) {
    const withdrawAt = outcomeKnown ? undefined : expectedVersion
    if (now >= deadline) return done({ kind: 'notClaimed', reason: 'deadline', withdrawAt })
    if (outcomeKnown && now >= startedAt + STORE_UNAVAILABLE_TIMEOUT_MS) return done({ kind: 'notClaimed', reason: 'storeUnavailable', withdrawAt })
    const reply: TransactReply = yield * transactRows([{ key: claim.key, expectedVersion }], [claimWrite(claim, ClaimState.PENDING, now)])
    switch (reply.kind) {
      case 'applied': return yield * claimedUnlessExpired(reply.versions[0]!, deadline)
      case 'conflict': return yield * evaluateRow(claim, reply.rows[0]!, deadline)
      case 'unavailable': break
      case 'outcomeUnknown':
        outcomeKnown = false
        break
      default: assertNever(reply)
    }
    yield * sleep(retryDelay, deadline)
    retryDelay = nextBackoff(retryDelay, MAX_RETRY_DELAY_MS)
  }
}

function * pollClaim (claim: ClaimIdentity, pollDelay: number, deadline: number): Decision<StoreCommand, Step> {
  if ((yield * readTime()) >= deadline) return done({ kind: 'inProgress' })
  yield * sleep(pollDelay, deadline)
  const reply = yield * readRows([claim.key])
  return reply.kind === 'rows' ? yield * evaluateRow(claim, reply.rows[0]!, deadline) : { kind: 'poll' }
}

function * evaluateRow (claim: ClaimIdentity, row: Row, deadline: number): Decision<StoreCommand, Step> {
  const record = decodeClaim(row)
  if (record === undefined) return { kind: 'write', expectedVersion: 0n }
  if (record.nonce === claim.nonce && record.state === ClaimState.PENDING) return yield * claimedUnlessExpired(row.version, deadline)
  if (record.bodyHash !== claim.bodyHash) return done({ kind: 'keyReused' })
  return evaluateRecord(record, row.version)
}

/** Only a withdrawn claim may be claimed again; a `pending` claim of another holder never, regardless of its age. */
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

/** A claim confirmed after the deadline is not used: the caller may already have been told that the request did not run. */
function * claimedUnlessExpired (version: bigint, deadline: number): Decision<StoreCommand, Step> {
  const now = yield * readTime()
  return done(now < deadline ? { kind: 'claimed', version } : { kind: 'notClaimed', reason: 'deadline', withdrawAt: version })
}

function * loadAnswer (answer: RecordedAnswer, deadline: number): Decision<StoreCommand, AcquireResult> {
  if (answer.objectName === '') return { kind: 'answered', answer }
  let retryDelay = INITIAL_RETRY_DELAY_MS
  do {
    const reply = yield * getObject(answer.objectName)
    if (reply.kind === 'found') return { kind: 'answered', answer: { ...answer, body: reply.content } }
    if (reply.kind === 'absent') return { kind: 'answerUnreadable' }
    yield * sleep(retryDelay, deadline)
    retryDelay = nextBackoff(retryDelay, MAX_RETRY_DELAY_MS)
  } while ((yield * readTime()) < deadline)
  return { kind: 'answerUnreadable' }
}

function done (result: AcquireResult): Step {
  return { kind: 'done', result }
}
