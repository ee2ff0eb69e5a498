import { createByteCollector, type ByteCollector, type SharedLimit } from '@quinceshunt/memory-limits'

/** Responses that are not streamed are buffered whole; larger ones fail. */
const MAX_BUFFERED_RESPONSE_BYTES = 4_194_304
/** Bytes that each response may buffer, also when others have taken all of the shared limit. */
const UNSHARED_RESPONSE_BYTES = 65_536

/** The body of a response that is buffered whole. */
export interface BufferedBody {
  /** Bytes that have come. */
  readonly bytes: number
  /** Adds bytes; false when the body is too large, or its sender has too much of the limit. */
  add (chunk: Buffer): boolean
  /** The bytes that were added. */
  concat (): Buffer
  /** Gives the bytes back when the response is no longer needed. Further ones count for its size only. */
  release (): void
}

/** Creates an empty body, of which all but the first bytes are counted in `limit` for `holder`, the process that sends it. */
export function createBufferedBody (limit: SharedLimit, holder: string): BufferedBody {
  const holding = limit.open(holder)
  let collector: ByteCollector | undefined = createByteCollector(holding, MAX_BUFFERED_RESPONSE_BYTES, UNSHARED_RESPONSE_BYTES)
  let bytes = 0

  return {
    get bytes () { return bytes },
    add: (chunk) => {
      bytes += chunk.length
      if (bytes > MAX_BUFFERED_RESPONSE_BYTES) return false
      return collector === undefined || collector.tryAppend(chunk)
    },
    concat: () => collector?.bytes() ?? Buffer.alloc(0),
    release: () => {
      collector = undefined
      holding.release()
    }
  }
}
