import { describe, expect, test } from '@jest/globals'
import { orderMoves, retryMoveAt, type BalanceMove } from '../decisions/balanceMoves.js'

function createMove (changes: Partial<BalanceMove>): BalanceMove {
  return { account: 'school', tokens: 1000, waiting: 0, coverage: 0.5, notBefore: 0, ...changes }
}

function orderedAccounts (moves: readonly BalanceMove[], now = 100): readonly string[] {
  return orderMoves(moves, now).map(({ account }) => account)
}

describe('pattern: all instances of a large fleet draw on the same accounts at once', () => {
  test('what callers wait for comes first, then returns, then the draw in advance that covers least', () => {
    expect(orderedAccounts([
      createMove({ account: 'covered', coverage: 0.7 }),
      createMove({ account: 'bare', coverage: 0.1 }),
      createMove({ account: 'returned', tokens: -500, coverage: 3 }),
      createMove({ account: 'one caller', waiting: 1 }),
      createMove({ account: 'three callers', waiting: 3 })
    ])).toEqual(['three callers', 'one caller', 'returned', 'bare', 'covered'])
  })

  test('nothing to move, and a move that is put off, are left out', () => {
    expect(orderedAccounts([createMove({ tokens: 0 }), createMove({ notBefore: 101 })])).toEqual([])
    expect(orderedAccounts([createMove({ notBefore: 100 })])).toEqual(['school'])
  })

  test('a draw keeps away longer when the store has a queue, and one in advance longer than one for callers', () => {
    const pauseOf = (isNeeded: boolean, took: number): number => retryMoveAt(isNeeded, took, 0, 1)
    expect(pauseOf(true, 100)).toBeGreaterThan(pauseOf(true, 10))
    expect(pauseOf(false, 10)).toBeGreaterThan(pauseOf(true, 10))
    // Callers wait no longer than 0.7 s.
    expect(pauseOf(true, 10_000)).toBeLessThanOrEqual(700)
    expect(retryMoveAt(true, 100, 50, 0)).toBe(50)
  })
})
