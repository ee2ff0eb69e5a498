import { describe, expect, test } from '@jest/globals'
import { systemClock } from '@quinceshunt/effects'
import { createIsolationMonitor } from '../isolationMonitor.js'

describe('isolationMonitor', () => {
  // Guards against an instance that keeps serving after the time limit without contact, or refuses too early.
  test('reports isolation only after the whole time without contact', () => {
    let now = 0
    const monitor = createIsolationMonitor({ ...systemClock, now: () => now }, 1000)
    const stateAt = (time: number): boolean => {
      now = time
      return monitor.isIsolated()
    }
    expect([0, 999, 1000].map(stateAt)).toEqual([false, false, true])
    monitor.recordContact()
    expect([1000, 1999, 2000].map(stateAt)).toEqual([false, false, true])
  })
})
