import { createByteCollector, type ByteCollector, type Holding } from '@quinceshunt/memory-limits'
import { createEventOrder, type EventOrder } from './eventOrder.js'

/** Complete events of a stream that belong to its caller. */
export interface CompleteEvents {
  readonly bytes: Buffer
  /** Number of events that have an ID. */
  readonly events: number
  readonly firstEventId: string
  readonly lastEventId: string
  /** True when there is an event without an ID, after which a stream can't be resumed. */
  readonly hasUnidentified: boolean
  /** Why the event after these, and all that follow it in the answer, belong to no request; undefined while there is none. */
  readonly unrelated: string | undefined
}

/** Splits a byte stream at the boundaries of server-sent events, so that only complete events are forwarded. */
export interface EventSplitter {
  /** Adds bytes and returns those of all complete events, unchanged, up to the first one that is not in order. */
  push (chunk: Buffer): CompleteEvents
  /** Bytes of the incomplete last event. */
  readonly bufferedBytes: number
  /** True once more bytes have come without an event than any event has, or the sender has too much of the limit; further bytes are not kept. */
  readonly isOverflowing: boolean
  /** Gives the bytes of the incomplete event back to the limit. */
  release (): void
}

/** Bytes between two events, such as comments or an event that does not end. */
const MAX_BYTES_WITHOUT_EVENT = 262_144
/** Bytes of an incomplete event that each stream may keep, also when others have taken all of the shared limit. */
const UNSHARED_EVENT_BYTES = 65_536

const BLANK_LINES = ['\n\n', '\n\r\n'] as const
const LINE_FEED = 10
/** Bytes of a blank line that may lie in the chunk before. */
const BLANK_LINE_OVERLAP = 2
const NO_EVENTS: CompleteEvents = { bytes: Buffer.alloc(0), events: 0, firstEventId: '', lastEventId: '', hasUnidentified: false, unrelated: undefined }
const BLANK_LINE_PATTERN = /\n\r?\n/g
const STATUS_LINE_PATTERN = /^HTTP\/\d\.\d \d{3}/m
const ID_PATTERN = /^id: ?(.*?)\r?$/gm
/** Only an event with data is one for the caller. */
const DATA_PATTERN = /^data(?::|\r?$)/m

/** Reads the events that lie one behind the other in whole, as long as they are in order. */
function readEvents (bytes: Buffer, order: EventOrder): CompleteEvents {
  const text = bytes.toString('latin1')
  const mayHaveStatusLine = text.includes('HTTP/')
  let events = 0
  let firstEventId = ''
  let lastEventId = ''
  let hasUnidentified = false
  let start = 0
  /** Comments and fields without data right before an unrelated event are of the same answer. */
  let endOfEvents = 0
  for (const { 0: blankLine, index } of text.matchAll(BLANK_LINE_PATTERN)) {
    const event = text.slice(start, index)
    const id = [...event.matchAll(ID_PATTERN)].at(-1)?.[1]
    const hasData = DATA_PATTERN.test(event)
    const verdict = order.judge({ id, hasData, hasStatusLine: mayHaveStatusLine && STATUS_LINE_PATTERN.test(event) })
    if (verdict.kind === 'unrelated') return { bytes: bytes.subarray(0, endOfEvents), events, firstEventId, lastEventId, hasUnidentified, unrelated: verdict.reason }
    start = index + blankLine.length
    if (hasData || id !== undefined) endOfEvents = start
    if (id === undefined) {
      hasUnidentified ||= hasData
    } else {
      if (events === 0) firstEventId = id
      lastEventId = id
      events++
    }
  }
  return { bytes, events, firstEventId, lastEventId, hasUnidentified, unrelated: undefined }
}

/** Creates a splitter with an empty buffer. All but the first bytes of an incomplete event are counted in a holding of their own. */
export function createEventSplitter (openHolding?: () => Holding, order = createEventOrder()): EventSplitter {
  let holding = openHolding?.()
  let incomplete = createCollector()
  let isRefused = false
  let bytesWithoutEvent = 0

  function createCollector (): ByteCollector {
    return createByteCollector(holding, MAX_BYTES_WITHOUT_EVENT, UNSHARED_EVENT_BYTES)
  }

  function isOverflowing (): boolean {
    return isRefused || bytesWithoutEvent > MAX_BYTES_WITHOUT_EVENT
  }

  /** Returns the index after the last blank line, or 0 when there is none. */
  function endOfEvents (bytes: Buffer): number {
    return Math.max(...BLANK_LINES.map((blankLine) => {
      const index = bytes.lastIndexOf(blankLine, undefined, 'latin1')
      return index === -1 ? 0 : index + blankLine.length
    }))
  }

  function keep (bytes: Buffer): void {
    if (bytes.length > 0 && !incomplete.tryAppend(bytes)) isRefused = true
  }

  return {
    push: (chunk) => {
      if (isOverflowing()) return NO_EVENTS
      bytesWithoutEvent += chunk.length
      // Most chunks of one byte end here, at a tenth of the time of the search below.
      if (!chunk.includes(LINE_FEED)) {
        keep(chunk)
        return NO_EVENTS
      }
      // Only the new bytes are searched, so that an event in many chunks costs no more than one in a single chunk.
      const before = incomplete.tail(BLANK_LINE_OVERLAP)
      const end = endOfEvents(before.length === 0 ? chunk : Buffer.concat([before, chunk])) - before.length
      if (end <= 0) {
        keep(chunk)
        return NO_EVENTS
      }
      const complete = incomplete.length === 0 ? chunk.subarray(0, end) : Buffer.concat([incomplete.bytes(), chunk.subarray(0, end)])
      if (incomplete.length > 0) {
        holding?.release()
        holding = openHolding?.()
        incomplete = createCollector()
      }
      keep(chunk.subarray(end))
      const read = readEvents(complete, order)
      if (read.events > 0) bytesWithoutEvent = incomplete.length
      return read
    },
    get bufferedBytes () { return incomplete.length },
    get isOverflowing () { return isOverflowing() },
    release: () => holding?.release()
  }
}
