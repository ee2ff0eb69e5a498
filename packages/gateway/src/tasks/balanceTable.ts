import { encodeDrawCeilings } from '../decisions/drawCeilings.js'
import { encodeLeaseRow } from '../decisions/leaseRow.js'
import type { ReadOutcome, RowStore, StoredRow, TransactionOutcome } from '../ports.js'
import type { LeaseTransaction } from './tokenAccounts.js'

/** Balances are keyed by client account, leases by instance. */
const TABLE = { balances: 'balances', leases: 'leases' } as const

/** Balance of a client account as last read. */
export interface ObservedBalance {
  /** Tokens granted to all instances. */
  readonly granted: number
  readonly balanceVersion: number
  readonly ceilingsVersion: number
}

/** A lease row as last read. */
export interface StoredLease {
  readonly key: string
  readonly version: number
}

/** Access to the balance rows and to one instance's lease row. */
export interface BalanceTable {
  /** Writes the lease and the changed balances, on condition that none of these rows has changed since it was read. */
  transact (transaction: LeaseTransaction, stored: StoredLease | undefined, balances: ReadonlyMap<string, ObservedBalance>, deadline: number): Promise<TransactionOutcome>
  /** Key of the lease row that is written in an era of the store. */
  leaseKey (era: number | undefined): string
  readBalance (account: string, deadline: number): Promise<ReadOutcome>
  readLease (deadline: number): Promise<ReadOutcome>
  /** Returns the instance's lease row of the newest era. */
  findLeaseRow (rows: readonly StoredRow[]): StoredRow | undefined
  findBalanceRow (rows: readonly StoredRow[], account: string): StoredRow | undefined
  findCeilingsRow (rows: readonly StoredRow[], account: string): StoredRow | undefined
}

/** Key of an account's ceilings, after that of its balance; both are read in one range. */
const CEILINGS_SUFFIX = '!ceilings'
/** Separates an instance's ID from the era in the key of a lease row. */
const ERA_SEPARATOR = '@'

/**
 * Opens the tables. With `spansParts`, each balance and each lease lies in its own partition of the store.
 *
 * The key of a lease row names the era of the store, and the first write of an era removes the row of the era before. So a
 * transaction of an earlier era that arrives late never finds the lease row that it expects, although versions are reissued.
 */
export function openBalanceTable (store: RowStore, instanceId: string, spansParts: boolean): BalanceTable {
  const leasePlace = { table: TABLE.leases, part: spansParts ? instanceId : '' }

  function leaseKey (era: number | undefined): string {
    return era === undefined ? instanceId : `${instanceId}${ERA_SEPARATOR}${era}`
  }

  /** Era of a lease row of this instance; undefined for other rows. */
  function leaseEra ({ table, key }: StoredRow): number | undefined {
    if (table !== TABLE.leases) return undefined
    if (key === instanceId) return 0
    return key.startsWith(`${instanceId}${ERA_SEPARATOR}`) ? Number(key.slice(instanceId.length + ERA_SEPARATOR.length)) : undefined
  }

  function balanceKey (account: string): { table: string, part: string, key: string } {
    return { table: TABLE.balances, part: spansParts ? account : '', key: account }
  }

  function ceilingsKey (account: string): { table: string, part: string, key: string } {
    return { ...balanceKey(account), key: `${account}${CEILINGS_SUFFIX}` }
  }

  async function read ({ table, part, key }: { table: string, part: string, key: string }, deadline: number): Promise<ReadOutcome> {
    return await store.read(table, part, deadline, { from: key, to: `${key}~` })
  }

  return {
    leaseKey,
    transact: async (transaction, stored, balances, deadline) => {
      const key = leaseKey(transaction.row.era)
      const isFirstOfEra = stored !== undefined && stored.key !== key
      const expected = [
        { ...leasePlace, key, version: isFirstOfEra ? 0 : stored?.version ?? 0 },
        ...(isFirstOfEra ? [{ ...leasePlace, ...stored }] : []),
        ...[...balances].map(([account, { balanceVersion }]) => ({ ...balanceKey(account), version: balanceVersion })),
        ...[...transaction.ceilings.keys()].map((account) => ({ ...ceilingsKey(account), version: balances.get(account)?.ceilingsVersion ?? 0 }))
      ]
      const writes = [
        { ...leasePlace, key, value: encodeLeaseRow(transaction.row) },
        ...[...balances].map(([account, { granted }]) => ({ ...balanceKey(account), value: String(granted + (transaction.changes.get(account) ?? 0) + (transaction.corrections.get(account) ?? 0)) })),
        ...[...transaction.ceilings].map(([account, ceilings]) => ({ ...ceilingsKey(account), value: encodeDrawCeilings(ceilings) }))
      ]
      return await store.transact({ expected, writes, removals: isFirstOfEra ? [{ ...leasePlace, key: stored.key }] : [], spansParts }, deadline)
    },
    readBalance: async (account, deadline) => await read(balanceKey(account), deadline),
    readLease: async (deadline) => await read({ ...leasePlace, key: instanceId }, deadline),
    findLeaseRow: (rows) => rows
      .filter((row) => !row.deleted && leaseEra(row) !== undefined)
      .sort((left, right) => (leaseEra(right) ?? 0) - (leaseEra(left) ?? 0))
      .at(0),
    findBalanceRow: (rows, account) => rows.find((row) => row.table === TABLE.balances && row.key === account),
    findCeilingsRow: (rows, account) => rows.find((row) => row.table === TABLE.balances && row.key === ceilingsKey(account).key)
  }
}
