import { create } from '@bufbuild/protobuf'
import { assertNever, type Decision } from '@quinceshunt/effects'
import { ClaimState, RecordedAnswerSchema, type RecordedAnswer } from '@quinceshunt/schemas'
import { answerObjectName, claimWrite, decodeClaim, INLINE_ANSWER_BYTES, type ClaimIdentity } from './claimRecords.js'
import { longerWait, pause, putObject, readTime, transactRows, type StoreCommand } from './storeCommands.js'

const FIRST_RETRY_MILLISECONDS = 100
const LONGEST_RETRY_MILLISECONDS = 2000

/** `superseded`: the row was no longer this attempt's pending claim, for example after an operator's resolution. */
export type FinishResult = 'written' | 'superseded'

/** An answer to record. */
export interface FinishedAnswer {
  readonly status: number
  readonly contentType: string
  readonly body: Uint8Array
}

/** Records the answer of a claim held at the given version; repeats until the store has answered. */
export function * completeClaim (claim: ClaimIdentity, version: bigint, answer: FinishedAnswer): Decision<StoreCommand, FinishResult> {
  const { status, contentType, body } = answer
  if (body.length <= INLINE_ANSWER_BYTES) {
    return yield * movePending(claim, version, ClaimState.COMPLETED, create(RecordedAnswerSchema, { status, contentType, body }))
  }
  const objectName = answerObjectName(claim)
  let wait = FIRST_RETRY_MILLISECONDS
  while ((yield * putObject(objectName, body)).kind !== 'stored') {
    yield * pause(wait)
    wait = longerWait(wait, LONGEST_RETRY_MILLISECONDS)
  }
  return yield * movePending(claim, version, ClaimState.COMPLETED, create(RecordedAnswerSchema, { status, contentType, objectName }))
}

/** Marks a claim as sent with unknown outcome. */
export function markClaimUnknown (claim: ClaimIdentity, version: bigint): Decision<StoreCommand, FinishResult> {
  return movePending(claim, version, ClaimState.UNKNOWN)
}

/**
 * Withdraws a claim that was not sent and won't be. `version` is that of the pending row or, when the outcome of the
 * claim write is not known, the version that it checked: overwriting that version makes a late copy of the write fail.
 */
export function withdrawClaim (claim: ClaimIdentity, version: bigint): Decision<StoreCommand, FinishResult> {
  return movePending(claim, version, ClaimState.WITHDRAWN)
}

function * movePending (claim: ClaimIdentity, version: bigint, state: ClaimState, answer?: RecordedAnswer): Decision<StoreCommand, FinishResult> {
  let expectedVersion = version
  let wait = FIRST_RETRY_MILLISECONDS
  for (;;) {
    const now = yield * readTime()
    const reply = yield * transactRows([{ key: claim.key, expectedVersion }], [claimWrite(claim, state, now, answer)])
    switch (reply.kind) {
      case 'applied': return 'written'
      case 'conflict': {
        const row = reply.rows[0]!
        const record = decodeClaim(row)
        if (record?.nonce !== claim.nonce) return 'superseded'
        if (record.state !== ClaimState.PENDING) return record.state === state ? 'written' : 'superseded'
        expectedVersion = row.version
        break
      }
      case 'unavailable':
      case 'outcomeUnknown':
        yield * pause(wait)
        wait = longerWait(wait, LONGEST_RETRY_MILLISECONDS)
        break
      default: assertNever(reply)
    }
  }
}
