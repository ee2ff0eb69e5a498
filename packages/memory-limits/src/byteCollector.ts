import type { Holding } from './sharedLimit.js'

/** Small enough that many short messages in progress take little. */
const FIRST_CAPACITY_BYTES = 1024
const GROWTH_FACTOR = 1.5

/** Collects the bytes of one message. */
export interface ByteCollector {
  /** Copies a chunk; false, and nothing added, when the message gets too large or its holder has no bytes left. */
  tryAppend (chunk: Uint8Array): boolean
  /** The bytes collected so far. */
  bytes (): Buffer
}

/**
 * Creates a collector of at most `maximumBytes`, which are counted in `holding`. It copies into one buffer, as an array of chunks
 * takes a hundred times the bytes of a message that arrives in chunks of one byte.
 */
export function createByteCollector (holding: Holding, maximumBytes: number): ByteCollector {
  let buffer = Buffer.alloc(0)
  let length = 0

  function tryGrow (neededBytes: number): boolean {
    let capacity = Math.min(maximumBytes, Math.max(neededBytes, FIRST_CAPACITY_BYTES, Math.ceil(buffer.length * GROWTH_FACTOR)))
    if (!holding.tryAdd(capacity - buffer.length)) {
      capacity = neededBytes
      if (!holding.tryAdd(capacity - buffer.length)) return false
    }
    const grown = Buffer.allocUnsafeSlow(capacity)
    buffer.copy(grown, 0, 0, length)
    buffer = grown
    return true
  }

  return {
    tryAppend: (chunk) => {
      const neededBytes = length + chunk.length
      if (neededBytes > maximumBytes) return false
      if (neededBytes > buffer.length && !tryGrow(neededBytes)) return false
      buffer.set(chunk, length)
      length = neededBytes
      return true
    },
    bytes: () => buffer.subarray(0, length)
  }
}
