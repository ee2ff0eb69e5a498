import { describe, expect, it } from '@jest/globals'
import fc from 'fast-check'
import { loanAhead, type LoanAheadInput } from '../decisions/loanAhead.js'
import { createRecentDemand } from '../decisions/recentDemand.js'

/** An instance with ten requests of an account in the last second. */
function buildInput (overrides: Partial<LoanAheadInput> = {}): LoanAheadInput {
  return { neededTokens: 80_000, neededRequests: 10, usableTokens: 0, unusedTokens: 30_000_000, ...overrides }
}

describe('a loan ahead of requests', () => {
  // Issue 57: each request of a large client account waited for a loan of its own at the instance to which its callers had moved.
  it('covers the need of a second, and is asked for again once half of it is used', () => {
    expect(loanAhead(buildInput())).toBe(80_000)
    expect(loanAhead(buildInput({ usableTokens: 39_999 }))).toBe(40_001)
    expect(loanAhead(buildInput({ usableTokens: 40_000 }))).toBe(0)
  })

  // Guards against small accounts that look used up, as their tokens lie at instances with a single request.
  it('is not asked for after a few requests', () => {
    expect(loanAhead(buildInput({ neededRequests: 3 }))).toBe(0)
  })

  // Guards against the last tokens of an account that lie at one instance, and against a kill that loses many.
  it('leaves all but a fiftieth of the unused tokens to others', () => {
    fc.assert(fc.property(fc.nat(10_000_000), fc.nat(1000), fc.nat(10_000_000), fc.nat(50_000_000), (neededTokens, neededRequests, usableTokens, unusedTokens) => {
      const borrowed = loanAhead({ neededTokens, neededRequests, usableTokens, unusedTokens })
      if (borrowed > 0) expect(usableTokens + borrowed).toBeLessThanOrEqual(unusedTokens / 50 + 1)
    }))
  })
})

describe('the recent demand of an account', () => {
  // Guards against loans ahead for callers that have gone elsewhere.
  it('is that of the last second', () => {
    const demand = createRecentDemand()
    for (let now = 0; now < 5000; now += 50) demand.add(1000, now)
    expect(demand.sum(4999)).toEqual({ tokens: 20_000, requests: 20 })
    expect(demand.sum(5500).requests).toBeLessThanOrEqual(10)
    expect(demand.sum(6000)).toEqual({ tokens: 0, requests: 0 })
  })
})
