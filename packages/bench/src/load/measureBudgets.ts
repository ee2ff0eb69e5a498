import { countPromptTokens } from '@quinceshunt/backend-standin'
import { reservationCeiling } from '@quinceshunt/budget'
import { budgetIdOf, type AccountOptions, type Ledger } from '@quinceshunt/scenarios'
import type { Measurements } from '../experiment/experiment.js'
import type { SentRequest } from './sendPlan.js'

/** Error codes of requests that are refused for lack of budget tokens. */
const BUDGET_REFUSAL_CODES: ReadonlySet<string> = new Set(['budget_exhausted', 'budget_unavailable'])

/**
 * Measures budget refusals and overspend. The hard limit requires the upper bound of a request's cost to be reserved
 * before it runs. A refusal is false when the account's prepaid tokens, less those billed and those reserved for running
 * requests, covered the reservation; it is due to the upper bound when they covered only the request's cost.
 */
export function measureBudgets (sent: readonly SentRequest[], accounts: readonly AccountOptions[], ledger: Ledger): Measurements {
  const refusals = sent.filter((request) => request.result === 'refused' && BUDGET_REFUSAL_CODES.has(request.detail))
  const remainingTokens = (refusal: SentRequest): number => (accounts.find(({ id }) => id === refusal.planned.account)?.budgetTokens ?? 0) - usedTokensAt(sent, refusal)
  return {
    budgetRefusals: refusals.length,
    falseRefusals: refusals.filter((refusal) => remainingTokens(refusal) >= reservedTokens(refusal)).length,
    upperBoundRefusals: refusals.filter((refusal) => remainingTokens(refusal) >= costInTokens(refusal) && remainingTokens(refusal) < reservedTokens(refusal)).length,
    overspendTokens: accounts.reduce((sum, account) => sum + overspentTokens(account, ledger), 0),
    committedUnsettledTokens: accounts.reduce((sum, account) => sum + unsettledTokens(account, ledger), 0)
  }
}

function promptMessages (request: SentRequest): { role: string, content: string }[] {
  return [{ role: 'user', content: request.planned.content }]
}

/** Cost of a complete request: prompt and completion tokens. */
function costInTokens (request: SentRequest): number {
  return request.planned.answerTokens + countPromptTokens(promptMessages(request))
}

function reservedTokens (request: SentRequest): number {
  return reservationCeiling(promptMessages(request), request.planned.answerTokens)
}

/** Tokens billed to the account or reserved for its running requests at the time of the refusal. */
function usedTokensAt (sent: readonly SentRequest[], refusal: SentRequest): number {
  const refusedAt = refusal.endedAtMilliseconds
  return sent
    .filter((request) => request.planned.account === refusal.planned.account && request.result !== 'refused' && request.planned.requestClass.kind === 'chat')
    .filter((request) => request.planned.arrivalMilliseconds <= refusedAt)
    .reduce((sum, request) => sum + (request.result === 'answered' && request.endedAtMilliseconds <= refusedAt ? costInTokens(request) : reservedTokens(request)), 0)
}

function overspentTokens (account: AccountOptions, ledger: Ledger): number {
  const billed = ledger.bills.filter((bill) => bill.budgetId === budgetIdOf(account.id)).reduce((sum, bill) => sum + Number(bill.chargedTokens), 0)
  return Math.max(0, billed - account.budgetTokens)
}

/** Tokens committed to the leases of instances that are neither settled nor returned. */
function unsettledTokens (account: AccountOptions, ledger: Ledger): number {
  const budget = ledger.budgets.get(budgetIdOf(account.id))
  if (budget === undefined) return 0
  const settled = ledger.leases.filter((entry) => entry.budgetId === budgetIdOf(account.id)).reduce((sum, { lease }) => sum + Number(lease.settledTokens), 0)
  return Number(budget.committedTokens) - settled - Number(budget.settledByClosedLeasesTokens)
}
