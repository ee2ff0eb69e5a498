import { create } from '@bufbuild/protobuf'
import { SheetSchema, type Sheet } from '@quinceshunt/schemas'
import { checkReferences } from './checkReferences.js'
import { checkShapes } from './checkShapes.js'
import type { Entry, SheetFault } from './entry.js'
import { groupBy } from './groupBy.js'
import { readCsv } from './readCsv.js'
import { readYaml } from './readYaml.js'
import { recordShapes, type RecordKind, type RecordOf } from './recordShapes.js'

/** Format of a sheet's file. */
export type SheetFileFormat = 'csv' | 'yaml'

/** A sheet, or everything that is wrong with it. */
export type ParsedSheet =
  | { readonly kind: 'valid', readonly sheet: Sheet }
  | { readonly kind: 'invalid', readonly faults: readonly SheetFault[] }

/** Format by the ending of a file name; undefined when it is neither. */
export function formatOfFile (file: string): SheetFileFormat | undefined {
  if (/\.csv$/i.test(file)) return 'csv'
  return /\.ya?ml$/i.test(file) ? 'yaml' : undefined
}

/** Reads and validates a whole sheet; all faults are reported at once. */
export function parseSheet (format: SheetFileFormat, content: string): ParsedSheet {
  const { entries, faults } = format === 'csv' ? readCsv(content) : readYaml(content)
  const allFaults = [...faults, ...checkShapes(entries), ...(entries.length === 0 && faults.length > 0 ? [] : checkReferences(entries))]
  if (allFaults.length > 0) return { kind: 'invalid', faults: inFileOrder(allFaults) }
  return { kind: 'valid', sheet: buildSheet(entries) }
}

/** Rows of a table in their order; places of YAML, which have no row, stay as they are. */
function inFileOrder (faults: readonly SheetFault[]): readonly SheetFault[] {
  const rowOf = (fault: SheetFault): number => Number(/^row (\d+)/.exec(fault.place)?.[1] ?? 0)
  return [...faults].sort((one, other) => rowOf(one) - rowOf(other))
}

function buildSheet (entries: readonly Entry[]): Sheet {
  const records = <Kind extends RecordKind> (kind: Kind): RecordOf<Kind>[] =>
    entries.filter((entry) => entry.kind === kind).map((entry) => recordShapes[kind].parse(entry.fields) as RecordOf<Kind>)
  const topUps = groupBy(records('topUp'), (topUp) => topUp.budget)
  return create(SheetSchema, {
    deployment: records('deployment')[0]!.id,
    clientAccounts: records('clientAccount'),
    budgets: records('budget').map((budget) => ({
      ...budget,
      topUps: (topUps.get(budget.id) ?? []).map((topUp) => ({ id: topUp.id, tokens: BigInt(topUp.tokens) }))
    })),
    keys: records('key'),
    models: records('model'),
    services: records('service'),
    routes: records('route').map((route) => ({ ...route, priceTokens: BigInt(route.priceTokens ?? 0) })),
    backendServers: records('backendServer')
  })
}
