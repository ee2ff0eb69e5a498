import { expect, test } from '@jest/globals'
import { decodeLeaseRow, encodeLeaseRow, leaseTotals, reclaimableTokens, unrecordedTokens, type LeaseRow } from '../decisions/leaseRow.js'

const row: LeaseRow = { lifetime: 'a.1', sequence: 7, era: 3, sealedUntil: 1000, accounts: { school: { held: 500, limit: 100, opening: 0, total: 800 } } }

// Guards against tokens that are taken for returned because a later version stores the totals of used-up accounts in a shorter form.
test('totals of used-up accounts are read from the shorter form', () => {
  const spent = decodeLeaseRow(JSON.stringify({ ...row, spent: { museum: 5000 } }))
  const whole = decodeLeaseRow(JSON.stringify({ ...row, accounts: { ...row.accounts, museum: { held: 0, limit: 0, opening: 0, total: 5000 } } }))
  expect(spent).toEqual(whole)
  expect([...leaseTotals(spent)]).toEqual([['school', 800], ['museum', 5000]])
  expect([...unrecordedTokens(spent)]).toEqual([])
  expect([...reclaimableTokens(spent, 2000)]).toEqual([...reclaimableTokens(row, 2000)])
})

// Guards against rows that a process of the landing before can't read whole.
test('rows are written in the form that the landing before reads', () => {
  expect(JSON.parse(encodeLeaseRow(row))).toEqual(row)
})

// Guards against a row that loses an account's total, or hands out tokens again, when it is written in the shorter form.
test('accounts without tokens for the next process are written in the shorter form and read alike', () => {
  const mixed: LeaseRow = {
    ...row,
    accounts: {
      ...row.accounts,
      museum: { held: 0, limit: 0, opening: 0, total: 5000 },
      vendor: { held: 0, limit: 0, opening: 0, total: 70, unrecorded: 30 }
    }
  }
  const written = encodeLeaseRow(mixed)
  expect(JSON.parse(written).spent).toEqual({ museum: 5000 })
  expect(decodeLeaseRow(written)).toEqual(mixed)
})
