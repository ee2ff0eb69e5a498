import { expect, test } from '@jest/globals'
import { createSharedClock } from '../decisions/sharedClock.js'

// Guards against crashes that are put in the wrong order because responses of the store took different times.
test('the fastest response decides, and a clock that stood still catches up', () => {
  const clock = createSharedClock()
  expect(clock.fromLocal(1000)).toBeUndefined()
  clock.observe(5000, 1040)
  clock.observe(5100, 1104)
  clock.observe(5200, 1400)
  expect(clock.fromLocal(1500)).toBe(5496)
  // The process was suspended for two seconds, in which its own clock stood still.
  clock.observe(7600, 1604)
  expect(clock.fromLocal(1700)).toBe(7696)
})
