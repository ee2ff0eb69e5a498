import type { Sheet } from '@quinceshunt/schemas'
import { stringify } from 'yaml'
import type { SheetFileFormat } from './parseSheet.js'
import { CSV_COLUMNS } from './readCsv.js'
import { fieldNames, snakeCase, type RecordKind } from './recordShapes.js'

type Fields = Record<string, unknown>

/** Serializes a sheet; `parseSheet` reads the same sheet back. */
export function formatSheet (format: SheetFileFormat, sheet: Sheet): string {
  switch (format) {
    case 'csv': return formatCsv(sheet)
    case 'yaml': return formatYaml(sheet)
  }
}

/** Fields of a record without those at their default value; `idempotent` is required and always kept. */
function nonDefaultFields (kind: RecordKind, record: object): Fields {
  const values = record as Fields
  return Object.fromEntries(fieldNames(kind)
    .map((name) => [name, toPlainValue(values[name])] as const)
    .filter(([name, value]) => value !== undefined && (name === 'idempotent' || !isDefault(value))))
}

function toPlainValue (value: unknown): unknown {
  return typeof value === 'bigint' ? Number(value) : value
}

function isDefault (value: unknown): boolean {
  return value === 0 || value === false || value === '' || (Array.isArray(value) && value.length === 0)
}

function formatYaml (sheet: Sheet): string {
  const list = (kind: RecordKind, records: readonly object[]): Fields[] => records.map((record) => nonDefaultFields(kind, record))
  return stringify({
    deployment: sheet.deployment,
    clientAccounts: list('clientAccount', sheet.clientAccounts),
    budgets: sheet.budgets.map((budget) => ({ ...nonDefaultFields('budget', budget), topUps: budget.topUps.map((topUp) => ({ id: topUp.id, tokens: Number(topUp.tokens) })) })),
    keys: list('key', sheet.keys),
    models: list('model', sheet.models),
    services: list('service', sheet.services),
    routes: list('route', sheet.routes),
    backendServers: list('backendServer', sheet.backendServers)
  })
}

function formatCsv (sheet: Sheet): string {
  const records: readonly (readonly [RecordKind, object])[] = [
    ['deployment', { id: sheet.deployment }],
    ...sheet.clientAccounts.map((record) => ['clientAccount', record] as const),
    ...sheet.budgets.flatMap((budget) => [
      ['budget', budget] as const,
      ...budget.topUps.map((topUp) => ['topUp', { budget: budget.id, id: topUp.id, tokens: topUp.tokens }] as const)
    ]),
    ...sheet.keys.map((record) => ['key', record] as const),
    ...sheet.models.map((record) => ['model', record] as const),
    ...sheet.services.map((record) => ['service', record] as const),
    ...sheet.routes.map((record) => ['route', record] as const),
    ...sheet.backendServers.map((record) => ['backendServer', record] as const)
  ]
  const rows = records.map(([kind, record]) => {
    const cells = new Map(Object.entries(nonDefaultFields(kind, record)).map(([name, value]) => [snakeCase(name), formatCell(value)]))
    cells.set('record', snakeCase(kind))
    return CSV_COLUMNS.map((column) => cells.get(column) ?? '').join(',')
  })
  return `${[CSV_COLUMNS.join(','), ...rows].join('\n')}\n`
}

/** Needs no quoting: no valid value contains a comma, a quote or a line break. */
function formatCell (value: unknown): string {
  return Array.isArray(value) ? value.join(' ') : String(value)
}
