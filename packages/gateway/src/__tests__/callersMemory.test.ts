import { beforeEach, describe, expect, test } from '@jest/globals'
import { createCallersMemory, type CallersMemory, type RequestMemory } from '../tasks/callersMemory.js'

const LARGE = 4_000_000
const CALLER_TIMEOUT_AT = 10_000

let now: number
let memory: CallersMemory
let ended: string[]

beforeEach(() => {
  now = 0
  ended = []
  memory = createCallersMemory(() => now)
})

function open (holder: string, id = '', isUnread = true): RequestMemory | undefined {
  return memory.open({ holder, callerTimeoutAt: CALLER_TIMEOUT_AT, isUnread: () => isUnread, end: () => { ended.push(id) } })
}

/** Opens requests with large answers until one is refused; returns how many were held. */
function fill (holder: string, isUnread = true): number {
  let held = 0
  while (open(holder, `${holder}-${held}`, isUnread)?.tryAddAnswer(LARGE) === true) held++
  return held
}

describe('the memory of callers\' requests', () => {
  // Guards against an account that leaves no memory to the requests of another one.
  test('is left to other accounts while one fills its share', () => {
    expect(fill('first')).toBeGreaterThanOrEqual(6)
    expect(open('first')?.tryAddAnswer(LARGE)).not.toBe(true)
    const other = open('second')
    expect(other?.tryAddAnswer(LARGE)).toBe(true)
  })

  // Guards against memory that is counted for nobody while a backend server or a caller still holds a request.
  test('is released once, when the last that keeps a request lets it go', () => {
    const request = open('first')
    const releaseResponse = request?.keep()
    const releaseWork = request?.keep()
    request?.tryAddPart(LARGE)
    releaseWork?.()
    releaseWork?.()
    expect(memory.heldBytes).toBeGreaterThan(LARGE)
    releaseResponse?.()
    expect(memory.heldBytes).toBe(0)
  })

  // Guards against bodies in single bytes, whose buffers take far more memory than their bytes.
  test('counts the buffers of small parts', () => {
    const request = open('first')
    const before = memory.heldBytes
    for (let part = 0; part < 10_000; part++) request?.tryAddPart(1)
    expect(memory.heldBytes - before).toBeGreaterThan(2_000_000)
  })

  // Guards against unread answers that keep their account's memory for good.
  test('is taken from unread answers after the time limit of their callers, and only when their holder needs it', () => {
    const held = fill('first')
    now = CALLER_TIMEOUT_AT
    expect(open('first')?.tryAddAnswer(LARGE)).not.toBe(true)
    now += 5000
    expect(open('second')?.tryAddAnswer(LARGE)).toBe(true)
    expect(ended).toEqual([])
    expect(open('first')?.tryAddAnswer(LARGE)).toBe(true)
    expect(ended.length).toBeGreaterThanOrEqual(held)
  })

  // Guards against requests in progress, or answers that are being processed, that are cut off.
  test('is not taken from requests without an unread answer', () => {
    fill('first', false)
    now = CALLER_TIMEOUT_AT + 5000
    expect(open('first', '', false)?.tryAddAnswer(LARGE)).not.toBe(true)
    expect(ended).toEqual([])
  })
})
