import { create } from '@bufbuild/protobuf'
import { SheetSchema, type Sheet } from '@quinceshunt/schemas'
import { checkReferences } from './checkReferences.js'
import { checkShapes } from './checkShapes.js'
import type { RawRecord, ValidationProblem } from './rawRecord.js'
import { groupBy } from './groupBy.js'
import { readCsv } from './readCsv.js'
import { readYaml } from './readYaml.js'
import { recordShapes, type RecordKind, type ValidRecord } from './recordShapes.js'

export type SheetFileFormat = 'csv' | 'yaml'

/** A valid sheet, or all problems found in the file. */
export type ParsedSheet =
  | { readonly kind: 'valid', readonly sheet: Sheet }
  | { readonly kind: 'invalid', readonly problems: readonly ValidationProblem[] }

/** Format by file name extension; undefined for any other extension. */
export function formatOfFile (file: string): SheetFileFormat | undefined {
  if (/\.csv$/i.test(file)) return 'csv'
  return /\.ya?ml$/i.test(file) ? 'yaml' : undefined
}

/** Parses and validates a sheet; reports all problems at once. */
export function parseSheet (format: SheetFileFormat, content: string): ParsedSheet {
  const { records, problems } = format === 'csv' ? readCsv(content) : readYaml(content)
  const allProblems = [...problems, ...checkShapes(records), ...(records.length === 0 && problems.length > 0 ? [] : checkReferences(records))]
  if (allProblems.length > 0) return { kind: 'invalid', problems: sortByRow(allProblems) }
  return { kind: 'valid', sheet: buildSheet(records) }
}

/** Sorts CSV problems by row; YAML problems, which have no row number, keep their order. */
function sortByRow (problems: readonly ValidationProblem[]): readonly ValidationProblem[] {
  const rowOf = (problem: ValidationProblem): number => Number(/^row (\d+)/.exec(problem.place)?.[1] ?? 0)
  return [...problems].sort((left, right) => rowOf(left) - rowOf(right))
}

function buildSheet (records: readonly RawRecord[]): Sheet {
  const recordsOfKind = <Kind extends RecordKind> (kind: Kind): ValidRecord<Kind>[] =>
    records.filter((record) => record.kind === kind).map((record) => recordShapes[kind].parse(record.fields) as ValidRecord<Kind>)
  const topUps = groupBy(recordsOfKind('topUp'), (topUp) => topUp.budget)
  return create(SheetSchema, {
    deployment: recordsOfKind('deployment')[0]!.id,
    clientAccounts: recordsOfKind('clientAccount'),
    budgets: recordsOfKind('budget').map((budget) => ({
      ...budget,
      topUps: (topUps.get(budget.id) ?? []).map((topUp) => ({ id: topUp.id, tokens: BigInt(topUp.tokens) }))
    })),
    keys: recordsOfKind('key'),
    models: recordsOfKind('model'),
    services: recordsOfKind('service'),
    routes: recordsOfKind('route').map((route) => ({ ...route, priceTokens: BigInt(route.priceTokens ?? 0) })),
    backendServers: recordsOfKind('backendServer')
  })
}
