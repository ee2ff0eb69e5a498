import type { BodyDelimiter } from '@quinceshunt/caller-connections'
import { assertNever } from '@quinceshunt/effects'

/** How the answer of one attempt ended. */
export type PieceEnd =
  /** `tokens`: the caller had all of them, and bytes followed that belong to no request. */
  | { readonly kind: 'whole', readonly delimiter: BodyDelimiter | 'tokens' }
  | { readonly kind: 'broken', readonly reason: string }

/** Events of a stream that one attempt brought. */
export interface StreamPiece {
  /** Notes events that are passed on to the caller, in their order. */
  add (firstEventId: string, lastEventId: string): void
  end (how: PieceEnd): void
}

/** The pieces of the stream that a caller gets, by the attempts that brought them. */
export interface StreamPieces {
  /** Begins the piece of an attempt at a process of a backend server, named with its listed version, or at a peer. */
  begin (source: string): StreamPiece
  /** All pieces for the log, such as `i-1/1700000000000 v1 1-4 ECONNRESET; i-2/1700000000000 v1 5-10 chunks`; undefined when there are none. */
  describe (): string | undefined
}

/** Text of each piece in the log; reasons and IDs come from backend servers. */
const MAX_REASON_LENGTH = 60
const MAX_EVENT_ID_LENGTH = 24

function describeEnd (end: PieceEnd | undefined): string {
  if (end === undefined) return 'in progress'
  switch (end.kind) {
    case 'whole': return end.delimiter
    case 'broken': return end.reason.slice(0, MAX_REASON_LENGTH)
    default: return assertNever(end)
  }
}

/** Creates the record of one request; `onEnd` is told how each piece ended. */
export function createStreamPieces (onEnd: (how: PieceEnd) => void): StreamPieces {
  const pieces: { readonly source: string, first: string, last: string, end: PieceEnd | undefined }[] = []

  return {
    begin: (source) => {
      const piece = { source, first: '', last: '', end: undefined as PieceEnd | undefined }
      pieces.push(piece)
      return {
        add: (firstEventId, lastEventId) => {
          if (lastEventId === '') return
          if (piece.first === '') piece.first = firstEventId.slice(0, MAX_EVENT_ID_LENGTH)
          piece.last = lastEventId.slice(0, MAX_EVENT_ID_LENGTH)
        },
        end: (how) => {
          if (piece.end !== undefined) return
          piece.end = how
          onEnd(how)
        }
      }
    },
    describe: () => pieces.length === 0
      ? undefined
      : pieces.map(({ source, first, last, end }) => `${source} ${last === '' ? 'no event' : `${first}-${last}`} ${describeEnd(end)}`).join('; ')
  }
}
