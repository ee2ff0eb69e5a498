import { readRows, type Row, type TableDecision, transact } from '@quinceshunt/table-store'
import { budgetKeys } from './budgetKeys.js'
import { budgetCodec, computeOutstandingTokens, computeUndrawnTokens, expectUnchanged, leaseCodec, putRow, type BudgetTotals } from './budgetRecords.js'
import { decodeLeaseSnapshot, type LeaseSnapshot } from './leaseLedger.js'

/** Lease to change in a transaction, as known to its holder. */
export interface LeaseInput {
  readonly budgetId: string
  readonly incarnation: string
  readonly snapshot: LeaseSnapshot
  /** Cumulative transfers to peers, including those that the row does not include yet. */
  readonly transferredOutTokens: bigint
  /** Unix milliseconds. */
  readonly now: bigint
  /** Lease expiry set by the transaction, Unix milliseconds. */
  readonly expiresAt: bigint
}

/** Outcome of a draw or a return. */
export type AllowanceOutcome =
  | { readonly kind: 'moved', readonly tokens: bigint, readonly snapshot: LeaseSnapshot, readonly budget: BudgetTotals }
  /** No tokens were moved: the budget has too few, or an operator changed the lease. */
  | { readonly kind: 'nothing', readonly snapshot: LeaseSnapshot, readonly budget: BudgetTotals }
  | { readonly kind: 'noBudget', readonly snapshot: LeaseSnapshot }

/** Draws the tokens that `computeSize` returns for the budget row, limited to the undrawn tokens. */
export function * drawAllowance (input: LeaseInput, computeSize: (budget: BudgetTotals) => bigint): TableDecision<AllowanceOutcome> {
  return yield * moveTokens(input, (budget) => {
    const [wanted, undrawn] = [computeSize(budget), computeUndrawnTokens(budget)]
    return wanted < undrawn ? wanted : undrawn
  })
}

/** Returns tokens that the holder no longer uses. */
export function * returnAllowance (input: LeaseInput, tokens: bigint): TableDecision<AllowanceOutcome> {
  return yield * moveTokens(input, (_, snapshot) => snapshot.version === input.snapshot.version ? -tokens : 0n)
}

/** Moves tokens between budget and lease in one transaction; positive amounts go to the lease. */
function * moveTokens (input: LeaseInput, computeAmount: (budget: BudgetTotals, snapshot: LeaseSnapshot) => bigint): TableDecision<AllowanceOutcome> {
  const leaseKey = budgetKeys.lease(input.budgetId, input.incarnation)
  let budgetRow: Row = (yield * readRows([budgetKeys.budget(input.budgetId)]))[0]!
  let snapshot = input.snapshot
  for (;;) {
    if (budgetRow.version === 0n) return { kind: 'noBudget', snapshot }
    const budget = budgetCodec.decode(budgetRow)
    const tokens = computeAmount(budget, snapshot)
    if (tokens === 0n || (tokens < 0n && computeOutstandingTokens(snapshot.record) < -tokens)) return { kind: 'nothing', snapshot, budget }
    const record = {
      ...snapshot.record,
      sequence: snapshot.record.sequence + 1n,
      grantedTokens: snapshot.record.grantedTokens + (tokens > 0n ? tokens : 0n),
      returnedTokens: snapshot.record.returnedTokens - (tokens < 0n ? tokens : 0n),
      transferredOutTokens: input.transferredOutTokens,
      renewedAt: input.now,
      expiresAt: input.expiresAt
    }
    const updatedBudget = { ...budget, committedTokens: budget.committedTokens + tokens }
    const outcome = yield * transact(
      [expectUnchanged(budgetRow), { key: leaseKey, expectedVersion: snapshot.version }],
      [putRow(budgetRow.key, budgetCodec.encode(updatedBudget)), putRow(leaseKey, leaseCodec.encode(record))]
    )
    if (outcome.kind === 'applied') return { kind: 'moved', tokens, snapshot: { record, version: outcome.versions[1]! }, budget: updatedBudget }
    const leaseRow = outcome.rows.find((row) => row.key === leaseKey)
    if (leaseRow !== undefined) snapshot = decodeLeaseSnapshot(leaseRow, input.incarnation)
    // Only the holder increments the sequence, one transaction at a time, so an equal sequence means that an earlier attempt took effect.
    if (snapshot.record.sequence === record.sequence) return { kind: 'moved', tokens, snapshot, budget: updatedBudget }
    budgetRow = outcome.rows.find((row) => row.key === budgetRow.key) ?? budgetRow
  }
}
