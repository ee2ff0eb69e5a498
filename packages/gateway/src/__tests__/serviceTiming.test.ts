import { describe, expect, test } from '@jest/globals'
import { createSeededRandom } from '../__fixtures__/seededRandom.js'
import { createServiceTiming } from '../decisions/serviceTiming.js'

/** Records responses of an engine that reads `rate` tokens a millisecond, three quarters of which waited up to half a second for others. */
function recordResponses (rate: number, count: number): ReturnType<typeof createServiceTiming> {
  const random = createSeededRandom(1)
  const timing = createServiceTiming()
  for (let index = 0; index < count; index++) {
    const tokens = index % 2 === 0 ? 600 + Math.floor(random() * 200) : 6000 + Math.floor(random() * 4000)
    const wait = random() < 0.75 ? random() * 500 : 0
    timing.recordFirstByte(tokens, 20 + tokens / rate + wait)
  }
  return timing
}

describe('the times of the engines of one customer, most of whose responses waited for other requests', () => {
  // Guards against prefill times that are wrong by the factor between two customers' engines, and against waits that count as prefill.
  test.each([36.1, 49.6, 93.6])('a rate of %d tokens a millisecond is learned within a fifth', (rate) => {
    const timing = recordResponses(rate, 400)
    expect(timing.tokensPerMillisecond).toBeGreaterThan(rate * 0.8)
    expect(timing.tokensPerMillisecond).toBeLessThan(rate * 1.2)
    expect(timing.expectedFirstByte(9000)).toBeGreaterThan(9000 / rate * 0.8)
  })

  // Guards against a choice that follows the first few responses of a process.
  test('too few responses leave the prior in force', () => {
    expect(recordResponses(36.1, 10).tokensPerMillisecond).toBe(createServiceTiming().tokensPerMillisecond)
  })

  // Guards against one impossible time that makes all estimates useless.
  test('times that are no numbers are left out, and the rate stays within its limits', () => {
    const timing = createServiceTiming()
    for (let index = 0; index < 40; index++) {
      timing.recordFirstByte(500, Number.NaN)
      timing.recordFirstByte(500, 400)
      timing.recordFirstByte(9000, 400)
    }
    expect(timing.tokensPerMillisecond).toBe(500)
    expect(timing.expectedFirstByte(0)).toBeGreaterThan(0)
  })
})
