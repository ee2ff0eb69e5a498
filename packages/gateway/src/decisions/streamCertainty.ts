import { assertNever } from '@quinceshunt/effects'
import type { StreamStart } from './streamOrigins.js'

/** What was found out about the process that began a stream. */
export type ProcessFinding =
  /** It is the one that was listed when the stream's request was sent. */
  | { readonly kind: 'listed' }
  | { readonly kind: 'other' }
  /** Nothing tells: it has ended, does not reply, or its reply names no process. */
  | { readonly kind: 'open' }

/**
 * Weighs where a stream began whose process was not certain. Without a finding the listed version counts only if the list is trusted
 * (`isListTrusted`): a stream that is not resumed costs its caller less than one whose events don't fit together.
 */
export function weighStart (start: StreamStart, finding: ProcessFinding, isListTrusted: boolean): StreamStart {
  if (start.kind !== 'begun' || start.evidence.kind !== 'connection') return start
  switch (finding.kind) {
    case 'listed': return { ...start, evidence: { kind: 'proven' } }
    case 'other': return { kind: 'unknown' }
    case 'open': return isListTrusted ? start : { kind: 'unknown' }
    default: return assertNever(finding)
  }
}
