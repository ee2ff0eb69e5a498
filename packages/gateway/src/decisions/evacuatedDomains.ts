/**
 * Decides which failure domains are evacuated, from the operators' rows.
 *
 * Expected load: a handful of rows that change a few times a day, and a lookup for each candidate of each request. After the
 * store was restored from an older copy, rows may be missing until the operators have written them again.
 */

/** Time after a restore of the store for which an evacuation that the copy lacks stays in force; operators write their rows again within seconds. */
export const RESTORED_EVACUATIONS_MS = 5000

/** A readable row of an evacuation. */
export interface EvacuationRow {
  readonly failureDomain: string
  readonly rowVersion: number
  readonly isRemoved: boolean
}

/** A failure domain whose evacuation has begun or ended. */
export type EvacuationChange =
  | { readonly kind: 'evacuated', readonly failureDomain: string, readonly rowVersion: number }
  | { readonly kind: 'returned', readonly failureDomain: string, readonly since: number }

/** All rows of evacuations that one read of the table has found. */
export interface EvacuationSnapshot {
  readonly rows: readonly EvacuationRow[]
  /** Failure domains with a row that can't be read, which has no effect. */
  readonly unreadable: ReadonlySet<string>
  /** Time at which the last restore of the store was noticed; undefined without one. */
  readonly restoredAt: number | undefined
}

/** Failure domains that are evacuated. Times are those of one monotonic clock. */
export interface EvacuatedDomains {
  has (failureDomain: string): boolean
  /** In alphabetical order. */
  readonly names: readonly string[]
  /** Takes over all rows: evacuations without a row end, or, shortly after a restore, end later. */
  applySnapshot (snapshot: EvacuationSnapshot, now: number): readonly EvacuationChange[]
  applyChanges (rows: readonly EvacuationRow[], now: number): readonly EvacuationChange[]
  /** Ends evacuations whose rows were not written again after a restore. `lastResponseAt` is the time of the newest response of the store. */
  endOverdue (lastResponseAt: number): readonly EvacuationChange[]
}

interface Evacuation {
  readonly since: number
  /** Time of the restore's grace; undefined while the row exists. */
  readonly endsAt: number | undefined
}

/** Creates a list without evacuations. */
export function createEvacuatedDomains (): EvacuatedDomains {
  const evacuations = new Map<string, Evacuation>()
  let names: readonly string[] = []

  function end (failureDomain: string): readonly EvacuationChange[] {
    const evacuation = evacuations.get(failureDomain)
    if (evacuation === undefined) return []
    evacuations.delete(failureDomain)
    names = [...evacuations.keys()].sort()
    return [{ kind: 'returned', failureDomain, since: evacuation.since }]
  }

  function applyRow ({ failureDomain, rowVersion, isRemoved }: EvacuationRow, now: number): readonly EvacuationChange[] {
    if (isRemoved) return end(failureDomain)
    const known = evacuations.get(failureDomain)
    evacuations.set(failureDomain, { since: known?.since ?? now, endsAt: undefined })
    if (known !== undefined) return []
    names = [...evacuations.keys()].sort()
    return [{ kind: 'evacuated', failureDomain, rowVersion }]
  }

  function applySnapshot ({ rows, unreadable, restoredAt }: EvacuationSnapshot, now: number): readonly EvacuationChange[] {
    const present = rows.filter(({ isRemoved }) => !isRemoved)
    const changes = present.flatMap((row) => applyRow(row, now))
    const listed = new Set(present.map(({ failureDomain }) => failureDomain))
    const endsAt = restoredAt === undefined ? now : restoredAt + RESTORED_EVACUATIONS_MS
    for (const [failureDomain, { since }] of [...evacuations]) {
      if (listed.has(failureDomain) || unreadable.has(failureDomain)) continue
      if (endsAt <= now) changes.push(...end(failureDomain))
      else evacuations.set(failureDomain, { since, endsAt })
    }
    return changes
  }

  return {
    has: (failureDomain) => evacuations.has(failureDomain),
    get names () { return names },
    applySnapshot,
    applyChanges: (rows, now) => rows.flatMap((row) => applyRow(row, now)),
    endOverdue: (lastResponseAt) => [...evacuations].flatMap(([failureDomain, { endsAt }]) => endsAt !== undefined && endsAt <= lastResponseAt ? end(failureDomain) : [])
  }
}
