import { describe, expect, test } from '@jest/globals'
import { createSharedLimit } from '@quinceshunt/memory-limits'
import { createBufferedBody } from '../tasks/bufferedBody.js'

const KIB = 1024
const MIB = 1024 * KIB
const chunkOf = (bytes: number): Buffer => Buffer.alloc(bytes, 'x')

describe('the buffered body of a response', () => {
  // Guards against small answers that fail because others have taken the limit.
  test('has its first 64 KiB outside the limit', () => {
    const limit = createSharedLimit(0)
    const body = createBufferedBody(limit, 'server')
    expect(body.add(chunkOf(64 * KIB))).toBe(true)
    expect(body.concat().length).toBe(64 * KIB)
    expect(body.add(chunkOf(1))).toBe(false)
    expect(limit.heldBytes).toBe(0)
  })

  // Guards against a sender that takes what the others need.
  test('fails once its sender has half of the limit, and those of another sender do not', () => {
    const limit = createSharedLimit(8 * MIB)
    const chunk = chunkOf(MIB)
    const floods = Array.from({ length: 10 }, () => createBufferedBody(limit, 'first'))
    expect(floods.filter((body) => body.add(chunk)).length).toBe(4)
    expect(createBufferedBody(limit, 'second').add(chunk)).toBe(true)
  })

  // Guards against one response without end that is kept whole.
  test('fails beyond 4 MiB', () => {
    const body = createBufferedBody(createSharedLimit(1000 * MIB), 'server')
    expect([1, 2, 3, 4, 5].map(() => body.add(chunkOf(MIB)))).toEqual([true, true, true, true, false])
    expect(body.bytes).toBe(5 * MIB)
  })

  // Guards against bytes that stay counted after the request has ended.
  test('gives its bytes back, and keeps none that come later', () => {
    const limit = createSharedLimit(8 * MIB)
    const body = createBufferedBody(limit, 'server')
    body.add(chunkOf(MIB))
    body.release()
    expect(limit.heldBytes).toBe(0)
    expect(body.add(chunkOf(MIB))).toBe(true)
    expect(limit.heldBytes).toBe(0)
    expect(body.concat().length).toBe(0)
    // It is still one response, whose size is limited.
    expect([1, 2, 3].map(() => body.add(chunkOf(MIB)))).toEqual([true, true, false])
  })
})
