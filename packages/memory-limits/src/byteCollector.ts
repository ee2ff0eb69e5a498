import type { Holding } from './sharedLimit.js'

/** Small enough that many short messages in progress take little. */
const FIRST_BLOCK_BYTES = 1024
/** Each block is as large as all before it, up to this size. */
const MAX_BLOCK_BYTES = 131_072

/** Collects the bytes of one message. */
export interface ByteCollector {
  /** Number of bytes collected so far. */
  readonly length: number
  /** Copies a chunk; false, and nothing added, when the message gets too large or its holder has no bytes left. */
  tryAppend (chunk: Uint8Array): boolean
  /** The bytes collected so far. */
  bytes (): Buffer
  /** The last bytes collected, `count` at most. */
  tail (count: number): Buffer
}

/**
 * Creates a collector of at most `maximumBytes`. All but the first `uncountedBytes` are counted in `holding`, if there is one.
 * It copies into blocks, as an array of chunks takes a hundred times the bytes of a message that arrives in chunks of one byte,
 * and one buffer that grows leaves twice its bytes to the garbage collector.
 */
export function createByteCollector (holding: Holding | undefined, maximumBytes: number, uncountedBytes = 0): ByteCollector {
  /** All but the last one are full. */
  let blocks: Buffer[] = []
  let capacity = 0
  let length = 0

  function tryCount (newCapacity: number): boolean {
    const added = Math.max(0, newCapacity - uncountedBytes) - Math.max(0, capacity - uncountedBytes)
    return added === 0 || holding === undefined || holding.tryAdd(added)
  }

  /** Takes at least half of what its holder has left, as a block for each byte would cost more than the bytes. */
  function tryAddBlock (neededBytes: number): boolean {
    let newCapacity = Math.min(maximumBytes, Math.max(neededBytes, capacity + Math.min(MAX_BLOCK_BYTES, Math.max(FIRST_BLOCK_BYTES, capacity))))
    while (!tryCount(newCapacity)) {
      if (newCapacity === neededBytes) return false
      newCapacity = neededBytes + Math.floor((newCapacity - neededBytes) / 2)
    }
    const size = newCapacity - capacity
    // A buffer from the pool, which costs a small message a tenth, keeps more memory than is counted.
    blocks.push(newCapacity > uncountedBytes ? Buffer.allocUnsafeSlow(size) : Buffer.allocUnsafe(size))
    capacity = newCapacity
    return true
  }

  /** Free bytes of the last block. */
  function room (): number {
    return capacity - length
  }

  function write (bytes: Uint8Array): void {
    const last = blocks.at(-1)
    last?.set(bytes, last.length - room())
    length += bytes.length
  }

  return {
    get length () { return length },
    tryAppend: (chunk) => {
      const neededBytes = length + chunk.length
      if (neededBytes > maximumBytes) return false
      const fitting = Math.min(room(), chunk.length)
      if (fitting === chunk.length) {
        write(chunk)
        return true
      }
      const start = chunk.subarray(0, fitting)
      const full = blocks.at(-1)
      const fullRoom = room()
      if (!tryAddBlock(neededBytes)) return false
      full?.set(start, full.length - fullRoom)
      length += fitting
      write(chunk.subarray(fitting))
      return true
    },
    bytes: () => {
      if (blocks.length > 1) {
        const whole = Buffer.allocUnsafeSlow(capacity)
        let end = 0
        for (const block of blocks) {
          whole.set(block, end)
          end += block.length
        }
        blocks = [whole]
      }
      return blocks[0]?.subarray(0, length) ?? Buffer.alloc(0)
    },
    tail: (count) => {
      const parts: Buffer[] = []
      let missing = count
      let unused = room()
      for (const block of [...blocks].reverse()) {
        const used = block.subarray(0, block.length - unused)
        unused = 0
        const part = used.subarray(Math.max(0, used.length - missing))
        parts.unshift(part)
        missing -= part.length
        if (missing === 0) break
      }
      return parts.length === 1 ? parts[0]! : Buffer.concat(parts)
    }
  }
}
