/** What the order of a stream depends on in a complete block of bytes between two blank lines. */
export interface StreamEvent {
  /** Undefined when it has none. */
  readonly id: string | undefined
  /** Only an event with data is one for the caller. */
  readonly hasData: boolean
  /** True when one of its lines looks like the status line of a response. */
  readonly hasStatusLine: boolean
}

/** Whether an event belongs to the caller's stream. */
export type EventVerdict =
  | { readonly kind: 'inOrder' }
  /** This event and all that follow it in the answer belong to no request. */
  | { readonly kind: 'unrelated', readonly reason: string }

/** Judges the events of one answer in their order. */
export interface EventOrder {
  judge (event: StreamEvent): EventVerdict
}

const IN_ORDER: EventVerdict = { kind: 'inOrder' }
const NUMBER_PATTERN = /^\d{1,15}$/

/** Returns false when both IDs are numbers and the event is not after the previous one. */
function isLaterEvent (eventId: string, previousId: string): boolean {
  return !NUMBER_PATTERN.test(eventId) || !NUMBER_PATTERN.test(previousId) || Number(eventId) > Number(previousId)
}

/**
 * Creates the order of an answer whose caller has the events up to `lastEventId`, which is empty when it has none. An answer that
 * goes on with a stream (`isContinued`) begins with an event that has an ID, as nothing else tells where its other events belong.
 */
export function createEventOrder (lastEventId = '', isContinued = false): EventOrder {
  let previousId = lastEventId
  let needsId = isContinued || lastEventId !== ''
  /** An answer has no sound part after its first unrelated event. */
  let unrelated: EventVerdict | undefined

  function findReason ({ id, hasData, hasStatusLine }: StreamEvent): string | undefined {
    if (hasStatusLine) return `second response after event '${previousId}'`
    if (id === undefined) return hasData && needsId ? `event without an ID to a stream resumed after '${previousId}'` : undefined
    return isLaterEvent(id, previousId) ? undefined : `event ${id} after event ${previousId}`
  }

  return {
    judge: (event) => {
      if (unrelated !== undefined) return unrelated
      const reason = findReason(event)
      if (reason !== undefined) {
        unrelated = { kind: 'unrelated', reason }
        return unrelated
      }
      if (event.id !== undefined) {
        needsId = false
        previousId = event.id
      }
      return IN_ORDER
    }
  }
}
