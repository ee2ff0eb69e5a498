import { countPromptTokens } from '@quinceshunt/backend-standin'
import { reservationCeiling } from '@quinceshunt/budget'
import { budgetOf, type AccountOptions, type Ledger } from '@quinceshunt/scenarios'
import type { Measurements } from '../experiment/experiment.js'
import type { SentRequest } from './sendPlan.js'

/** Refusal codes that say that a budget is used up. */
const BUDGET_CODES: ReadonlySet<string> = new Set(['budget_exhausted', 'budget_unavailable'])

/**
 * Budget figures. The reservation of a request is its upper bound, which the hard limit demands before it runs. A refusal
 * is false when the account's prepaid tokens, less what had been billed and what was reserved for running requests, would
 * have covered the reservation; it is due to the upper bound when they would have covered only the request's cost.
 */
export function measureBudgets (sent: readonly SentRequest[], accounts: readonly AccountOptions[], ledger: Ledger): Measurements {
  const refusals = sent.filter((request) => request.result === 'refused' && BUDGET_CODES.has(request.detail))
  const left = (refusal: SentRequest): number => (accounts.find(({ id }) => id === refusal.planned.account)?.budgetTokens ?? 0) - usedAt(sent, refusal)
  return {
    budgetRefusals: refusals.length,
    falseRefusals: refusals.filter((refusal) => left(refusal) >= reservationOf(refusal)).length,
    upperBoundRefusals: refusals.filter((refusal) => left(refusal) >= costOf(refusal) && left(refusal) < reservationOf(refusal)).length,
    overspendTokens: accounts.reduce((sum, account) => sum + overspend(account, ledger), 0),
    committedUnsettledTokens: accounts.reduce((sum, account) => sum + committedUnsettled(account, ledger), 0)
  }
}

function promptOf (request: SentRequest): { role: string, content: string }[] {
  return [{ role: 'user', content: request.planned.content }]
}

/** Tokens that a whole answer costs. */
function costOf (request: SentRequest): number {
  return request.planned.answerTokens + countPromptTokens(promptOf(request))
}

function reservationOf (request: SentRequest): number {
  return reservationCeiling(promptOf(request), request.planned.answerTokens)
}

/** Tokens billed to the account, or reserved for its running requests, when a refusal arrived. */
function usedAt (sent: readonly SentRequest[], refusal: SentRequest): number {
  const time = refusal.endedAtMilliseconds
  return sent
    .filter((request) => request.planned.account === refusal.planned.account && request.result !== 'refused' && request.planned.requestClass.kind === 'chat')
    .filter((request) => request.planned.atMilliseconds <= time)
    .reduce((sum, request) => sum + (request.result === 'answered' && request.endedAtMilliseconds <= time ? costOf(request) : reservationOf(request)), 0)
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
