import { applySheetTopUps, computeUndrawnTokens, drawAllowance, returnAllowance, sizeDraw, targetAllowance, type AllowanceOutcome, type TopUp } from '@quinceshunt/budget'
import { leaseTimestamps, runInBackground, type BudgetTaskState } from './budgetTaskState.js'
import type { BudgetEntry } from './budgetEntry.js'

/** Minimum interval between draws after a draw without tokens. */
const EXHAUSTED_DRAW_INTERVAL_MS = 100
/** Minimum interval between prefetching draws. */
const PREFETCH_INTERVAL_MS = 500

/** Starts a draw unless a transaction on the lease is in progress or a draw without tokens was too recent. */
export function startDraw (state: BudgetTaskState, entry: BudgetEntry): void {
  if (state.stopping || entry.transactionInProgress !== undefined || state.context.clock.now() < entry.nextDrawAt) return
  entry.transactionInProgress = 'draw'
  const topUps = missingTopUps(state, entry)
  const { budgetId, incarnation, snapshot, transferredOutTokens } = entry.ledger
  // Called after the budget row has been read, so that the size reflects the demand at that time.
  const computeDrawSize = (undrawnTokens: bigint): bigint => sizeDraw({
    neededTokens: entry.neededTokens,
    undrawnTokens,
    availableTokens: entry.ledger.availableTokens,
    tokensPerSecond: entry.usageRate.tokensPerSecond(state.context.clock.now()),
    instances: state.peers.peers().length + 1
  }, state.policy)
  async function draw (): Promise<AllowanceOutcome> {
    if (topUps.length > 0) {
      const { conflicts } = await state.runOnTable('topUp', applySheetTopUps(topUps), state.signal)
      if (conflicts.length > 0) state.context.logger.warn({ budgetId, topUpIds: conflicts }, 'sheet top-ups were already added with different amounts')
    }
    const decision = drawAllowance({ budgetId, incarnation, snapshot, transferredOutTokens, ...leaseTimestamps(state) }, (budget) => computeDrawSize(computeUndrawnTokens(budget)))
    return await state.runOnTable('draw', decision, state.signal)
  }
  const topUpIds = topUps.map(({ topUpId }) => topUpId)
  runInBackground(state, 'draw allowance', draw().then(
    (outcome) => state.post({ kind: 'drawn', budgetId, topUpIds, outcome }),
    (error: unknown) => {
      state.post({ kind: 'drawn', budgetId, topUpIds: [], outcome: undefined })
      throw error
    }
  ))
}

/** Returns the top-ups of the current sheet that this instance does not know to be recorded. */
function missingTopUps (state: BudgetTaskState, entry: BudgetEntry): readonly TopUp[] {
  const budget = state.configuration.current()?.findBudget(entry.budgetId)
  return (budget?.topUps ?? [])
    .filter((topUp) => topUp.tokens > 0n && !entry.knownTopUps.has(topUp.id))
    .map((topUp) => ({ budgetId: entry.budgetId, topUpId: topUp.id, tokens: topUp.tokens, operator: 'sheet', addedAt: BigInt(state.context.clock.now()) }))
}

/** Applies the outcome of a draw; undefined if the task stopped first. */
export function finishDraw (state: BudgetTaskState, entry: BudgetEntry, topUpIds: readonly string[], outcome: AllowanceOutcome | undefined): void {
  entry.transactionInProgress = undefined
  if (outcome === undefined) return
  for (const topUpId of topUpIds) entry.knownTopUps.add(topUpId)
  entry.ledger.apply({ snapshot: outcome.snapshot })
  entry.lastDrawOutcome = outcome.kind
  if (outcome.kind !== 'noBudget') entry.budget = outcome.budget
  const now = state.context.clock.now()
  if (outcome.kind !== 'moved') entry.nextDrawAt = now + EXHAUSTED_DRAW_INTERVAL_MS
  entry.nextPrefetchAt = now + PREFETCH_INTERVAL_MS
}

/** Draws before tokens run out, so that reservations seldom wait for the table. */
export function prefetch (state: BudgetTaskState, entry: BudgetEntry): void {
  const now = state.context.clock.now()
  if (now < entry.nextPrefetchAt || entry.waiting.length > 0) return
  const target = targetAllowance(entry.usageRate.tokensPerSecond(now), state.policy)
  if (entry.ledger.availableTokens * 2n >= target) return
  startDraw(state, entry)
}

/** Returns the tokens of an idle budget, or those above twice the target allowance. */
export function returnUnusedTokens (state: BudgetTaskState, entry: BudgetEntry): void {
  const now = state.context.clock.now()
  const { ledger } = entry
  if (ledger.transferableTokens <= 0n || entry.waiting.length > 0) return
  const idle = ledger.reservedTokens === 0n && now - entry.lastUsedAt >= state.policy.idleReturnMilliseconds
  if (idle) return startReturn(state, entry, ledger.transferableTokens)
  const excess = ledger.transferableTokens - 2n * targetAllowance(entry.usageRate.tokensPerSecond(now), state.policy)
  if (excess <= 0n) {
    entry.excessSince = 0
    return
  }
  if (entry.excessSince === 0) entry.excessSince = now
  if (now - entry.excessSince < state.policy.idleReturnMilliseconds) return
  entry.excessSince = 0
  startReturn(state, entry, excess)
}

/** Starts the return of tokens unless a transaction on the lease is in progress. */
export function startReturn (state: BudgetTaskState, entry: BudgetEntry, tokens: bigint): void {
  if (state.stopping || entry.transactionInProgress !== undefined) return
  entry.transactionInProgress = 'return'
  entry.ledger.beginReturn(tokens)
  const { budgetId, incarnation, snapshot, transferredOutTokens } = entry.ledger
  const decision = returnAllowance({ budgetId, incarnation, snapshot, transferredOutTokens, ...leaseTimestamps(state) }, tokens)
  runInBackground(state, 'return allowance', state.runOnTable('return', decision, state.signal).then(
    (outcome) => state.post({ kind: 'returned', budgetId, tokens, outcome }),
    (error: unknown) => {
      state.post({ kind: 'returned', budgetId, tokens, outcome: undefined })
      throw error
    }
  ))
}

/** Applies the outcome of a return; without an outcome, the tokens stay subtracted. */
export function finishReturn (entry: BudgetEntry, tokens: bigint, outcome: AllowanceOutcome | undefined): void {
  entry.transactionInProgress = undefined
  if (outcome === undefined) return
  entry.ledger.endReturn(tokens)
  entry.ledger.apply({ snapshot: outcome.snapshot })
  if (outcome.kind !== 'noBudget') entry.budget = outcome.budget
}
