/** Splits a byte stream at the boundaries of server-sent events, so that only complete events are forwarded. */
export interface EventSplitter {
  /** Adds bytes and returns those of all complete events, unchanged. */
  push (chunk: Buffer): { readonly bytes: Buffer, readonly events: number, readonly lastEventId: string }
  /** Bytes of the incomplete last event. */
  readonly bufferedBytes: number
}

const NEWLINE = 0x0a
const CARRIAGE_RETURN = 0x0d
const ID_PATTERN = /^id: ?(.*?)\r?$/gm

/** Creates a splitter with an empty buffer. */
export function createEventSplitter (): EventSplitter {
  let buffered: Buffer = Buffer.alloc(0)

  /** Returns the index after the last blank line, or 0 when there is none. */
  function endOfEvents (bytes: Buffer): number {
    for (let index = bytes.length - 1; index > 0; index--) {
      if (bytes[index] !== NEWLINE) continue
      const previous = bytes[index - 1] === CARRIAGE_RETURN ? index - 2 : index - 1
      if (previous >= 0 && bytes[previous] === NEWLINE) return index + 1
    }
    return 0
  }

  return {
    push: (chunk) => {
      const bytes = buffered.length === 0 ? chunk : Buffer.concat([buffered, chunk])
      const end = endOfEvents(bytes)
      buffered = bytes.subarray(end)
      const complete = bytes.subarray(0, end)
      const ids = [...complete.toString('latin1').matchAll(ID_PATTERN)]
      return { bytes: complete, events: ids.length, lastEventId: ids.at(-1)?.[1] ?? '' }
    },
    get bufferedBytes () { return buffered.length }
  }
}
