import type { InstanceEntry } from '@quinceshunt/schemas'

/** Instance list whose readers see an earlier state. */
export interface InstanceDirectory {
  set (entry: InstanceEntry, now: number): void
  remove (id: string, now: number): void
  /** State as it was one lag ago. */
  list (now: number): { readonly instances: readonly InstanceEntry[], readonly asOf: number }
}

/** Creates an empty directory; `lagMilliseconds` is the age of what readers see. */
export function createInstanceDirectory (lagMilliseconds: number): InstanceDirectory {
  let snapshots: { at: number, entries: ReadonlyMap<string, InstanceEntry> }[] = [{ at: 0, entries: new Map() }]

  function change (now: number, update: (entries: Map<string, InstanceEntry>) => void): void {
    const entries = new Map(snapshots.at(-1)!.entries)
    update(entries)
    snapshots.push({ at: now, entries })
    forgetBefore(now - lagMilliseconds)
  }

  function forgetBefore (time: number): void {
    const visible = snapshots.findLastIndex((snapshot) => snapshot.at <= time)
    if (visible > 0) snapshots = snapshots.slice(visible)
  }

  return {
    set: (entry, now) => change(now, (entries) => entries.set(entry.id, entry)),
    remove: (id, now) => change(now, (entries) => entries.delete(id)),
    list: (now) => {
      const asOf = now - lagMilliseconds
      forgetBefore(asOf)
      const snapshot = snapshots.findLast((candidate) => candidate.at <= asOf) ?? snapshots[0]!
      return { instances: [...snapshot.entries.values()], asOf }
    }
  }
}
