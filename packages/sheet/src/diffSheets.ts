import type { Sheet } from '@quinceshunt/schemas'

/** One difference; an empty side means that the path is absent there. */
export interface SheetDifference {
  /** For example `budgets[school-2026].topUps[july].tokens`. */
  readonly path: string
  readonly before: string
  readonly after: string
}

type Leaves = Map<string, string>

/** Differences of two sheets by path, in path order; records are matched by ID, routes by service, method and prefix. */
export function diffSheets (before: Sheet | undefined, after: Sheet): SheetDifference[] {
  const old = before === undefined ? new Map<string, string>() : leavesOf(before)
  const current = leavesOf(after)
  return [...new Set([...old.keys(), ...current.keys()])].sort()
    .map((path) => ({ path, before: old.get(path) ?? '', after: current.get(path) ?? '' }))
    .filter((difference) => difference.before !== difference.after)
}

function leavesOf (sheet: Sheet): Leaves {
  const leaves: Leaves = new Map([['deployment', sheet.deployment]])
  const addAll = <Item extends object> (path: string, items: readonly Item[], identityOf: (item: Item) => string): void => {
    for (const item of items) addRecord(leaves, `${path}[${identityOf(item)}]`, item)
  }
  const byId = (item: { readonly id: string }): string => item.id
  addAll('clientAccounts', sheet.clientAccounts, byId)
  addAll('budgets', sheet.budgets, byId)
  for (const budget of sheet.budgets) addAll(`budgets[${budget.id}].topUps`, budget.topUps, byId)
  addAll('keys', sheet.keys, byId)
  addAll('models', sheet.models, byId)
  addAll('services', sheet.services, byId)
  addAll('backendServers', sheet.backendServers, byId)
  // Position matters: the first route that matches is used.
  const positions = new Map<string, number>()
  for (const route of sheet.routes) {
    const position = (positions.get(route.service) ?? 0) + 1
    positions.set(route.service, position)
    addRecord(leaves, `routes[${route.service} ${route.method} ${route.pathPrefix}]`, { ...route, position })
  }
  return leaves
}

function addRecord (leaves: Leaves, path: string, record: object): void {
  for (const [name, value] of Object.entries(record)) {
    if (name.startsWith('$')) continue
    if (Array.isArray(value) && value.some((item) => typeof item === 'object')) continue
    leaves.set(`${path}.${name}`, Array.isArray(value) ? [...value].sort().join(' ') : String(value))
  }
}
