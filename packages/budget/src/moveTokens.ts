import { readRows, type Row, type TableDecision, transact } from '@quinceshunt/table-store'
import { budgetKeys } from './budgetKeys.js'
import { budgetCodec, leaseCodec, outstandingOf, put, undrawnOf, unchanged, type BudgetTotals } from './budgetRecords.js'
import { leaseBaseOf, type LeaseBase } from './leaseLedger.js'

/** The lease that a transaction changes, as its holder knows it. */
export interface LeaseInput {
  readonly budgetId: string
  readonly incarnation: string
  readonly base: LeaseBase
  /** Cumulative transfers to peers, including those that the row does not show yet. */
  readonly transferredOutTokens: bigint
  /** Unix milliseconds. */
  readonly now: bigint
  /** End of the lease after this transaction, Unix milliseconds. */
  readonly expiresAt: bigint
}

/** Outcome of a draw or a return. */
export type MoveOutcome =
  | { readonly kind: 'moved', readonly tokens: bigint, readonly base: LeaseBase, readonly budget: BudgetTotals }
  /** Nothing to move: too little is prepaid, or an operator changed the lease. */
  | { readonly kind: 'nothing', readonly base: LeaseBase, readonly budget: BudgetTotals }
  | { readonly kind: 'noBudget', readonly base: LeaseBase }

/** Draws as many tokens as `size` allows, given the budget row. */
export function * drawAllowance (input: LeaseInput, size: (budget: BudgetTotals) => bigint): TableDecision<MoveOutcome> {
  return yield * moveTokens(input, (budget) => {
    const [wanted, undrawn] = [size(budget), undrawnOf(budget)]
    return wanted < undrawn ? wanted : undrawn
  })
}

/** Returns tokens that the holder has stopped using. */
export function * returnAllowance (input: LeaseInput, tokens: bigint): TableDecision<MoveOutcome> {
  return yield * moveTokens(input, (_, base) => base.version === input.base.version ? -tokens : 0n)
}

/** Moves tokens between the budget and the lease in one transaction; a positive amount goes to the lease. */
function * moveTokens (input: LeaseInput, amountOf: (budget: BudgetTotals, base: LeaseBase) => bigint): TableDecision<MoveOutcome> {
  const leaseKey = budgetKeys.lease(input.budgetId, input.incarnation)
  let budgetRow: Row = (yield * readRows([budgetKeys.budget(input.budgetId)]))[0]!
  let base = input.base
  for (;;) {
    if (budgetRow.version === 0n) return { kind: 'noBudget', base }
    const budget = budgetCodec.decode(budgetRow)
    const tokens = amountOf(budget, base)
    if (tokens === 0n || (tokens < 0n && outstandingOf(base.record) < -tokens)) return { kind: 'nothing', base, budget }
    const record = {
      ...base.record,
      sequence: base.record.sequence + 1n,
      grantedTokens: base.record.grantedTokens + (tokens > 0n ? tokens : 0n),
      returnedTokens: base.record.returnedTokens - (tokens < 0n ? tokens : 0n),
      transferredOutTokens: input.transferredOutTokens,
      renewedAt: input.now,
      expiresAt: input.expiresAt
    }
    const updated = { ...budget, committedTokens: budget.committedTokens + tokens }
    const outcome = yield * transact(
      [unchanged(budgetRow), { key: leaseKey, expectedVersion: base.version }],
      [put(budgetRow.key, budgetCodec.encode(updated)), put(leaseKey, leaseCodec.encode(record))]
    )
    if (outcome.kind === 'applied') return { kind: 'moved', tokens, base: { record, version: outcome.versions[1]! }, budget: updated }
    const leaseRow = outcome.rows.find((row) => row.key === leaseKey)
    if (leaseRow !== undefined) base = leaseBaseOf(leaseRow, input.incarnation)
    // Only the holder raises the sequence, and it has one transaction on a lease at a time: an earlier attempt took effect.
    if (base.record.sequence === record.sequence) return { kind: 'moved', tokens, base, budget: updated }
    budgetRow = outcome.rows.find((row) => row.key === budgetRow.key) ?? budgetRow
  }
}
