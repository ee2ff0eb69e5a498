import { parseDocument } from 'yaml'
import type { RawRecord, ReadResult, ValidationProblem } from './rawRecord.js'
import type { RecordKind } from './recordShapes.js'

/** Top-level lists of a YAML sheet and the kind of record that each contains. */
export const KINDS_BY_YAML_KEY: Readonly<Record<string, RecordKind>> = {
  clientAccounts: 'clientAccount',
  budgets: 'budget',
  keys: 'key',
  models: 'model',
  services: 'service',
  routes: 'route',
  backendServers: 'backendServer'
}
const DEPLOYMENT_KEY = 'deployment'
const TOP_UPS_KEY = 'topUps'

type Fields = Record<string, unknown>

function isMapping (value: unknown): value is Fields {
  return typeof value === 'object' && value !== null && !Array.isArray(value)
}

function typeProblem (place: string, value: unknown, expected: string): ValidationProblem {
  return { place, value: JSON.stringify(value) ?? 'nothing', message: `expected ${expected}`, fix: `write ${expected}` }
}

/** Reads a YAML sheet; top-ups are nested in their budgets. */
export function readYaml (content: string): ReadResult {
  const document = parseDocument(content, { uniqueKeys: true })
  if (document.errors.length > 0) {
    return { records: [], problems: document.errors.map((error) => ({ place: `line ${error.linePos?.[0].line ?? 1}`, value: 'nothing', message: `the file is not valid YAML: ${error.message.split('\n')[0]}`, fix: 'correct the syntax' })) }
  }
  const root: unknown = document.toJS()
  if (!isMapping(root)) return { records: [], problems: [typeProblem('the file', root, 'a mapping of lists')] }
  const records: RawRecord[] = []
  const problems: ValidationProblem[] = []
  for (const [name, value] of Object.entries(root)) {
    const kind = KINDS_BY_YAML_KEY[name]
    if (name === DEPLOYMENT_KEY) records.push({ kind: 'deployment', fields: { id: value }, placeOf: () => DEPLOYMENT_KEY })
    else if (kind === undefined) problems.push({ place: name, value: name, message: 'the key is not known', fix: `use one of ${[DEPLOYMENT_KEY, ...Object.keys(KINDS_BY_YAML_KEY)].join(', ')}` })
    else readList(kind, name, value, records, problems)
  }
  return { records, problems }
}

function readList (kind: RecordKind, path: string, value: unknown, records: RawRecord[], problems: ValidationProblem[]): void {
  if (!Array.isArray(value)) {
    problems.push(typeProblem(path, value, 'a list'))
    return
  }
  value.forEach((item: unknown, index) => {
    const place = `${path}[${index}]`
    if (!isMapping(item)) problems.push(typeProblem(place, item, 'a mapping of fields to values'))
    else if (kind === 'budget') readBudget(item, place, records, problems)
    else records.push({ kind, fields: item, placeOf: (field) => `${place}.${field}` })
  })
}

function readBudget (item: Fields, place: string, records: RawRecord[], problems: ValidationProblem[]): void {
  const { [TOP_UPS_KEY]: topUps, ...fields } = item
  records.push({ kind: 'budget', fields, placeOf: (field) => `${place}.${field}` })
  if (topUps === undefined) return
  if (!Array.isArray(topUps)) {
    problems.push(typeProblem(`${place}.${TOP_UPS_KEY}`, topUps, 'a list'))
    return
  }
  topUps.forEach((topUp: unknown, index) => {
    const topUpPlace = `${place}.${TOP_UPS_KEY}[${index}]`
    if (!isMapping(topUp)) problems.push(typeProblem(topUpPlace, topUp, 'a mapping of fields to values'))
    else records.push({ kind: 'topUp', fields: { ...topUp, budget: fields['id'] }, placeOf: (field) => field === 'budget' ? `${place}.id` : `${topUpPlace}.${field}` })
  })
}
