import { countPromptTokens } from '@quinceshunt/backend-standin'
import { budgetOf, type AccountOptions, type Ledger } from '@quinceshunt/scenarios'
import type { Measurements } from '../experiment/experiment.js'
import type { SentRequest } from './sendPlan.js'

/** Refusal codes that say that a budget is used up. */
const BUDGET_CODES: ReadonlySet<string> = new Set(['budget_exhausted', 'budget_unavailable'])

/**
 * Budget figures. A refusal is false when the account's prepaid tokens, less everything that was billed or running when
 * the refusal arrived, would have covered the request. Tokens that a break-off may have used are counted as used.
 */
export function measureBudgets (sent: readonly SentRequest[], accounts: readonly AccountOptions[], ledger: Ledger): Measurements {
  const refusals = sent.filter((request) => request.result === 'refused' && BUDGET_CODES.has(request.detail))
  const falseRefusals = refusals.filter((refusal) => {
    const account = accounts.find(({ id }) => id === refusal.planned.account)
    return account !== undefined && account.budgetTokens - usedAt(sent, refusal) >= costOf(refusal)
  })
  return {
    budgetRefusals: refusals.length,
    falseRefusals: falseRefusals.length,
    overspendTokens: accounts.reduce((sum, account) => sum + overspend(account, ledger), 0),
    committedUnsettledTokens: accounts.reduce((sum, account) => sum + committedUnsettled(account, ledger), 0)
  }
}

/** Tokens that a request may cost at most. */
function costOf (request: SentRequest): number {
  return request.planned.answerTokens + countPromptTokens([{ role: 'user', content: request.planned.content }])
}

function usedAt (sent: readonly SentRequest[], refusal: SentRequest): number {
  return sent
    .filter((request) => request.planned.account === refusal.planned.account && request.result !== 'refused' && request.planned.requestClass.kind === 'chat')
    .filter((request) => request.planned.atMilliseconds <= refusal.endedAtMilliseconds)
    .reduce((sum, request) => sum + costOf(request), 0)
}

function overspend (account: AccountOptions, ledger: Ledger): number {
  const billed = ledger.bills.filter((bill) => bill.budgetId === budgetOf(account.id)).reduce((sum, bill) => sum + Number(bill.chargedTokens), 0)
  return Math.max(0, billed - account.budgetTokens)
}

/** Tokens drawn by instances and neither settled nor returned. */
function committedUnsettled (account: AccountOptions, ledger: Ledger): number {
  const budget = ledger.budgets.get(budgetOf(account.id))
  if (budget === undefined) return 0
  const settled = ledger.leases.filter((entry) => entry.budgetId === budgetOf(account.id)).reduce((sum, { lease }) => sum + Number(lease.settledTokens), 0)
  return Number(budget.committedTokens) - settled - Number(budget.settledByClosedLeasesTokens)
}
