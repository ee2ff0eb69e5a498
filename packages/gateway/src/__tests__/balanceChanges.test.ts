import { describe, expect, test } from '@jest/globals'
import { prioritizeChanges, conflictRetryAt, type BalanceChange } from '../decisions/balanceChanges.js'

function createChange (changes: Partial<BalanceChange>): BalanceChange {
  return { account: 'school', tokens: 1000, waitingRequests: 0, coverage: 0.5, notBefore: 0, ...changes }
}

function orderedAccounts (changes: readonly BalanceChange[], now = 100): readonly string[] {
  return prioritizeChanges(changes, now).map(({ account }) => account)
}

describe('pattern: all instances of a large fleet draw on the same accounts at once', () => {
  test('what callers wait for comes first, then returns, then the draw in advance that covers least', () => {
    expect(orderedAccounts([
      createChange({ account: 'covered', coverage: 0.7 }),
      createChange({ account: 'bare', coverage: 0.1 }),
      createChange({ account: 'returned', tokens: -500, coverage: 3 }),
      createChange({ account: 'one caller', waitingRequests: 1 }),
      createChange({ account: 'three callers', waitingRequests: 3 })
    ])).toEqual(['three callers', 'one caller', 'returned', 'bare', 'covered'])
  })

  test('nothing to move, and a move that is put off, are left out', () => {
    expect(orderedAccounts([createChange({ tokens: 0 }), createChange({ notBefore: 101 })])).toEqual([])
    expect(orderedAccounts([createChange({ notBefore: 100 })])).toEqual(['school'])
  })

  test('a draw keeps away longer when the store has a queue, and one in advance longer than one for callers', () => {
    const backoffOf = (isNeeded: boolean, took: number): number => conflictRetryAt(isNeeded, took, 0, 1)
    expect(backoffOf(true, 100)).toBeGreaterThan(backoffOf(true, 10))
    expect(backoffOf(false, 10)).toBeGreaterThan(backoffOf(true, 10))
    // Callers wait no longer than 0.7 s.
    expect(backoffOf(true, 10_000)).toBeLessThanOrEqual(700)
    expect(conflictRetryAt(true, 100, 50, 0)).toBe(50)
  })
})
