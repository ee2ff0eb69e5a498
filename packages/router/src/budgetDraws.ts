import { applySheetTopUps, drawAllowance, returnAllowance, sizeDraw, targetAllowance, undrawnOf, type MoveOutcome, type TopUp } from '@quinceshunt/budget'
import { inBackground, leaseTimes, type BudgetCore } from './budgetCore.js'
import type { BudgetEntry } from './budgetEntry.js'

/** Time between draws of a budget that has nothing left, milliseconds. */
const EXHAUSTED_PAUSE_MILLISECONDS = 100
/** Time between draws ahead of need, milliseconds. */
const PREFETCH_PAUSE_MILLISECONDS = 500

/** Starts a draw unless a transaction on the lease is under way or the last draw found nothing just now. */
export function startDraw (core: BudgetCore, entry: BudgetEntry): void {
  if (core.stopping || entry.busy !== undefined || core.context.clock.now() < entry.nextDrawAt) return
  entry.busy = 'draw'
  const topUps = missingTopUps(core, entry)
  const { budgetId, incarnation, base, transferredOutTokens } = entry.ledger
  // Sized when the budget row has been read, from the need at that time.
  const size = (undrawnTokens: bigint): bigint => sizeDraw({
    neededTokens: entry.neededTokens,
    undrawnTokens,
    availableTokens: entry.ledger.availableTokens,
    tokensPerSecond: entry.rate.tokensPerSecond(core.context.clock.now()),
    instances: core.peers.peers().length + 1
  }, core.policy)
  async function draw (): Promise<MoveOutcome> {
    if (topUps.length > 0) {
      const { conflicts } = await core.runOnTable('topUp', applySheetTopUps(topUps), core.signal)
      if (conflicts.length > 0) core.context.logger.warn({ budgetId, topUpIds: conflicts }, 'top-ups of the sheet were added before with another amount')
    }
    const decision = drawAllowance({ budgetId, incarnation, base, transferredOutTokens, ...leaseTimes(core) }, (budget) => size(undrawnOf(budget)))
    return await core.runOnTable('draw', decision, core.signal)
  }
  const topUpIds = topUps.map(({ topUpId }) => topUpId)
  inBackground(core, 'draw allowance', draw().then(
    (outcome) => core.post({ kind: 'drawn', budgetId, topUpIds, outcome }),
    (error: unknown) => {
      core.post({ kind: 'drawn', budgetId, topUpIds: [], outcome: undefined })
      throw error
    }
  ))
}

/** Top-ups of the sheet in force that this instance has not seen added. */
function missingTopUps (core: BudgetCore, entry: BudgetEntry): readonly TopUp[] {
  const budget = core.configuration.current()?.findBudget(entry.budgetId)
  return (budget?.topUps ?? [])
    .filter((topUp) => topUp.tokens > 0n && !entry.settledTopUps.has(topUp.id))
    .map((topUp) => ({ budgetId: entry.budgetId, topUpId: topUp.id, tokens: topUp.tokens, operator: 'sheet', addedAt: BigInt(core.context.clock.now()) }))
}

/** Takes over the outcome of a draw. */
export function finishDraw (core: BudgetCore, entry: BudgetEntry, topUpIds: readonly string[], outcome: MoveOutcome | undefined): void {
  entry.busy = undefined
  if (outcome === undefined) return
  for (const topUpId of topUpIds) entry.settledTopUps.add(topUpId)
  entry.ledger.apply({ base: outcome.base })
  entry.drawState = outcome.kind
  if (outcome.kind !== 'noBudget') entry.budget = outcome.budget
  const now = core.context.clock.now()
  if (outcome.kind !== 'moved') entry.nextDrawAt = now + EXHAUSTED_PAUSE_MILLISECONDS
  entry.nextPrefetchAt = now + PREFETCH_PAUSE_MILLISECONDS
}

/** Draws ahead of need, so that reservations seldom wait for the table. */
export function prefetch (core: BudgetCore, entry: BudgetEntry): void {
  const now = core.context.clock.now()
  if (now < entry.nextPrefetchAt || entry.waiting.length > 0) return
  const target = targetAllowance(entry.rate.tokensPerSecond(now), core.policy)
  if (entry.ledger.availableTokens * 2n >= target) return
  startDraw(core, entry)
}

/** Returns what an idle instance, or one with far more than it uses, does not need. */
export function returnUnused (core: BudgetCore, entry: BudgetEntry): void {
  const now = core.context.clock.now()
  const { ledger } = entry
  if (ledger.givableTokens <= 0n || entry.waiting.length > 0) return
  const idle = ledger.reservedTokens === 0n && now - entry.lastUsedAt >= core.policy.idleReturnMilliseconds
  if (idle) return startReturn(core, entry, ledger.givableTokens)
  const excess = ledger.givableTokens - 2n * targetAllowance(entry.rate.tokensPerSecond(now), core.policy)
  if (excess <= 0n) {
    entry.excessSince = 0
    return
  }
  if (entry.excessSince === 0) entry.excessSince = now
  if (now - entry.excessSince < core.policy.idleReturnMilliseconds) return
  entry.excessSince = 0
  startReturn(core, entry, excess)
}

/** Starts the return of tokens unless a transaction on the lease is under way. */
export function startReturn (core: BudgetCore, entry: BudgetEntry, tokens: bigint): void {
  if (core.stopping || entry.busy !== undefined) return
  entry.busy = 'return'
  entry.ledger.beginReturn(tokens)
  const { budgetId, incarnation, base, transferredOutTokens } = entry.ledger
  const decision = returnAllowance({ budgetId, incarnation, base, transferredOutTokens, ...leaseTimes(core) }, tokens)
  inBackground(core, 'return allowance', core.runOnTable('return', decision, core.signal).then(
    (outcome) => core.post({ kind: 'returned', budgetId, tokens, outcome }),
    (error: unknown) => {
      core.post({ kind: 'returned', budgetId, tokens, outcome: undefined })
      throw error
    }
  ))
}

/** Takes over the outcome of a return; without one, the tokens stay subtracted. */
export function finishReturn (entry: BudgetEntry, tokens: bigint, outcome: MoveOutcome | undefined): void {
  entry.busy = undefined
  if (outcome === undefined) return
  entry.ledger.endReturn(tokens)
  entry.ledger.apply({ base: outcome.base })
  if (outcome.kind !== 'noBudget') entry.budget = outcome.budget
}
