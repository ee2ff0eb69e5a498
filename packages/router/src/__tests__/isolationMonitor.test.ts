import { describe, expect, test } from '@jest/globals'
import { systemClock } from '@quinceshunt/effects'
import { createIsolationMonitor } from '../isolationMonitor.js'

describe('isolationMonitor', () => {
  // Guards against an instance that serves on although it has heard from nobody for too long, or that refuses too early.
  test('counts as isolated only after nothing was heard for the whole time', () => {
    let now = 0
    const monitor = createIsolationMonitor({ ...systemClock, now: () => now }, 1000)
    const stateAt = (time: number): boolean => {
      now = time
      return monitor.isIsolated()
    }
    expect([0, 999, 1000].map(stateAt)).toEqual([false, false, true])
    monitor.heard()
    expect([1000, 1999, 2000].map(stateAt)).toEqual([false, false, true])
  })
})
