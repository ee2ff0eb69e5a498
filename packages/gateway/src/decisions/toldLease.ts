import * as v from 'valibot'
import { leaseTotals, type LeaseRow } from './leaseRow.js'

/** What an instance told a peer of its tokens in the balances of client accounts. */
export const toldTotalsSchema = v.object({
  instanceId: v.string(),
  /** ID of the process. */
  lifetime: v.string(),
  /** ID of the instance's process before, if its lease was known in full. */
  after: v.optional(v.string()),
  /** Era of the store in which the totals were recorded. */
  era: v.optional(v.number()),
  /** Number of the process's lease write that recorded them. */
  sequence: v.number(),
  /** True when the process will not change them any more. */
  isFinal: v.boolean(),
  totals: v.record(v.string(), v.number())
})

/** What an instance told a peer of its tokens in the balances of client accounts. */
export type ToldLease = v.InferOutput<typeof toldTotalsSchema>

/**
 * Returns the tokens, by client account, that the balances lack when the store holds an older lease row than the one an
 * instance told of. A total that was told falls only when it was the last one: the process may have drawn after it.
 */
export function missingTotals (row: LeaseRow | undefined, told: ToldLease): ReadonlyMap<string, number> {
  const isSameProcess = row?.lifetime === told.lifetime
  if (isSameProcess && row.sequence >= told.sequence) return new Map()
  const rowTotals = row === undefined ? new Map<string, number>() : leaseTotals(row)
  const mayFall = isSameProcess && told.isFinal
  const missing = new Map<string, number>()
  for (const name of new Set([...rowTotals.keys(), ...Object.keys(told.totals)])) {
    const difference = (told.totals[name] ?? 0) - (rowTotals.get(name) ?? 0)
    if (difference > 0 || (difference < 0 && mayFall)) missing.set(name, difference)
  }
  return missing
}

/** True when no lease row shows that the instance wrote something that it did not tell: the last of its totals are known. */
export function isCurrentKnowledge (row: LeaseRow | undefined, told: ToldLease): boolean {
  if (row === undefined || row.lifetime === told.after) return true
  if (row.lifetime !== told.lifetime) return false
  // Rows are renewed more often than totals change and are told.
  return row.sequence <= told.sequence || [...leaseTotals(row)].every(([name, total]) => total === (told.totals[name] ?? 0))
}
