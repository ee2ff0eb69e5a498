import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import { uniformInt } from 'pure-rand/distribution/uniformInt'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'

/** Seeded random number generator. */
export interface SeededRandom {
  /** Uniform number from 0 up to but without 1. */
  uniform (): number
  /** Uniform integer, both bounds included. */
  integer (lowest: number, highest: number): number
  /** Exponentially distributed time to the next event of a Poisson process, in units of 1 / rate. */
  exponential (rate: number): number
  /** One of the items, each with a probability proportional to its weight. */
  weightedChoice<Item>(items: readonly Item[], weightOf: (item: Item) => number): Item
}

/** Creates a generator; the same seed gives the same numbers. */
export function createRandom (seed: number): SeededRandom {
  const generator = xoroshiro128plus(seed)
  const uniform = (): number => uniformFloat64(generator)
  return {
    uniform,
    integer: (lowest, highest) => uniformInt(generator, lowest, highest),
    exponential: (rate) => -Math.log(1 - uniform()) / rate,
    weightedChoice: (items, weightOf) => {
      const totalWeight = items.reduce((sum, item) => sum + weightOf(item), 0)
      let remainingWeight = uniform() * totalWeight
      for (const item of items) {
        remainingWeight -= weightOf(item)
        if (remainingWeight < 0) return item
      }
      return items.at(-1)!
    }
  }
}
