import * as v from 'valibot'

/** Lease row of one instance: what its process holds of each client account. */
const leaseRowSchema = v.object({
  /** Identifies the process that wrote it. */
  lifetime: v.string(),
  /** Counts that process's writes, so that it recognises a write whose reply was lost. */
  sequence: v.number(),
  /** Store time until which the process uses no more than each account's limit, milliseconds. */
  sealedUntil: v.number(),
  /** By client account: tokens granted, and the most that may be used before `sealedUntil`. */
  accounts: v.record(v.string(), v.object({ held: v.number(), limit: v.number() }))
})

/** Lease row of one instance. */
export type LeaseRow = v.InferOutput<typeof leaseRowSchema>

/** Encodes a lease row. */
export function encodeLeaseRow (row: LeaseRow): string {
  return JSON.stringify(row)
}

/** Decodes a lease row; throws when it is none. */
export function decodeLeaseRow (value: string): LeaseRow {
  return v.parse(leaseRowSchema, JSON.parse(value))
}

/**
 * Tokens of an earlier process of the same instance that were certainly not used, by client account. That process is
 * dead, as this one runs; before `sealedUntil` it can't have used more than the limits that it wrote.
 */
export function reclaimable (row: LeaseRow, storeTime: number): ReadonlyMap<string, number> {
  const reclaimed = new Map<string, number>()
  if (storeTime >= row.sealedUntil) return reclaimed
  for (const [account, { held, limit }] of Object.entries(row.accounts)) if (held > limit) reclaimed.set(account, held - limit)
  return reclaimed
}
