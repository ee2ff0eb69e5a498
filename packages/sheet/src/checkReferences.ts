import { quoteValue, textOf, textsOf, type Entry, type SheetFault } from './entry.js'
import type { RecordKind } from './recordShapes.js'
import { pathMatchesPrefix } from './matchRoute.js'

type Index = ReadonlyMap<string, Entry>

/** Checks what records say about each other: uniqueness, references, order of routes. */
export function checkReferences (entries: readonly Entry[]): SheetFault[] {
  const ofKind = (kind: RecordKind): Entry[] => entries.filter((entry) => entry.kind === kind)
  const accounts = ofKind('clientAccount')
  const budgets = ofKind('budget')
  const targets = [...ofKind('model'), ...ofKind('service')]
  const accountIndex = indexById(accounts)
  const budgetIndex = indexById(budgets)
  const targetIndex = indexById(targets)
  const serviceIndex = indexById(ofKind('service'))
  return [
    ...checkDeployment(ofKind('deployment')),
    ...[accounts, budgets, targets, ofKind('key'), ofKind('backendServer')].flatMap((list) => checkUnique(list, (entry) => textOf(entry, 'id'), 'id')),
    ...checkUnique(ofKind('topUp'), (entry) => joinTexts(entry, ['budget', 'id']), 'id'),
    ...accounts.flatMap((entry) => checkKnown(entry, 'targets', targetIndex, 'model or service')),
    ...budgets.flatMap((entry) => checkKnown(entry, 'clientAccount', accountIndex, 'client account')),
    ...ofKind('topUp').flatMap((entry) => checkKnown(entry, 'budget', budgetIndex, 'budget')),
    ...ofKind('key').flatMap((entry) => checkKey(entry, accountIndex, budgetIndex)),
    ...ofKind('model').flatMap(checkModel),
    ...ofKind('route').flatMap((entry) => checkKnown(entry, 'service', serviceIndex, 'service')),
    ...checkRouteOrder(ofKind('route')),
    ...ofKind('backendServer').flatMap((entry) => [
      ...checkKnown(entry, 'target', targetIndex, 'model or service'),
      ...checkKnown(entry, 'clientAccounts', accountIndex, 'client account')
    ])
  ]
}

function indexById (entries: readonly Entry[]): Index {
  return new Map(entries.map((entry) => [textOf(entry, 'id') ?? '', entry]))
}

function joinTexts (entry: Entry, fields: readonly string[]): string | undefined {
  const texts = fields.map((field) => textOf(entry, field))
  return texts.includes(undefined) ? undefined : texts.join(' ')
}

function checkDeployment (entries: readonly Entry[]): SheetFault[] {
  if (entries.length === 0) return [{ place: 'the file', value: 'nothing', message: 'the sheet names no deployment', fix: 'add a deployment record with an id, for example "taller"' }]
  return entries.slice(1).map((entry) => ({ place: entry.placeOf('id'), value: quoteValue(entry.fields['id']), message: 'the sheet names more than one deployment', fix: 'keep one deployment record' }))
}

function checkUnique (entries: readonly Entry[], identityOf: (entry: Entry) => string | undefined, field: string): SheetFault[] {
  const first = new Map<string, Entry>()
  return entries.flatMap((entry) => {
    const identity = identityOf(entry)
    if (identity === undefined) return []
    const earlier = first.get(identity)
    if (earlier === undefined) {
      first.set(identity, entry)
      return []
    }
    return [{ place: entry.placeOf(field), value: quoteValue(entry.fields[field]), message: `the ID is used already at ${earlier.placeOf(field)}`, fix: 'give each record its own ID' }]
  })
}

function checkKnown (entry: Entry, field: string, index: Index, what: string): SheetFault[] {
  const single = textOf(entry, field)
  const ids = single === undefined ? textsOf(entry, field) : [single]
  return ids.filter((id) => !index.has(id)).map((id) => ({
    place: entry.placeOf(field), value: quoteValue(id), message: `there is no ${what} with this ID in the sheet`, fix: `add the ${what} or correct the ID`
  }))
}

function checkKey (entry: Entry, accounts: Index, budgets: Index): SheetFault[] {
  const faults = [...checkKnown(entry, 'clientAccount', accounts, 'client account'), ...checkKnown(entry, 'budget', budgets, 'budget')]
  const budget = budgets.get(textOf(entry, 'budget') ?? '')
  const owner = budget === undefined ? undefined : textOf(budget, 'clientAccount')
  const account = textOf(entry, 'clientAccount')
  if (owner === undefined || account === undefined || owner === account) return faults
  return [...faults, { place: entry.placeOf('budget'), value: quoteValue(entry.fields['budget']), message: `the budget belongs to client account ${owner}, not to ${account}`, fix: 'name a budget of the same client account' }]
}

function checkModel (entry: Entry): SheetFault[] {
  const { contextTokens, completionTokens } = entry.fields
  if (typeof contextTokens !== 'number' || typeof completionTokens !== 'number' || completionTokens <= contextTokens) return []
  return [{ place: entry.placeOf('completionTokens'), value: String(completionTokens), message: `the answer is longer than the context of ${contextTokens} tokens`, fix: 'use at most contextTokens' }]
}

/** The first route that matches is used, so a later one behind a wider one would be ignored silently. */
function checkRouteOrder (routes: readonly Entry[]): SheetFault[] {
  return routes.flatMap((entry, index) => {
    const hiding = routes.slice(0, index).find((earlier) => hides(earlier, entry))
    if (hiding === undefined) return []
    return [{ place: entry.placeOf('pathPrefix'), value: quoteValue(entry.fields['pathPrefix']), message: `the route is never used, because the route at ${hiding.placeOf('pathPrefix')} matches first`, fix: 'put the narrower route first, or remove it' }]
  })
}

function hides (earlier: Entry, later: Entry): boolean {
  const prefix = textOf(earlier, 'pathPrefix')
  const path = textOf(later, 'pathPrefix')
  if (prefix === undefined || path === undefined || textOf(earlier, 'service') !== textOf(later, 'service')) return false
  const method = textOf(earlier, 'method')
  return (method === '*' || method === textOf(later, 'method')) && pathMatchesPrefix(path, prefix)
}
