import { create, fromBinary, toBinary } from '@bufbuild/protobuf'
import type { Row, RowWrite } from '@quinceshunt/table-store'
import { ClaimRecordSchema, ClaimState, type ClaimRecord, type RecordedAnswer } from '@quinceshunt/schemas'

/** Largest answer kept in the claim row, bytes; longer ones are stored as an object. */
export const INLINE_ANSWER_BYTES = 64 * 1024

/** What a claim row says about its claim, besides its state. */
export interface ClaimIdentity {
  /** Row key, see `claimKey`. */
  readonly key: string
  readonly requestId: string
  readonly bodyHash: string
  /** Incarnation that holds the claim. */
  readonly holder: string
  /** Random text of this attempt; shows whose write took effect when the reply was lost. */
  readonly nonce: string
}

/** The claim in a row; undefined for an absent row. */
export function decodeClaim (row: Row): ClaimRecord | undefined {
  return row.version === 0n ? undefined : fromBinary(ClaimRecordSchema, row.value)
}

/** Write that puts the claim into a state. */
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

/** Name of the object that holds a long answer; differs for each attempt, since objects are immutable. */
export function answerObjectName (claim: ClaimIdentity): string {
  return `answer/${claim.key}/${claim.nonce}`
}
