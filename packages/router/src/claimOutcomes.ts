import { create } from '@bufbuild/protobuf'
import { assertNever } from '@quinceshunt/effects'
import type { AcquireResult, FinishedAnswer } from '@quinceshunt/requests'
import { RecordedAnswerSchema } from '@quinceshunt/schemas'
import type { ClaimHandle, ClaimOutcome } from './services.js'

const RETRY_DELAY_MS = 2000

/** Outcomes after which this instance holds no claim. */
export type UnclaimedOutcome = Exclude<ClaimOutcome, { kind: 'claimed' }>

/** Converts the result of an attempt to claim to the outcome for the caller. */
export function toClaimOutcome (result: AcquireResult, handle: ClaimHandle, now: number): ClaimOutcome {
  switch (result.kind) {
    case 'claimed': return { kind: 'claimed', handle }
    case 'answered': return { kind: 'answered', answer: result.answer }
    case 'keyReused': return { kind: 'keyReused' }
    case 'unknown': return { kind: 'unknown', message: 'the request was sent earlier under this key and its outcome is not known; an operator can resolve it' }
    case 'answerUnreadable': return { kind: 'refused', code: 'store_unavailable', message: 'the request was run and its recorded answer cannot be read at the moment; send it again with the same key', run: 'yes', retryAt: now + RETRY_DELAY_MS }
    case 'inProgress': return inProgressOutcome(now)
    case 'notClaimed': return notClaimedOutcome(now)
    default: return assertNever(result)
  }
}

/** Another request with the same key was still running at the deadline. */
export function inProgressOutcome (now: number): UnclaimedOutcome {
  return { kind: 'refused', code: 'request_in_progress', message: 'an earlier request with this key has not ended; send it again with the same key for its answer', run: 'unknown', retryAt: now + RETRY_DELAY_MS }
}

/**
 * The table could not be reached in time, so this attempt was not sent. Only for keys of which this instance knows no
 * earlier dispatch.
 */
export function notClaimedOutcome (now: number): UnclaimedOutcome {
  return { kind: 'refused', code: 'store_unavailable', message: 'the claim of this request could not be recorded, so it was not run; send it again with the same key', run: 'no', retryAt: now + RETRY_DELAY_MS }
}

/** Outcome with the answer for callers that use the same key. */
export function answeredOutcome (answer: FinishedAnswer): UnclaimedOutcome {
  return { kind: 'answered', answer: create(RecordedAnswerSchema, { ...answer }) }
}
