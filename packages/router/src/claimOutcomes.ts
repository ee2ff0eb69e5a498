import { create } from '@bufbuild/protobuf'
import { assertNever } from '@quinceshunt/effects'
import type { AcquireResult, FinishedAnswer } from '@quinceshunt/requests'
import { RecordedAnswerSchema } from '@quinceshunt/schemas'
import type { ClaimHandle, ClaimOutcome } from './services.js'

/** After a refusal, callers are asked to wait this long. */
const RETRY_AFTER_MILLISECONDS = 2000

/** Outcomes that leave nothing for this instance to hold. */
export type RefusedClaim = Exclude<ClaimOutcome, { kind: 'claimed' }>

/** What a caller is told about an attempt to claim. */
export function outcomeOf (result: AcquireResult, handle: ClaimHandle, now: number): ClaimOutcome {
  switch (result.kind) {
    case 'claimed': return { kind: 'claimed', handle }
    case 'answered': return { kind: 'answered', answer: result.answer }
    case 'keyReused': return { kind: 'keyReused' }
    case 'unknown': return { kind: 'unknown', message: 'the request was sent earlier under this key and its outcome is not known; an operator can resolve it' }
    case 'answerUnreadable': return { kind: 'refused', code: 'store_unavailable', message: 'the request was run and its recorded answer can not be read now; send it again with the same key', run: 'yes', retryAt: now + RETRY_AFTER_MILLISECONDS }
    case 'inProgress': return inProgress(now)
    case 'notClaimed': return notClaimed(now)
    default: return assertNever(result)
  }
}

/** Another request with the same key was still running at the deadline. */
export function inProgress (now: number): RefusedClaim {
  return { kind: 'refused', code: 'request_in_progress', message: 'an earlier request with this key has not ended; send it again with the same key for its answer', run: 'unknown', retryAt: now + RETRY_AFTER_MILLISECONDS }
}

/**
 * The table could not be reached in time, so this attempt was not sent. Used only for keys of which this instance knows
 * no earlier dispatch.
 */
export function notClaimed (now: number): RefusedClaim {
  return { kind: 'refused', code: 'store_unavailable', message: 'the claim of this request could not be recorded, so it was not run; send it again with the same key', run: 'no', retryAt: now + RETRY_AFTER_MILLISECONDS }
}

/** A finished answer as callers with the same key receive it. */
export function answeredOutcome (answer: FinishedAnswer): RefusedClaim {
  return { kind: 'answered', answer: create(RecordedAnswerSchema, { ...answer }) }
}
