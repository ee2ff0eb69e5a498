import { describe, expect, test } from '@jest/globals'
import fastCheck from 'fast-check'
import { accountForDraws, announceCeiling, closedTokens, decodeDrawCeilings, encodeDrawCeilings, MAX_COPY_AGE_MS, type DrawCeilings } from '../decisions/drawCeilings.js'

const PREPAID = 1_000_000

interface AccountAt {
  readonly storeTime: number
  readonly granted: number
  readonly ceilings: DrawCeilings
}

/** Draws a share of what is open, at moments that follow each other after a pause. */
const draw = fastCheck.record({ pause: fastCheck.integer({ min: 0, max: 4000 }), share: fastCheck.double({ min: 0, max: 1, noNaN: true }), rate: fastCheck.integer({ min: 0, max: 200 }) })

function playDraws (draws: readonly { readonly pause: number, readonly share: number, readonly rate: number }[]): readonly AccountAt[] {
  const history: AccountAt[] = [{ storeTime: 1000, granted: 0, ceilings: accountForDraws(undefined, { era: 1, prepaid: PREPAID, granted: 0, losses: 0 }) }]
  for (const { pause, share, rate } of draws) {
    const last = history.at(-1)
    if (last === undefined) throw new Error('the history is empty')
    const storeTime = last.storeTime + pause
    const open = Math.max(0, PREPAID - last.granted - closedTokens(last.ceilings, storeTime))
    const granted = last.granted + Math.floor(open * share)
    history.push({ storeTime, granted, ceilings: announceCeiling(decodeDrawCeilings(encodeDrawCeilings(last.ceilings)), { ungranted: PREPAID - granted, rate, missingTokens: 0, storeTime }) })
  }
  return history
}

describe('the ceilings of an account', () => {
  // Guards against draws that a copy does not announce: they would be granted again after a loss of all processes.
  test('each copy announces all that is drawn until it is too old', () => {
    fastCheck.assert(fastCheck.property(fastCheck.array(draw, { maxLength: 40 }), (draws) => {
      const history = playDraws(draws)
      for (const [index, copy] of history.entries()) {
        const { withheld } = accountForDraws(copy.ceilings, { era: 2, prepaid: PREPAID, granted: copy.granted, losses: 1 })
        for (const later of history.slice(index)) if (later.storeTime < copy.storeTime + MAX_COPY_AGE_MS) expect(later.granted).toBeLessThanOrEqual(copy.granted + withheld)
      }
    }))
  })

  // Guards against accounts that wait for 12 s after a restore since announcements are lost, and against a later loss that doesn't count what was opened.
  test('a restore without lost draws opens a part at once, which counts as drawn after a loss from a copy of before', () => {
    const account = { era: 1, prepaid: PREPAID, granted: 500_000, losses: 0 }
    const before = accountForDraws(undefined, account)
    const after = accountForDraws(before, { ...account, era: 2 })
    expect(closedTokens(after, 0)).toBeLessThan(closedTokens(before, 0) / 2)
    const lost = accountForDraws(before, { ...account, era: 3, losses: 2 })
    expect(account.granted + lost.withheld).toBeGreaterThanOrEqual(PREPAID - closedTokens(after, 0))
  })

  // Guards against rows that grow with each draw.
  test('a row keeps no more announcements than fit into the age of a copy', () => {
    const draws = Array.from({ length: 200 }, () => ({ pause: 100, share: 0.02, rate: 0 }))
    expect(playDraws(draws).at(-1)?.ceilings.steps.length).toBeLessThanOrEqual(14)
  })
})
