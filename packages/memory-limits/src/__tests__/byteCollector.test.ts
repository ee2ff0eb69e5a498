import { describe, expect, test } from '@jest/globals'
import { createByteCollector } from '../byteCollector.js'
import { createSharedLimit } from '../sharedLimit.js'

describe('a message that is collected', () => {
  test('has all bytes of its chunks, in order', () => {
    const collector = createByteCollector(createSharedLimit(100_000).open('a'), 20_000)
    const chunks = Array.from({ length: 200 }, (_, index) => Buffer.alloc(index % 90, index))
    for (const chunk of chunks) expect(collector.tryAppend(chunk)).toBe(true)
    expect(collector.bytes().equals(Buffer.concat(chunks))).toBe(true)
  })

  test('ends at its own maximum, and takes exactly that much', () => {
    const limit = createSharedLimit(100_000)
    const collector = createByteCollector(limit.open('a'), 3000)
    expect(collector.tryAppend(Buffer.alloc(2999))).toBe(true)
    expect(collector.tryAppend(Buffer.alloc(2))).toBe(false)
    expect(collector.tryAppend(Buffer.alloc(1))).toBe(true)
    expect(collector.bytes()).toHaveLength(3000)
    expect(limit.heldBytes).toBe(3000)
  })

  // Guards against a message whose bytes are held without being counted.
  test('ends when its holder has no bytes left, and counts what it allocates', () => {
    const limit = createSharedLimit(10_000)
    const [first, second] = [limit.open('a'), limit.open('a')]
    expect(createByteCollector(first, 9000).tryAppend(Buffer.alloc(4000))).toBe(true)
    const collector = createByteCollector(second, 9000)
    expect(collector.tryAppend(Buffer.alloc(1001))).toBe(false)
    expect(collector.tryAppend(Buffer.alloc(10))).toBe(true)
    expect(limit.heldBytes).toBe(first.bytes + second.bytes)
    first.release()
    expect(collector.tryAppend(Buffer.alloc(1001))).toBe(true)
  })

  // Guards against a separator that is not found because it lies in two blocks.
  test('shows its last bytes, wherever its blocks end', () => {
    const collector = createByteCollector(undefined, 20_000)
    const chunks: Buffer[] = []
    expect(collector.tail(2)).toHaveLength(0)
    for (let index = 0; index < 5000; index++) {
      const chunk = Buffer.alloc(index % 4, index % 250)
      chunks.push(chunk)
      collector.tryAppend(chunk)
      if (index % 500 === 0) expect(collector.bytes().equals(Buffer.concat(chunks))).toBe(true)
      expect(collector.tail(2).equals(Buffer.concat(chunks.slice(-6)).subarray(-2))).toBe(true)
    }
  })

  // Guards against a process whose peak is a multiple of its messages, as buffers that were outgrown wait for the garbage collector.
  test('leaves few bytes to the garbage collector', () => {
    const collectors = Array.from({ length: 20 }, () => createByteCollector(undefined, 4_000_000))
    const chunk = Buffer.alloc(16_000)
    const before = process.memoryUsage().arrayBuffers
    for (let index = 0; index < 250; index++) for (const collector of collectors) collector.tryAppend(chunk)
    expect(process.memoryUsage().arrayBuffers - before).toBeLessThan(1.2 * 20 * 4_000_000)
  })

  // Guards against a message of tiny chunks that takes many times its bytes.
  test('takes its bytes once, whatever the size of its chunks', () => {
    const limit = createSharedLimit(4_000_000)
    const collector = createByteCollector(limit.open('a'), 1_000_000)
    const before = process.memoryUsage().rss
    for (let index = 0; index < 1_000_000; index++) collector.tryAppend(Buffer.from([index % 250]))
    expect(collector.bytes()).toHaveLength(1_000_000)
    expect(limit.heldBytes).toBe(1_000_000)
    expect(process.memoryUsage().rss - before).toBeLessThan(100_000_000)
  })

  // Guards against small messages that fail because others have taken the limit.
  test('has its first bytes outside the limit when it is told so', () => {
    const limit = createSharedLimit(0)
    const collector = createByteCollector(limit.open('a'), 9000, 5000)
    for (let index = 0; index < 5000; index++) expect(collector.tryAppend(Buffer.from([index % 250]))).toBe(true)
    expect(collector.tryAppend(Buffer.alloc(1))).toBe(false)
    expect(collector.length).toBe(5000)
    expect(collector.bytes().every((byte, index) => byte === index % 250)).toBe(true)
  })

  // Guards against bytes beyond the first ones that are not counted, and first ones that are.
  test('counts what it allocates beyond its first bytes', () => {
    const limit = createSharedLimit(100_000)
    const collector = createByteCollector(limit.open('a'), 9000, 5000)
    collector.tryAppend(Buffer.alloc(4000))
    expect(limit.heldBytes).toBe(0)
    collector.tryAppend(Buffer.alloc(4500))
    expect(limit.heldBytes).toBe(3500)
    collector.tryAppend(Buffer.alloc(500))
    expect(limit.heldBytes).toBe(4000)
  })

  test('has no limit but its own without a holding', () => {
    const collector = createByteCollector(undefined, 9000)
    expect(collector.tryAppend(Buffer.alloc(9000))).toBe(true)
    expect(collector.tryAppend(Buffer.alloc(1))).toBe(false)
  })

  // Guards against a message that is copied for each of its bytes once its holder has little left, which blocks the process.
  test('grows in few steps, also close to the limit of its holder', () => {
    const limit = createSharedLimit(6_000_000)
    const holding = limit.open('a')
    let steps = 0
    const collector = createByteCollector({
      ...holding,
      tryAdd: (bytes) => {
        const isAdded = holding.tryAdd(bytes)
        if (isAdded) steps++
        return isAdded
      }
    }, 4_000_000)
    const chunk = Buffer.alloc(1)
    while (collector.tryAppend(chunk)) { /* until it is refused */ }
    expect(collector.length).toBe(3_000_000)
    expect(steps).toBeLessThan(60)
  })
})
