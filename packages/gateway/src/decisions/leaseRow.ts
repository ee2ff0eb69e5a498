import * as v from 'valibot'

/** Lease row of one instance: what its process holds of each client account. */
const leaseRowSchema = v.object({
  /** Identifies the process that wrote it. */
  lifetime: v.string(),
  /** Counts that process's writes, so that it recognises a write whose reply was lost. */
  sequence: v.number(),
  /** Store time until which the process uses no more than each account's limit, milliseconds. From then on the rest opens evenly. */
  sealedUntil: v.number(),
  /** By client account: tokens granted, the most that may be used before `sealedUntil`, and the tokens a millisecond by which that rises after it. */
  accounts: v.record(v.string(), v.object({ held: v.number(), limit: v.number(), opening: v.number() }))
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

/** Milliseconds that have passed since the end of a seal. */
export function elapsedSinceSeal (sealedUntil: number, storeTime: number): number {
  return Math.max(0, storeTime - sealedUntil)
}

/**
 * Tokens of an earlier process of the same instance that were certainly not used, by client account. That process is
 * dead, as this one runs, and used no more than its limits as they stood at `storeTime`.
 */
export function reclaimableTokens (row: LeaseRow, storeTime: number): ReadonlyMap<string, number> {
  const reclaimed = new Map<string, number>()
  for (const [account, { held, limit, opening }] of Object.entries(row.accounts)) {
    const unused = Math.floor(held - limit - opening * elapsedSinceSeal(row.sealedUntil, storeTime))
    if (unused > 0) reclaimed.set(account, unused)
  }
  return reclaimed
}
