import { encodeLeaseRow } from '../decisions/leaseRow.js'
import type { ReadOutcome, RowStore, StoredRow, TransactionOutcome } from '../ports.js'
import type { Composed } from './tokenAccounts.js'

/** Tables of balances, by client account, and of leases, by instance. */
const TABLE = { balances: 'balances', leases: 'leases' } as const

/** Balance of a client account as last seen. */
export interface SeenBalance {
  /** Tokens granted to all instances. */
  readonly granted: number
  readonly balanceVersion: number
}

/** The rows of balances and of one instance's lease. */
export interface BalanceTable {
  /** Writes the lease with the balances that change, on the condition that none was written since it was seen. */
  transact (composed: Composed, leaseVersion: number, balances: ReadonlyMap<string, SeenBalance>, deadline: number): Promise<TransactionOutcome>
  readBalance (account: string, deadline: number): Promise<ReadOutcome>
  readLease (deadline: number): Promise<ReadOutcome>
  leaseIn (rows: readonly StoredRow[]): StoredRow | undefined
  balanceIn (rows: readonly StoredRow[], account: string): StoredRow | undefined
}

/** Opens the rows. With `spansParts`, each balance and each lease is a part of the store of its own. */
export function openBalanceTable (store: RowStore, instanceId: string, spansParts: boolean): BalanceTable {
  const leaseName = { table: TABLE.leases, part: spansParts ? instanceId : '', key: instanceId }

  function balanceName (account: string): { table: string, part: string, key: string } {
    return { table: TABLE.balances, part: spansParts ? account : '', key: account }
  }

  async function read ({ table, part, key }: { table: string, part: string, key: string }, deadline: number): Promise<ReadOutcome> {
    return await store.read(table, part, deadline, { from: key, to: `${key}~` })
  }

  return {
    transact: async (composed, leaseVersion, balances, deadline) => {
      const expected = [
        { ...leaseName, version: leaseVersion },
        ...[...balances].map(([account, { balanceVersion }]) => ({ ...balanceName(account), version: balanceVersion }))
      ]
      const writes = [
        { ...leaseName, value: encodeLeaseRow(composed.row) },
        ...[...balances].map(([account, { granted }]) => ({ ...balanceName(account), value: String(granted + (composed.moves.get(account) ?? 0)) }))
      ]
      return await store.transact({ expected, writes, removals: [], spansParts }, deadline)
    },
    readBalance: async (account, deadline) => await read(balanceName(account), deadline),
    readLease: async (deadline) => await read(leaseName, deadline),
    leaseIn: (rows) => rows.find((row) => row.table === TABLE.leases && row.key === instanceId),
    balanceIn: (rows, account) => rows.find((row) => row.table === TABLE.balances && row.key === account)
  }
}
