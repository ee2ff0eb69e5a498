/** Groups items by key; groups and their items keep the order of the input. */
export function groupBy<Item> (items: readonly Item[], keyOf: (item: Item) => string): ReadonlyMap<string, Item[]> {
  const groups = new Map<string, Item[]>()
  for (const item of items) {
    const key = keyOf(item)
    const group = groups.get(key)
    if (group === undefined) groups.set(key, [item])
    else group.push(item)
  }
  return groups
}
