import type { BackendServerEntry } from '../fleetConfiguration.js'

/** What is remembered of an entry to recognize older ones. */
export type KnownEntry = Pick<BackendServerEntry, 'startedAt' | 'sequence' | 'state'> & {
  /** True when the entry was removed from the list. */
  readonly isRemoved: boolean
}

/**
 * Returns true for an entry that is older than the one known of the same backend server. A restored store lists entries from
 * before the copy until the backend servers write them again: one that drains is ready there, and one that has left is back.
 * The number of an entry counts only for some time after a restore (`isAfterRestore`), as it may stand still or start anew.
 */
export function isOutdatedEntry (entry: BackendServerEntry, known: KnownEntry, isAfterRestore: boolean): boolean {
  const isSameProcess = entry.startedAt === known.startedAt && (entry.startedAt !== 0 || isAfterRestore)
  // A backend server that drains exits, so that this process never becomes ready again.
  if (isSameProcess && !known.isRemoved && known.state === 'draining' && entry.state === 'ready') return true
  if (!isAfterRestore) return false
  if (!isSameProcess) return entry.startedAt !== 0 && entry.startedAt < known.startedAt
  if (entry.sequence === undefined || known.sequence === undefined) return known.isRemoved
  return known.isRemoved ? entry.sequence <= known.sequence : entry.sequence < known.sequence
}
