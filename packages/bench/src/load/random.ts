import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import { uniformInt } from 'pure-rand/distribution/uniformInt'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'

/** Seeded random numbers. */
export interface SeededRandom {
  /** From 0 up to but without 1. */
  share (): number
  /** Whole number, both bounds included. */
  between (lowest: number, highest: number): number
  /** Time to the next event of a Poisson process, in the unit of 1 / rate. */
  interval (rate: number): number
  /** One item, each with the probability of its weight's share. */
  pick<Item>(items: readonly Item[], weightOf: (item: Item) => number): Item
}

/** Creates a generator; the same seed gives the same numbers. */
export function createRandom (seed: number): SeededRandom {
  const generator = xoroshiro128plus(seed)
  const share = (): number => uniformFloat64(generator)
  return {
    share,
    between: (lowest, highest) => uniformInt(generator, lowest, highest),
    interval: (rate) => -Math.log(1 - share()) / rate,
    pick: (items, weightOf) => {
      const total = items.reduce((sum, item) => sum + weightOf(item), 0)
      let left = share() * total
      for (const item of items) {
        left -= weightOf(item)
        if (left < 0) return item
      }
      return items.at(-1)!
    }
  }
}
