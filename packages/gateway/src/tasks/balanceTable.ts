import { encodeLeaseRow } from '../decisions/leaseRow.js'
import type { ReadOutcome, RowStore, StoredRow, TransactionOutcome } from '../ports.js'
import type { LeaseTransaction } from './tokenAccounts.js'

/** Tables of balances, by client account, and of leases, by instance. */
const TABLE = { balances: 'balances', leases: 'leases' } as const

/** Balance of a client account as last seen. */
export interface ObservedBalance {
  /** Tokens granted to all instances. */
  readonly granted: number
  readonly balanceVersion: number
}

/** The rows of balances and of one instance's lease. */
export interface BalanceTable {
  /** Writes the lease with the balances that change, on the condition that none was written since it was seen. */
  transact (transaction: LeaseTransaction, leaseVersion: number, balances: ReadonlyMap<string, ObservedBalance>, deadline: number): Promise<TransactionOutcome>
  readBalance (account: string, deadline: number): Promise<ReadOutcome>
  readLease (deadline: number): Promise<ReadOutcome>
  findLeaseRow (rows: readonly StoredRow[]): StoredRow | undefined
  findBalanceRow (rows: readonly StoredRow[], account: string): StoredRow | undefined
}

/** Opens the rows. With `spansParts`, each balance and each lease is a part of the store of its own. */
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
