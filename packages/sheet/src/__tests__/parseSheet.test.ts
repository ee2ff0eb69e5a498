import { equals } from '@bufbuild/protobuf'
import { describe, expect, test } from '@jest/globals'
import { SheetSchema, type Sheet } from '@quinceshunt/schemas'
import fc from 'fast-check'
import { readFileSync } from 'node:fs'
import { sheetFixture, sheetRows, toCsv } from '../__fixtures__/sheetFixture.js'
import { diffSheets } from '../diffSheets.js'
import { formatSheet } from '../formatSheet.js'
import { parseSheet, type SheetFileFormat } from '../parseSheet.js'

const FORMATS: SheetFileFormat[] = ['csv', 'yaml']
/** Invalid values for cells of the fixture: row, column and value. */
const INVALID_CELLS: readonly (readonly [number, string, string])[] = [
  [2, 'id', 'with space'], [3, 'targets', 'painter nobody'], [4, 'targets', ''], [5, 'client_account', 'nobody'], [6, 'id', 'school-2026'],
  [7, 'tokens', '0'], [7, 'budget', 'nothing-2026'], [8, 'hash_hex', 'k1.secret'], [8, 'salt_hex', 'zz'], [8, 'budget', 'museum-2026'],
  [9, 'completion_tokens', '5000'], [9, 'context_tokens', '1.5'], [10, 'id', 'painter'], [11, 'idempotent', 'maybe'], [11, 'path_prefix', 'deposits'],
  [12, 'address', 'http://painter:9101'], [12, 'slots', '0'], [12, 'target', 'sculptor'], [10, 'slots', '3'], [2, 'record', 'town']
]

function sheetWith (names: readonly string[], amounts: readonly number[]): Sheet {
  const sheet = sheetFixture()
  const accounts = names.map((name, index) => ({ id: `account-${name}`, weight: (index % 100) + 1, targets: ['painter', 'ledger'] }))
  const csv = sheetRows().concat(accounts.map((account) => ['client_account', account.id, '', '', '', account.targets.join(' ')]),
    accounts.map((account) => ['budget', `${account.id}-budget`, account.id]),
    accounts.flatMap((account) => amounts.map((amount, index) => ['top_up', `t${index}`, '', `${account.id}-budget`, String(amount)])))
  const parsed = parseSheet('csv', toCsv(csv))
  return parsed.kind === 'valid' ? parsed.sheet : sheet
}

describe('parseSheet', () => {
  // Guards against fields lost or changed in a round trip through a file.
  test.each(FORMATS)('reads back what formatSheet writes in %s', (format) => {
    const names = fc.uniqueArray(fc.stringMatching(/^[a-z0-9]{1,8}$/), { maxLength: 6 })
    const amounts = fc.array(fc.integer({ min: 1, max: 1_000_000_000_000 }), { maxLength: 3 })
    fc.assert(fc.property(names, amounts, (someNames, someAmounts) => {
      const sheet = sheetWith(someNames, someAmounts)
      expect(sheet.clientAccounts).toHaveLength(2 + someNames.length)
      const parsed = parseSheet(format, formatSheet(format, sheet))
      expect(parsed.kind === 'valid' && equals(SheetSchema, parsed.sheet, sheet)).toBe(true)
    }))
  })

  test.each(['taller.sheet.csv', 'taller.sheet.yaml', 'fundacion.sheet.csv'])('accepts the example %s', (name) => {
    const content = readFileSync(`examples/${name}`, 'utf8')
    expect(parseSheet(name.endsWith('csv') ? 'csv' : 'yaml', content)).toMatchObject({ kind: 'valid' })
  })

  // Guards against validation that stops at the first problem, and against problems without a location.
  test('reports every invalid cell with its row and column', () => {
    fc.assert(fc.property(fc.subarray([...INVALID_CELLS], { minLength: 1 }), (cells) => {
      const rows = sheetRows()
      const places = new Set<string>()
      for (const [row, column, value] of cells) {
        if (rows[row - 1]![0] === 'town') continue
        rows[row - 1]![rows[0]!.indexOf(column)] = value
        places.add(`row ${row}, column ${column}`)
      }
      const parsed = parseSheet('csv', toCsv(rows))
      const problems = parsed.kind === 'invalid' ? parsed.problems : []
      // The other fields of a record of unknown kind are not checked.
      const expected = [...places].filter((place) => !(rows[1]![0] === 'town' && place === 'row 2, column id'))
      expect(problems.map((problem) => problem.place)).toEqual(expect.arrayContaining(expected))
      expect(problems.every((problem) => problem.message !== '' && problem.fix !== '')).toBe(true)
    }))
  })

  test.each([
    ['row 1, column 2', 'record,colour\ndeployment,blue'],
    ['row 2', 'record,id\ndeployment,"taller'],
    ['row 2, column 3', 'record,id\ndeployment,taller,more']
  ])('reports a problem at %s in malformed CSV', (place, content) => {
    const parsed = parseSheet('csv', content)
    expect(parsed.kind === 'invalid' && parsed.problems.map((problem) => problem.place)).toContain(place)
  })

  test.each([
    ['budgets[0].topUps[0].tokens', 'deployment: a\nbudgets: [{id: b, clientAccount: c, topUps: [{id: t, tokens: -1}]}]'],
    ['budgets[0].clientAccount', 'deployment: a\nbudgets: [{id: b, clientAccount: c}]'],
    ['keys[0].colour', 'deployment: a\nkeys: [{colour: blue}]'],
    ['models', 'deployment: a\nmodels: 3'],
    ['line 1', 'deployment: [']
  ])('reports a problem at %s in YAML', (place, content) => {
    const parsed = parseSheet('yaml', content)
    expect(parsed.kind === 'invalid' && parsed.problems.map((problem) => problem.place)).toContain(place)
  })

  test('reads CSV with semicolons and a byte order mark', () => {
    expect(parseSheet('csv', '\uFEFF' + toCsv(sheetRows()).replaceAll(',', ';'))).toMatchObject({ kind: 'valid' })
  })

  // Guards against a non-idempotent route that is treated as idempotent because a broader route before it matches first.
  test('rejects a route that an earlier route shadows', () => {
    const row = (method: string, path: string, idempotent: string): string[] => sheetRows()[10]!.map((cell, index) => index === 11 ? method : index === 12 ? path : index === 13 ? idempotent : cell)
    const rows = [...sheetRows(), row('*', '/orders', 'true'), row('POST', '/orders/new', 'false')]
    expect(parseSheet('csv', toCsv(rows))).toMatchObject({ kind: 'invalid', problems: [{ place: 'row 14, column path_prefix' }] })
  })
})

describe('diffSheets', () => {
  test('shows paths with the values before and after', () => {
    const rows = sheetRows()
    rows[6]![4] = '900'
    const after = parseSheet('csv', toCsv(rows))
    expect(after.kind === 'valid' && diffSheets(sheetFixture(), after.sheet)).toEqual([{ path: 'budgets[school-2026].topUps[july].tokens', before: '500', after: '900' }])
  })
})
