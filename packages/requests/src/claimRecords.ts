import { create, fromBinary, toBinary } from '@bufbuild/protobuf'
import type { Row, RowWrite } from '@quinceshunt/table-store'
import { ClaimRecordSchema, ClaimState, type ClaimRecord, type RecordedAnswer } from '@quinceshunt/schemas'

/** Larger answers are stored as an object instead of in the claim row. */
export const MAX_INLINE_ANSWER_BYTES = 64 * 1024

/** Fields of a claim that do not change with its state. */
export interface ClaimIdentity {
  /** Row key, see `claimKey`. */
  readonly key: string
  readonly requestId: string
  readonly bodyHash: string
  /** Incarnation of the instance that holds the claim. */
  readonly holder: string
  /** Random value of this attempt; identifies whose write took effect when the reply was lost. */
  readonly nonce: string
}

/** Decodes a claim row; undefined if the row is absent. */
export function decodeClaim (row: Row): ClaimRecord | undefined {
  return row.version === 0n ? undefined : fromBinary(ClaimRecordSchema, row.value)
}

/** Creates the row write that sets the state of a claim. */
export function claimWrite (claim: ClaimIdentity, state: ClaimState, now: number, answer?: RecordedAnswer): RowWrite {
  const record = create(ClaimRecordSchema, {
    requestId: claim.requestId,
    bodyHash: claim.bodyHash,
    holderIncarnation: claim.holder,
    nonce: claim.nonce,
    state,
    updatedAt: BigInt(now),
    answer
  })
  return { key: claim.key, value: toBinary(ClaimRecordSchema, record), delete: false }
}

/** Name of the object for a long answer; unique for each attempt, since objects are immutable. */
export function answerObjectName (claim: ClaimIdentity): string {
  return `answer/${claim.key}/${claim.nonce}`
}
