import type { Holding } from './sharedLimit.js'

/** Small enough that many short messages in progress take little. */
const FIRST_CAPACITY_BYTES = 1024
const GROWTH_FACTOR = 1.5
const EMPTY = Buffer.alloc(0)

/** Collects the bytes of one message. */
export interface ByteCollector {
  /** Number of bytes collected so far. */
  readonly length: number
  /** Copies a chunk; false, and nothing added, when the message gets too large or its holder has no bytes left. */
  tryAppend (chunk: Uint8Array): boolean
  /** The bytes collected so far; no copy. */
  bytes (): Buffer
}

/**
 * Creates a collector of at most `maximumBytes`. All but the first `uncountedBytes` are counted in `holding`, if there is one.
 * It copies into one buffer, as an array of chunks takes a hundred times the bytes of a message that arrives in chunks of one byte.
 */
export function createByteCollector (holding: Holding | undefined, maximumBytes: number, uncountedBytes = 0): ByteCollector {
  let buffer = EMPTY
  let length = 0

  function tryCount (capacity: number): boolean {
    const added = Math.max(0, capacity - uncountedBytes) - Math.max(0, buffer.length - uncountedBytes)
    return added === 0 || holding === undefined || holding.tryAdd(added)
  }

  /** Takes at least half of what its holder has left, as a buffer that grows byte by byte is copied for each of them. */
  function tryGrow (neededBytes: number): boolean {
    let capacity = Math.min(maximumBytes, Math.max(neededBytes, FIRST_CAPACITY_BYTES, Math.ceil(buffer.length * GROWTH_FACTOR)))
    while (!tryCount(capacity)) {
      if (capacity === neededBytes) return false
      capacity = neededBytes + Math.floor((capacity - neededBytes) / 2)
    }
    // A buffer from the pool, which costs a small message a tenth, keeps more memory than is counted.
    const grown = capacity > uncountedBytes ? Buffer.allocUnsafeSlow(capacity) : Buffer.allocUnsafe(capacity)
    buffer.copy(grown, 0, 0, length)
    buffer = grown
    return true
  }

  return {
    get length () { return length },
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
