import { quoteValue, stringField, stringListField, type RawRecord, type ValidationProblem } from './rawRecord.js'
import type { RecordKind } from './recordShapes.js'
import { pathMatchesPrefix } from './routePath.js'

type RecordsById = ReadonlyMap<string, RawRecord>

/** Checks relations between records: unique IDs, references and the order of routes. */
export function checkReferences (records: readonly RawRecord[]): ValidationProblem[] {
  const ofKind = (kind: RecordKind): RawRecord[] => records.filter((record) => record.kind === kind)
  const accounts = ofKind('clientAccount')
  const budgets = ofKind('budget')
  const targets = [...ofKind('model'), ...ofKind('service')]
  const accountIndex = indexById(accounts)
  const budgetIndex = indexById(budgets)
  const targetIndex = indexById(targets)
  const serviceIndex = indexById(ofKind('service'))
  return [
    ...checkDeployment(ofKind('deployment')),
    ...[accounts, budgets, targets, ofKind('key'), ofKind('backendServer')].flatMap((list) => checkUnique(list, (record) => stringField(record, 'id'), 'id')),
    ...checkUnique(ofKind('topUp'), (record) => joinFields(record, ['budget', 'id']), 'id'),
    ...accounts.flatMap((record) => checkReference(record, 'targets', targetIndex, 'model or service')),
    ...budgets.flatMap((record) => checkReference(record, 'clientAccount', accountIndex, 'client account')),
    ...ofKind('topUp').flatMap((record) => checkReference(record, 'budget', budgetIndex, 'budget')),
    ...ofKind('key').flatMap((record) => checkKey(record, accountIndex, budgetIndex)),
    ...ofKind('model').flatMap(checkModel),
    ...ofKind('route').flatMap((record) => checkReference(record, 'service', serviceIndex, 'service')),
    ...checkRouteOrder(ofKind('route')),
    ...ofKind('backendServer').flatMap((record) => [
      ...checkReference(record, 'target', targetIndex, 'model or service'),
      ...checkReference(record, 'clientAccounts', accountIndex, 'client account')
    ])
  ]
}

function indexById (records: readonly RawRecord[]): RecordsById {
  return new Map(records.map((record) => [stringField(record, 'id') ?? '', record]))
}

function joinFields (record: RawRecord, fields: readonly string[]): string | undefined {
  const values = fields.map((field) => stringField(record, field))
  return values.includes(undefined) ? undefined : values.join(' ')
}

function checkDeployment (records: readonly RawRecord[]): ValidationProblem[] {
  if (records.length === 0) return [{ place: 'the file', value: 'nothing', message: 'the sheet names no deployment', fix: 'add a deployment record with an id, for example "taller"' }]
  return records.slice(1).map((record) => ({ place: record.placeOf('id'), value: quoteValue(record.fields['id']), message: 'the sheet names more than one deployment', fix: 'keep one deployment record' }))
}

function checkUnique (records: readonly RawRecord[], identityOf: (record: RawRecord) => string | undefined, field: string): ValidationProblem[] {
  const firstByIdentity = new Map<string, RawRecord>()
  return records.flatMap((record) => {
    const identity = identityOf(record)
    if (identity === undefined) return []
    const earlier = firstByIdentity.get(identity)
    if (earlier === undefined) {
      firstByIdentity.set(identity, record)
      return []
    }
    return [{ place: record.placeOf(field), value: quoteValue(record.fields[field]), message: `the ID is used already at ${earlier.placeOf(field)}`, fix: 'give each record its own ID' }]
  })
}

function checkReference (record: RawRecord, field: string, targets: RecordsById, targetKind: string): ValidationProblem[] {
  const single = stringField(record, field)
  const ids = single === undefined ? stringListField(record, field) : [single]
  return ids.filter((id) => !targets.has(id)).map((id) => ({
    place: record.placeOf(field), value: quoteValue(id), message: `there is no ${targetKind} with this ID in the sheet`, fix: `add the ${targetKind} or correct the ID`
  }))
}

function checkKey (record: RawRecord, accounts: RecordsById, budgets: RecordsById): ValidationProblem[] {
  const problems = [...checkReference(record, 'clientAccount', accounts, 'client account'), ...checkReference(record, 'budget', budgets, 'budget')]
  const budget = budgets.get(stringField(record, 'budget') ?? '')
  const owner = budget === undefined ? undefined : stringField(budget, 'clientAccount')
  const account = stringField(record, 'clientAccount')
  if (owner === undefined || account === undefined || owner === account) return problems
  return [...problems, { place: record.placeOf('budget'), value: quoteValue(record.fields['budget']), message: `the budget belongs to client account ${owner}, not to ${account}`, fix: 'name a budget of the same client account' }]
}

function checkModel (record: RawRecord): ValidationProblem[] {
  const { contextTokens, completionTokens } = record.fields
  if (typeof contextTokens !== 'number' || typeof completionTokens !== 'number' || completionTokens <= contextTokens) return []
  return [{ place: record.placeOf('completionTokens'), value: String(completionTokens), message: `the answer is longer than the context of ${contextTokens} tokens`, fix: 'use at most contextTokens' }]
}

/** The first matching route is used, so a broader route would silently shadow narrower ones after it. */
function checkRouteOrder (routes: readonly RawRecord[]): ValidationProblem[] {
  return routes.flatMap((record, index) => {
    const shadowing = routes.slice(0, index).find((earlier) => shadows(earlier, record))
    if (shadowing === undefined) return []
    return [{ place: record.placeOf('pathPrefix'), value: quoteValue(record.fields['pathPrefix']), message: `the route is never used, because the route at ${shadowing.placeOf('pathPrefix')} matches first`, fix: 'put the narrower route first, or remove it' }]
  })
}

function shadows (earlier: RawRecord, later: RawRecord): boolean {
  const earlierPrefix = stringField(earlier, 'pathPrefix')
  const laterPrefix = stringField(later, 'pathPrefix')
  if (earlierPrefix === undefined || laterPrefix === undefined || stringField(earlier, 'service') !== stringField(later, 'service')) return false
  const method = stringField(earlier, 'method')
  return (method === '*' || method === stringField(later, 'method')) && pathMatchesPrefix(laterPrefix, earlierPrefix)
}
