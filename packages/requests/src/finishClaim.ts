import { create } from '@bufbuild/protobuf'
import { assertNever, type Decision } from '@quinceshunt/effects'
import { ClaimState, RecordedAnswerSchema, type RecordedAnswer } from '@quinceshunt/schemas'
import { answerObjectName, claimWrite, decodeClaim, MAX_INLINE_ANSWER_BYTES, type ClaimIdentity } from './claimRecords.js'
import { nextBackoff, sleep, putObject, readTime, transactRows, type StoreCommand } from './storeCommands.js'

const INITIAL_RETRY_DELAY_MS = 100
const MAX_RETRY_DELAY_MS = 2000

/** `superseded`: the row no longer holds this attempt's pending claim, for example because an operator resolved it. */
export type FinishResult = 'written' | 'superseded'

export interface FinishedAnswer {
  readonly status: number
  readonly contentType: string
  readonly body: Uint8Array
}

/** Records the answer of the claim held at the given version; retries until the store confirms. */
export function * completeClaim (claim: ClaimIdentity, version: bigint, answer: FinishedAnswer): Decision<StoreCommand, FinishResult> {
  const { status, contentType, body } = answer
  if (body.length <= MAX_INLINE_ANSWER_BYTES) {
    return yield * updatePendingClaim(claim, version, ClaimState.COMPLETED, create(RecordedAnswerSchema, { status, contentType, body }))
  }
  const objectName = answerObjectName(claim)
  let retryDelay = INITIAL_RETRY_DELAY_MS
  while ((yield * putObject(objectName, body)).kind !== 'stored') {
    yield * sleep(retryDelay)
    retryDelay = nextBackoff(retryDelay, MAX_RETRY_DELAY_MS)
  }
  return yield * updatePendingClaim(claim, version, ClaimState.COMPLETED, create(RecordedAnswerSchema, { status, contentType, objectName }))
}

/** Records that the request was sent and its outcome is unknown. */
export function markClaimUnknown (claim: ClaimIdentity, version: bigint): Decision<StoreCommand, FinishResult> {
  return updatePendingClaim(claim, version, ClaimState.UNKNOWN)
}

/**
 * Withdraws a claim whose request was not sent and will not be. `version` is the version of the pending row or, if the
 * outcome of the claim write is unknown, the version it checked: overwriting that one makes a delayed copy of the write fail.
 */
export function withdrawClaim (claim: ClaimIdentity, version: bigint): Decision<StoreCommand, FinishResult> {
  return updatePendingClaim(claim, version, ClaimState.WITHDRAWN)
}

function * updatePendingClaim (claim: ClaimIdentity, version: bigint, state: ClaimState, answer?: RecordedAnswer): Decision<StoreCommand, FinishResult> {
  let expectedVersion = version
  let retryDelay = INITIAL_RETRY_DELAY_MS
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
        yield * sleep(retryDelay)
        retryDelay = nextBackoff(retryDelay, MAX_RETRY_DELAY_MS)
        break
      default: assertNever(reply)
    }
  }
}
