import type { InstanceEntry } from '@quinceshunt/schemas'

/** Instance list that readers see with a fixed lag. */
export interface InstanceDirectory {
  set (entry: InstanceEntry, now: number): void
  remove (id: string, now: number): void
  /** Returns the list as of one lag before `now`. */
  list (now: number): { readonly instances: readonly InstanceEntry[], readonly asOf: number }
}

/** Creates an empty directory; `lagMilliseconds` is the age of the state that readers see. */
export function createInstanceDirectory (lagMilliseconds: number): InstanceDirectory {
  let snapshots: { at: number, entries: ReadonlyMap<string, InstanceEntry> }[] = [{ at: 0, entries: new Map() }]

  function addSnapshot (now: number, update: (entries: Map<string, InstanceEntry>) => void): void {
    const entries = new Map(snapshots.at(-1)!.entries)
    update(entries)
    snapshots.push({ at: now, entries })
    dropSupersededSnapshots(now - lagMilliseconds)
  }

  function dropSupersededSnapshots (time: number): void {
    const visibleIndex = snapshots.findLastIndex((snapshot) => snapshot.at <= time)
    if (visibleIndex > 0) snapshots = snapshots.slice(visibleIndex)
  }

  return {
    set: (entry, now) => addSnapshot(now, (entries) => entries.set(entry.id, entry)),
    remove: (id, now) => addSnapshot(now, (entries) => entries.delete(id)),
    list: (now) => {
      const asOf = now - lagMilliseconds
      dropSupersededSnapshots(asOf)
      const snapshot = snapshots.findLast((candidate) => candidate.at <= asOf) ?? snapshots[0]!
      return { instances: [...snapshot.entries.values()], asOf }
    }
  }
}
