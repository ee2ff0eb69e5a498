import type { Sheet } from '@quinceshunt/schemas'

/** A changed value; `before` or `after` is empty when the path is absent in that sheet. */
export interface SheetDifference {
  /** For example `budgets[school-2026].topUps[july].tokens`. */
  readonly path: string
  readonly before: string
  readonly after: string
}

type ValuesByPath = Map<string, string>

/** Differences between two sheets, sorted by path. Records are matched by ID, routes by service, method and path prefix. */
export function diffSheets (before: Sheet | undefined, after: Sheet): SheetDifference[] {
  const oldValues = before === undefined ? new Map<string, string>() : flattenSheet(before)
  const newValues = flattenSheet(after)
  return [...new Set([...oldValues.keys(), ...newValues.keys()])].sort()
    .map((path) => ({ path, before: oldValues.get(path) ?? '', after: newValues.get(path) ?? '' }))
    .filter((difference) => difference.before !== difference.after)
}

function flattenSheet (sheet: Sheet): ValuesByPath {
  const values: ValuesByPath = new Map([['deployment', sheet.deployment]])
  const addRecords = <Item extends object> (path: string, items: readonly Item[], identityOf: (item: Item) => string): void => {
    for (const item of items) addRecord(values, `${path}[${identityOf(item)}]`, item)
  }
  const idOf = (item: { readonly id: string }): string => item.id
  addRecords('clientAccounts', sheet.clientAccounts, idOf)
  addRecords('budgets', sheet.budgets, idOf)
  for (const budget of sheet.budgets) addRecords(`budgets[${budget.id}].topUps`, budget.topUps, idOf)
  addRecords('keys', sheet.keys, idOf)
  addRecords('models', sheet.models, idOf)
  addRecords('services', sheet.services, idOf)
  addRecords('backendServers', sheet.backendServers, idOf)
  // The position is compared too, because the first matching route is used.
  const positions = new Map<string, number>()
  for (const route of sheet.routes) {
    const position = (positions.get(route.service) ?? 0) + 1
    positions.set(route.service, position)
    addRecord(values, `routes[${route.service} ${route.method} ${route.pathPrefix}]`, { ...route, position })
  }
  return values
}

function addRecord (values: ValuesByPath, path: string, record: object): void {
  for (const [name, value] of Object.entries(record)) {
    if (name.startsWith('$')) continue
    if (Array.isArray(value) && value.some((item) => typeof item === 'object')) continue
    values.set(`${path}.${name}`, Array.isArray(value) ? [...value].sort().join(' ') : String(value))
  }
}
