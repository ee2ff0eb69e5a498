import { readRows, type RowWrite, type TableDecision, transact } from '@quinceshunt/table-store'
import type { TopUpRecord } from '@quinceshunt/schemas'
import { budgetKeys } from './budgetKeys.js'
import { budgetCodec, expectAbsent, expectUnchanged, putRow, topUpCodec, type BudgetTotals } from './budgetRecords.js'

/** Top-up of a budget, identified by its ID. */
export interface TopUp {
  readonly budgetId: string
  readonly topUpId: string
  /** Above 0. */
  readonly tokens: bigint
  readonly operator: string
  /** Unix milliseconds. */
  readonly addedAt: bigint
  /** Written in the same transaction; its key must be absent. */
  readonly audit?: RowWrite
}

export type TopUpOutcome =
  | { readonly kind: 'added', readonly budget: BudgetTotals }
  | { readonly kind: 'alreadyAdded', readonly budget: BudgetTotals }
  /** The ID was already added with a different amount. */
  | { readonly kind: 'conflict', readonly recorded: TopUpRecord, readonly budget: BudgetTotals }

/** Adds a top-up unless its ID was already added. */
export function * topUpBudget (topUp: TopUp): TableDecision<TopUpOutcome> {
  if (topUp.tokens <= 0n) throw new RangeError(`top-up ${topUp.topUpId}: cannot add ${topUp.tokens} tokens; expected a number above 0`)
  const budgetKey = budgetKeys.budget(topUp.budgetId)
  const topUpKey = budgetKeys.topUp(topUp.budgetId, topUp.topUpId)
  const value = topUpCodec.encode({ tokens: topUp.tokens, operator: topUp.operator, addedAt: topUp.addedAt })
  for (let attempted = false; ; attempted = true) {
    const [budgetRow, topUpRow] = yield * readRows([budgetKey, topUpKey])
    const budget = budgetCodec.decode(budgetRow!)
    if (topUpRow!.version !== 0n) return compareWithRecorded(topUp, topUpCodec.decode(topUpRow!), budget, attempted)
    const updatedBudget = { ...budget, prepaidTokens: budget.prepaidTokens + topUp.tokens }
    const audit = topUp.audit === undefined ? [] : [topUp.audit]
    const outcome = yield * transact(
      [expectUnchanged(budgetRow!), expectAbsent(topUpKey), ...audit.map((write) => expectAbsent(write.key))],
      [putRow(budgetKey, budgetCodec.encode(updatedBudget)), putRow(topUpKey, value), ...audit]
    )
    if (outcome.kind === 'applied') return { kind: 'added', budget: updatedBudget }
  }
}

function compareWithRecorded (topUp: TopUp, recorded: TopUpRecord, budget: BudgetTotals, attempted: boolean): TopUpOutcome {
  if (recorded.tokens !== topUp.tokens) return { kind: 'conflict', recorded, budget }
  const ownAttempt = attempted && recorded.operator === topUp.operator && recorded.addedAt === topUp.addedAt
  return { kind: ownAttempt ? 'added' : 'alreadyAdded', budget }
}

/** Adds the top-ups of a sheet that are missing; returns the IDs that are recorded with a different amount. */
export function * applySheetTopUps (topUps: readonly TopUp[]): TableDecision<{ readonly conflicts: readonly string[] }> {
  const conflicts: string[] = []
  for (const topUp of topUps) {
    const outcome = yield * topUpBudget(topUp)
    if (outcome.kind === 'conflict') conflicts.push(topUp.topUpId)
  }
  return { conflicts }
}
