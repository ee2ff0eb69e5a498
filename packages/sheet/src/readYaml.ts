import { parseDocument } from 'yaml'
import type { Entry, ReadResult, SheetFault } from './entry.js'
import type { RecordKind } from './recordShapes.js'

/** Top-level lists of a YAML sheet and the kind of record in each. */
export const YAML_LISTS: Readonly<Record<string, RecordKind>> = {
  clientAccounts: 'clientAccount',
  budgets: 'budget',
  keys: 'key',
  models: 'model',
  services: 'service',
  routes: 'route',
  backendServers: 'backendServer'
}
const DEPLOYMENT = 'deployment'
const TOP_UPS = 'topUps'

type Fields = Record<string, unknown>

function isMapping (value: unknown): value is Fields {
  return typeof value === 'object' && value !== null && !Array.isArray(value)
}

function shapeFault (place: string, value: unknown, expected: string): SheetFault {
  return { place, value: JSON.stringify(value) ?? 'nothing', message: `expected ${expected}`, fix: `write ${expected}` }
}

/** Reads a YAML sheet; a budget holds its top-ups. */
export function readYaml (content: string): ReadResult {
  const document = parseDocument(content, { uniqueKeys: true })
  if (document.errors.length > 0) {
    return { entries: [], faults: document.errors.map((error) => ({ place: `line ${error.linePos?.[0].line ?? 1}`, value: 'nothing', message: `the file is not valid YAML: ${error.message.split('\n')[0]}`, fix: 'correct the syntax' })) }
  }
  const root: unknown = document.toJS()
  if (!isMapping(root)) return { entries: [], faults: [shapeFault('the file', root, 'a mapping of lists')] }
  const entries: Entry[] = []
  const faults: SheetFault[] = []
  for (const [name, value] of Object.entries(root)) {
    const kind = YAML_LISTS[name]
    if (name === DEPLOYMENT) entries.push({ kind: 'deployment', fields: { id: value }, placeOf: () => DEPLOYMENT })
    else if (kind === undefined) faults.push({ place: name, value: name, message: 'the key is not known', fix: `use one of ${[DEPLOYMENT, ...Object.keys(YAML_LISTS)].join(', ')}` })
    else readList(kind, name, value, entries, faults)
  }
  return { entries, faults }
}

function readList (kind: RecordKind, path: string, value: unknown, entries: Entry[], faults: SheetFault[]): void {
  if (!Array.isArray(value)) {
    faults.push(shapeFault(path, value, 'a list'))
    return
  }
  value.forEach((item: unknown, index) => {
    const place = `${path}[${index}]`
    if (!isMapping(item)) faults.push(shapeFault(place, item, 'a mapping of fields to values'))
    else if (kind === 'budget') readBudget(item, place, entries, faults)
    else entries.push({ kind, fields: item, placeOf: (field) => `${place}.${field}` })
  })
}

function readBudget (item: Fields, place: string, entries: Entry[], faults: SheetFault[]): void {
  const { [TOP_UPS]: topUps, ...fields } = item
  entries.push({ kind: 'budget', fields, placeOf: (field) => `${place}.${field}` })
  if (topUps === undefined) return
  if (!Array.isArray(topUps)) {
    faults.push(shapeFault(`${place}.${TOP_UPS}`, topUps, 'a list'))
    return
  }
  topUps.forEach((topUp: unknown, index) => {
    const topUpPlace = `${place}.${TOP_UPS}[${index}]`
    if (!isMapping(topUp)) faults.push(shapeFault(topUpPlace, topUp, 'a mapping of fields to values'))
    else entries.push({ kind: 'topUp', fields: { ...topUp, budget: fields['id'] }, placeOf: (field) => field === 'budget' ? `${place}.id` : `${topUpPlace}.${field}` })
  })
}
