import { fromBinary } from '@bufbuild/protobuf'
import type { Row, TableStore } from '@quinceshunt/table-store'
import { BillBatchRecordSchema, BillRecordSchema, BudgetRecordSchema, LeaseRecordSchema, type BillRecord, type BudgetRecord, type LeaseRecord } from '@quinceshunt/schemas'

const PAGE_ROWS = 1000

/** Budget, lease and bill rows read from the table. */
export interface Ledger {
  readonly budgets: ReadonlyMap<string, BudgetRecord>
  readonly leases: readonly { readonly budgetId: string, readonly lease: LeaseRecord }[]
  readonly bills: readonly BillRecord[]
}

/** Reads all rows with the given key prefix. */
export async function scanPrefix (table: TableStore, prefix: string): Promise<Row[]> {
  const rows: Row[] = []
  for (let more = true; more;) {
    const page = await table.scan(prefix, rows.at(-1)?.key ?? '', PAGE_ROWS)
    rows.push(...page.rows)
    more = page.more
  }
  return rows
}

/**
 * Reads budgets, leases and bills. The prefixes are not read atomically, so the totals are only consistent if no
 * instance writes meanwhile.
 */
export async function readLedger (table: TableStore): Promise<Ledger> {
  const budgetRows = await scanPrefix(table, 'budget/')
  const leaseRows = await scanPrefix(table, 'lease/')
  const billRows = await scanPrefix(table, 'bill/')
  const batchRows = await scanPrefix(table, 'billbatch/')
  return {
    budgets: new Map(budgetRows.map((row) => [row.key.slice('budget/'.length), fromBinary(BudgetRecordSchema, row.value)])),
    leases: leaseRows.map((row) => ({ budgetId: row.key.split('/')[1]!, lease: fromBinary(LeaseRecordSchema, row.value) })),
    bills: [
      ...billRows.map((row) => fromBinary(BillRecordSchema, row.value)),
      ...batchRows.flatMap((row) => fromBinary(BillBatchRecordSchema, row.value).bills)
    ]
  }
}

/** Tokens that the lease can still settle. */
export function outstandingTokens (lease: LeaseRecord): bigint {
  return lease.grantedTokens + lease.transferredInTokens - lease.transferredOutTokens - lease.returnedTokens - lease.settledTokens - lease.resolvedTokens
}

/** Returns violations of the invariants in sections 2 and 7 of the design page; empty if all hold. */
export function findViolations (ledger: Ledger): string[] {
  const requestIds = ledger.bills.map((bill) => bill.requestId)
  const duplicates = requestIds.filter((id, index) => requestIds.indexOf(id) !== index)
  return [
    ...duplicates.map((id) => `request ${id} is billed more than once`),
    ...[...ledger.budgets].flatMap(([budgetId, budget]) => checkBudget(ledger, budgetId, budget)),
    ...ledger.leases.filter(({ lease }) => outstandingTokens(lease) < 0n).map(({ budgetId, lease }) => `lease of ${lease.incarnation} on ${budgetId} has settled ${-outstandingTokens(lease)} tokens more than it was granted`)
  ]
}

function checkBudget (ledger: Ledger, budgetId: string, budget: BudgetRecord): string[] {
  const settledByLeases = ledger.leases.filter((entry) => entry.budgetId === budgetId).reduce((sum, { lease }) => sum + lease.settledTokens, 0n)
  const settled = settledByLeases + budget.settledByClosedLeasesTokens
  const billed = ledger.bills.filter((bill) => bill.budgetId === budgetId).reduce((sum, bill) => sum + bill.chargedTokens, 0n)
  const problems: string[] = []
  if (budget.committedTokens > budget.prepaidTokens) problems.push(`budget ${budgetId} has ${budget.committedTokens} committed tokens but only ${budget.prepaidTokens} prepaid tokens`)
  if (billed > budget.prepaidTokens) problems.push(`budget ${budgetId} has bills for ${billed} tokens but only ${budget.prepaidTokens} prepaid tokens`)
  if (billed !== settled) problems.push(`budget ${budgetId} has bills for ${billed} tokens but ${settled} settled tokens`)
  return problems
}
