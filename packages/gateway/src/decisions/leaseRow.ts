import * as v from 'valibot'

const accountLeaseSchema = v.object({ held: v.number(), limit: v.number(), opening: v.number(), total: v.optional(v.number()), unrecorded: v.optional(v.number()) })

/** Lease row of one instance: the tokens of each client account that its process holds. */
const leaseRowSchema = v.object({
  /** ID of the process (incarnation) that wrote the row. */
  lifetime: v.string(),
  /** Number of the process's write, by which it recognizes a write whose reply was lost. */
  sequence: v.number(),
  /** Era of the store in which the row was written. A row of an earlier era may lack the last writes of its process. */
  era: v.optional(v.number()),
  /** Store time, in milliseconds, until which the process uses at most each account's `limit`. Afterwards the limit grows linearly. */
  sealedUntil: v.number(),
  /**
   * By client account: tokens granted, the maximum use before `sealedUntil`, its growth afterwards in tokens per millisecond,
   * and the tokens that the instance has in the account's balance: those granted and those that its earlier processes did
   * not leave to this one. A balance is the sum of the totals of all instances. `unrecorded` tokens are still to be added to
   * the total after a restore of the store.
   */
  accounts: v.record(v.string(), accountLeaseSchema)
})

/** Row as stored. */
const storedLeaseRowSchema = v.object({
  ...leaseRowSchema.entries,
  /**
   * Totals of further accounts, none of whose tokens is left to the next process: a shorter form, as a row keeps the total of each account
   * that the instance has served. Processes of versions up to 46ef0a1 don't read it and take these totals for returned tokens.
   */
  spent: v.optional(v.record(v.string(), v.number()))
})

/** Lease row of one instance. */
export type LeaseRow = v.InferOutput<typeof leaseRowSchema>

/** True when the process holds nothing of the account, so that only its total is of use. */
function isSpent ({ held, limit, opening, unrecorded = 0 }: v.InferOutput<typeof accountLeaseSchema>): boolean {
  return held === 0 && limit === 0 && opening === 0 && unrecorded === 0
}

/** Encodes a lease row. */
export function encodeLeaseRow (row: LeaseRow): string {
  const entries = Object.entries(row.accounts)
  const spent = entries.filter(([, account]) => isSpent(account)).map(([name, { total = 0 }]) => [name, total] as const)
  const accounts = entries.filter(([, account]) => !isSpent(account))
  return JSON.stringify({ ...row, accounts: Object.fromEntries(accounts), ...(spent.length === 0 ? {} : { spent: Object.fromEntries(spent) }) })
}

/** Decodes a lease row. Throws a `SyntaxError` or `ValiError` when it is malformed. */
export function decodeLeaseRow (value: string): LeaseRow {
  const { spent = {}, ...row } = v.parse(storedLeaseRowSchema, JSON.parse(value))
  for (const [name, total] of Object.entries(spent)) row.accounts[name] = { held: 0, limit: 0, opening: 0, total }
  return row
}

/** Returns the instance's total by client account. Rows of earlier versions name none; what was granted then stands for it. */
export function leaseTotals (row: LeaseRow): ReadonlyMap<string, number> {
  return new Map(Object.entries(row.accounts).map(([name, { held, total }]) => [name, total ?? held]))
}

/** Returns the tokens, by client account, that the balances lacked when the row was written. */
export function unrecordedTokens (row: LeaseRow): ReadonlyMap<string, number> {
  return new Map(Object.entries(row.accounts).flatMap(([name, { unrecorded = 0 }]) => unrecorded === 0 ? [] : [[name, unrecorded]]))
}

/** Returns the milliseconds since the end of the seal, 0 while it lasts. */
export function elapsedSinceSeal (sealedUntil: number, storeTime: number): number {
  return Math.max(0, storeTime - sealedUntil)
}

/**
 * Returns the tokens, by client account, that the instance's previous process certainly did not use. That process has
 * ended by the store time `endedBy` and has used at most its limits as of then.
 */
export function reclaimableTokens (row: LeaseRow, endedBy: number): ReadonlyMap<string, number> {
  const reclaimed = new Map<string, number>()
  for (const [account, { held, limit, opening }] of Object.entries(row.accounts)) {
    const unused = Math.floor(held - limit - opening * elapsedSinceSeal(row.sealedUntil, endedBy))
    if (unused > 0) reclaimed.set(account, unused)
  }
  return reclaimed
}
