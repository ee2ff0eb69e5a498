import { describe, expect, test } from '@jest/globals'
import fc from 'fast-check'
import { createRoomLine, LESS_URGENT_GRANT_INTERVAL, RETURN_MS, type LineEntry, type RoomLine } from '../decisions/roomLine.js'

const SLOTS = 18

function entry (changes: Partial<LineEntry> = {}): LineEntry {
  return { account: 'a', weight: 1, cost: 1, priority: 0, enqueuedAt: 0, waitUntil: 100, ...changes }
}

/** A line of a service that has freed slots at the given rate until time 0. */
function createBusyLine (freedPerSecond: number): RoomLine<LineEntry> {
  const line = createRoomLine<LineEntry>()
  for (let at = -5000; at <= 0; at += 10) line.noteFreed(freedPerSecond / 100, at)
  return line
}

function takeAll (line: RoomLine<LineEntry>): readonly LineEntry[] {
  return Array.from({ length: line.length }, () => line.takeNext(() => true) as LineEntry)
}

describe('the line of requests that wait for room', () => {
  test('lets more urgent requests go first, and the oldest first among equals', () => {
    const line = createRoomLine<LineEntry>()
    const entries = [entry({ priority: 2, enqueuedAt: 0 }), entry({ priority: 0, enqueuedAt: 1 }), entry({ priority: 1, enqueuedAt: 2 }), entry({ priority: 0, enqueuedAt: 3 })]
    for (const added of entries) line.add(added)
    expect(takeAll(line)).toEqual([entries[1], entries[3], entries[2], entries[0]])
  })

  // Load: a burst of urgent requests that alone exceeds what the servers serve.
  test('gives each less urgent priority its part of a tenth of the grants under lasting urgent load', () => {
    const line = createRoomLine<LineEntry>()
    const granted = [0, 0, 0, 0]
    for (let index = 0; index < 4; index++) line.add(entry({ priority: index }))
    for (let grant = 0; grant < 300; grant++) {
      const next = line.takeNext(() => true) as LineEntry
      granted[next.priority] = (granted[next.priority] ?? 0) + 1
      line.add(entry({ priority: next.priority }))
    }
    expect(granted[0]).toBe(270)
    for (const count of granted.slice(1)) expect(count).toBe(10)
  })

  // Guards against less urgent requests that are never let into the line because the more urgent ones ahead of them fill it.
  test('expects no longer wait of a less urgent request than its reserved grants take', () => {
    const line = createBusyLine(400)
    for (let index = 0; index < 40; index++) line.add(entry({ priority: 0 }))
    const lessUrgent = entry({ priority: 5 })
    line.add(lessUrgent)
    expect(line.expectedWait(lessUrgent, SLOTS, 0)).toBe(0)
    const second = entry({ priority: 5 })
    line.add(second)
    expect(line.expectedWait(second, SLOTS, 0)).toBeCloseTo(1000 * LESS_URGENT_GRANT_INTERVAL / 400, 0)
  })

  // Load: one client account at 7.5 times its usual rate.
  test('shares grants evenly between client accounts that wait', () => {
    const line = createRoomLine<LineEntry>()
    for (let index = 0; index < 75; index++) line.add(entry({ account: 'busy' }))
    for (let index = 0; index < 10; index++) line.add(entry({ account: 'usual' }))
    const first = takeAll(line).slice(0, 20).map(({ account }) => account)
    expect(first.filter((account) => account === 'usual')).toHaveLength(10)
  })

  test('expects a short wait of an account that has nothing in a long line', () => {
    const line = createBusyLine(400)
    for (let index = 0; index < 40; index++) line.add(entry({ account: 'busy' }))
    const busy = entry({ account: 'busy' })
    line.add(busy)
    expect(Math.abs(line.expectedWait(busy, SLOTS, 0) - 100)).toBeLessThan(2)
    const usual = entry({ account: 'usual' })
    line.add(usual)
    expect(line.expectedWait(usual, SLOTS, 0)).toBeCloseTo(2.5, 1)
  })

  // Guards against a line that grows without limit before the rate is known.
  test('lets as many wait as there are slots while the rate is unknown', () => {
    const line = createRoomLine<LineEntry>()
    const waits = Array.from({ length: SLOTS + 1 }, () => {
      const added = entry()
      line.add(added)
      return line.expectedWait(added, SLOTS, 0)
    })
    expect(waits.filter((wait) => wait === 0)).toHaveLength(SLOTS)
    expect(waits.at(-1)).toBe(Infinity)
  })

  // Load: one of three servers lost, so that slots become free at two thirds of the rate.
  test('expects longer waits within two seconds of a loss', () => {
    const line = createBusyLine(600)
    for (let index = 0; index < 30; index++) line.add(entry())
    const last = entry()
    line.add(last)
    expect(line.expectedWait(last, SLOTS, 0)).toBeCloseTo(50, 0)
    for (let at = 10; at <= 2000; at += 10) line.noteFreed(4, at)
    expect(line.expectedWait(last, SLOTS, 2000)).toBeGreaterThan(67)
  })

  test('passes over requests that none of the free servers can serve', () => {
    const line = createRoomLine<LineEntry>()
    const [stuck, servable] = [entry({ account: 'stuck' }), entry({ account: 'servable', priority: 3 })]
    line.add(stuck)
    line.add(servable)
    expect(line.takeNext((candidate) => candidate === servable)).toBe(servable)
    expect(line.takeNext((candidate) => candidate === servable)).toBeUndefined()
    expect(line.length).toBe(1)
  })

  // Guards against rejected callers that all return at the same moment.
  test('property: denied callers return in order, spaced as slots become free, within the bounds', () => {
    fc.assert(fc.property(fc.integer({ min: 20, max: 2000 }), fc.array(fc.record({ gap: fc.integer({ min: 0, max: 20 }), wait: fc.oneof(fc.integer({ min: 0, max: 100 }), fc.constant(Infinity)) }), { minLength: 2, maxLength: 200 }), (rate, denials) => {
      const line = createBusyLine(rate)
      let now = 0
      let before: number | undefined
      for (const { gap, wait } of denials) {
        now += gap
        // Slots go on to become free.
        if (gap > 0) line.noteFreed(rate * gap / 1000, now)
        const at = line.retryAt(wait, now)
        expect(at).toBeGreaterThanOrEqual(now + RETURN_MS.least)
        expect(at).toBeLessThanOrEqual(now + RETURN_MS.most)
        const isBounded = at >= now + RETURN_MS.most
        if (before !== undefined && !isBounded) expect(at - before).toBeGreaterThan(700 / rate)
        if (before !== undefined) expect(at).toBeGreaterThanOrEqual(before)
        before = at
      }
    }), { seed: 11 })
  })

  test('property: no priority starves, whatever comes', () => {
    fc.assert(fc.property(fc.array(fc.integer({ min: 0, max: 9 }), { minLength: 1, maxLength: 120 }), (arrivals) => {
      const line = createRoomLine<LineEntry>()
      const lessUrgent = entry({ priority: 9, account: 'waits' })
      line.add(lessUrgent)
      let grants = 0
      for (;;) {
        // Other requests arrive with each grant, more urgent ones among them.
        line.add(entry({ priority: arrivals[grants % arrivals.length] ?? 0 }))
        line.add(entry({ priority: 0 }))
        grants++
        if (line.takeNext(() => true) === lessUrgent) break
        expect(grants).toBeLessThan(LESS_URGENT_GRANT_INTERVAL * 30)
      }
    }), { seed: 13, numRuns: 50 })
  })
})
