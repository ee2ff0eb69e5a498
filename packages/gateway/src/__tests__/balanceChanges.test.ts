import { describe, expect, test } from '@jest/globals'
import { conflictRetryAt, prioritizeChanges, type BalanceChange } from '../decisions/balanceChanges.js'

function createChange (changes: Partial<BalanceChange>): BalanceChange {
  return { account: 'school', tokens: 1000, isAnnouncement: false, waitingRequests: 0, coverage: 0.5, notBefore: 0, ...changes }
}

function orderedAccounts (changes: readonly BalanceChange[], now = 100): readonly string[] {
  return prioritizeChanges(changes, now).map(({ account }) => account)
}

describe('all instances of a large fleet draw on the same accounts at once', () => {
  test('draws that callers wait for come first, then returns, then draws in advance by lowest coverage', () => {
    expect(orderedAccounts([
      createChange({ account: 'covered', coverage: 0.7 }),
      createChange({ account: 'bare', coverage: 0.1 }),
      createChange({ account: 'returned', tokens: -500, coverage: 3 }),
      createChange({ account: 'one caller', waitingRequests: 1 }),
      createChange({ account: 'three callers', waitingRequests: 3 })
    ])).toEqual(['three callers', 'one caller', 'returned', 'bare', 'covered'])
  })

  test('empty and deferred changes are left out', () => {
    expect(orderedAccounts([createChange({ tokens: 0 }), createChange({ notBefore: 101 })])).toEqual([])
    expect(orderedAccounts([createChange({ notBefore: 100 })])).toEqual(['school'])
  })

  test('the backoff grows with the duration of the transaction and is longer for draws in advance', () => {
    const backoffOf = (isNeeded: boolean, took: number): number => conflictRetryAt(isNeeded, took, 0, 1)
    expect(backoffOf(true, 100)).toBeGreaterThan(backoffOf(true, 10))
    expect(backoffOf(false, 10)).toBeGreaterThan(backoffOf(true, 10))
    // Callers wait for at most 0.7 s.
    expect(backoffOf(true, 10_000)).toBeLessThanOrEqual(700)
    expect(conflictRetryAt(true, 100, 50, 0)).toBe(50)
  })
})
