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
}

/** Access to the balance rows and to one instance's lease row. */
export interface BalanceTable {
  /** Writes the lease and the changed balances, on condition that none of these rows has changed since it was read. */
  transact (transaction: LeaseTransaction, leaseVersion: number, balances: ReadonlyMap<string, ObservedBalance>, deadline: number): Promise<TransactionOutcome>
  readBalance (account: string, deadline: number): Promise<ReadOutcome>
  readLease (deadline: number): Promise<ReadOutcome>
  findLeaseRow (rows: readonly StoredRow[]): StoredRow | undefined
  findBalanceRow (rows: readonly StoredRow[], account: string): StoredRow | undefined
}

/** Opens the tables. With `spansParts`, each balance and each lease lies in its own partition of the store. */
export function openBalanceTable (store: RowStore, instanceId: string, spansParts: boolean): BalanceTable {
  const leaseKey = { table: TABLE.leases, part: spansParts ? instanceId : '', key: instanceId }

  function balanceKey (account: string): { table: string, part: string, key: string } {
    return { table: TABLE.balances, part: spansParts ? account : '', key: account }
  }

  async function read ({ table, part, key }: { table: string, part: string, key: string }, deadline: number): Promise<ReadOutcome> {
    return await store.read(table, part, deadline, { from: key, to: `${key}~` })
  }

  return {
    transact: async (transaction, leaseVersion, balances, deadline) => {
      const expected = [
        { ...leaseKey, version: leaseVersion },
        ...[...balances].map(([account, { balanceVersion }]) => ({ ...balanceKey(account), version: balanceVersion }))
      ]
      const writes = [
        { ...leaseKey, value: encodeLeaseRow(transaction.row) },
        ...[...balances].map(([account, { granted }]) => ({ ...balanceKey(account), value: String(granted + (transaction.changes.get(account) ?? 0)) }))
      ]
      return await store.transact({ expected, writes, removals: [], spansParts }, deadline)
    },
    readBalance: async (account, deadline) => await read(balanceKey(account), deadline),
    readLease: async (deadline) => await read(leaseKey, deadline),
    findLeaseRow: (rows) => rows.find((row) => row.table === TABLE.leases && row.key === instanceId),
    findBalanceRow: (rows, account) => rows.find((row) => row.table === TABLE.balances && row.key === account)
  }
}
