import { describe, expect, test } from '@jest/globals'
import { mayTake, planStop } from '../decisions/stopPlan.js'

describe('a planned stop', () => {
  test('takes requests for three seconds when there is time for them', () => {
    const plan = planStop(1000, 8000)
    expect(plan).toEqual({ killedAt: 9000, abandonedAt: 8000, takenUntil: 4000 })
    expect([1000, 3999, 4000].map((now) => mayTake(plan, now + 15_000, now))).toEqual([true, true, false])
  })

  // Guards against requests that are taken although they would be cut off when the process exits.
  test('takes only what can end in time when the time is short', () => {
    const plan = planStop(0, 4000)
    expect(plan.abandonedAt).toBe(3500)
    expect([400, 500, 501].map((now) => mayTake(plan, now + 15_000, now))).toEqual([true, true, false])
    expect([2600, 2700, 2701].map((now) => mayTake(plan, now + 800, now))).toEqual([true, true, false])
  })

  test('takes nothing that could not end at all', () => {
    const plan = planStop(0, 1000)
    expect(mayTake(plan, 1500, 0)).toBe(false)
    expect(mayTake(plan, 500, 0)).toBe(true)
  })
})
