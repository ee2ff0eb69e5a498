import { readRows, type Row, type TableDecision, transact } from '@quinceshunt/table-store'
import { budgetKeys } from './budgetKeys.js'
import { budgetCodec, leaseCodec, computeOutstandingTokens, putRow, computeUndrawnTokens, expectUnchanged, type BudgetTotals } from './budgetRecords.js'
import { decodeLeaseSnapshot, type LeaseSnapshot } from './leaseLedger.js'

/** The lease that a transaction changes, as its holder knows it. */
export interface LeaseInput {
  readonly budgetId: string
  readonly incarnation: string
  readonly snapshot: LeaseSnapshot
  /** Cumulative transfers to peers, including those that the row does not show yet. */
  readonly transferredOutTokens: bigint
  /** Unix milliseconds. */
  readonly now: bigint
  /** End of the lease after this transaction, Unix milliseconds. */
  readonly expiresAt: bigint
}

/** Outcome of a draw or a return. */
export type MoveOutcome =
  | { readonly kind: 'moved', readonly tokens: bigint, readonly snapshot: LeaseSnapshot, readonly budget: BudgetTotals }
  /** Nothing to move: too little is prepaid, or an operator changed the lease. */
  | { readonly kind: 'nothing', readonly snapshot: LeaseSnapshot, readonly budget: BudgetTotals }
  | { readonly kind: 'noBudget', readonly snapshot: LeaseSnapshot }

/** Draws as many tokens as `size` allows, given the budget row. */
export function * drawAllowance (input: LeaseInput, size: (budget: BudgetTotals) => bigint): TableDecision<MoveOutcome> {
  return yield * moveTokens(input, (budget) => {
    const [wanted, undrawn] = [size(budget), computeUndrawnTokens(budget)]
    return wanted < undrawn ? wanted : undrawn
  })
}

/** Returns tokens that the holder has stopped using. */
export function * returnAllowance (input: LeaseInput, tokens: bigint): TableDecision<MoveOutcome> {
  return yield * moveTokens(input, (_, snapshot) => snapshot.version === input.snapshot.version ? -tokens : 0n)
}

/** Moves tokens between the budget and the lease in one transaction; a positive amount goes to the lease. */
function * moveTokens (input: LeaseInput, computeAmount: (budget: BudgetTotals, snapshot: LeaseSnapshot) => bigint): TableDecision<MoveOutcome> {
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
    // Only the holder raises the sequence, and it has one transaction on a lease at a time: an earlier attempt took effect.
    if (snapshot.record.sequence === record.sequence) return { kind: 'moved', tokens, snapshot, budget: updatedBudget }
    budgetRow = outcome.rows.find((row) => row.key === budgetRow.key) ?? budgetRow
  }
}
