import { Code, ConnectError, type ServiceImpl } from '@connectrpc/connect'
import { runTableDecision } from '@quinceshunt/table-store'
import { budgetKeys, resolveLease, summariseBudget, topUpBudget, type BudgetSummary, type ResolveOutcome } from '@quinceshunt/budget'
import { assertNever } from '@quinceshunt/effects'
import { ResolveKind, TopUpBudgetResponseSchema, type AdministrationService, type SheetBudget } from '@quinceshunt/schemas'
import { MAX_TOP_UP_TOKENS } from '@quinceshunt/sheet'
import { authorOf, type AdministrationContext } from '../administrationContext.js'
import { createAuditWrite } from '../audit.js'
import { requireConfiguration } from '../configurationStore.js'

type Handlers = Pick<ServiceImpl<typeof AdministrationService>, 'showBudget' | 'topUpBudget' | 'resolveBudget'>

const TOP_UP_ID_PATTERN = /^[A-Za-z0-9](?:[A-Za-z0-9._-]{0,62}[A-Za-z0-9])?$/

export function createBudgetHandlers (context: AdministrationContext): Handlers {
  const { platform, clock } = context
  return {
    showBudget: async ({ budgetId }) => {
      const summary = await runTableDecision(summariseBudget(budgetId, BigInt(clock.now())), platform.table)
      const budget = (await requireConfiguration(context)).configuration.sheet?.budgets.find(({ id }) => id === budgetId)
      if (summary === undefined && budget === undefined) throw budgetNotFoundError(budgetId)
      return toShowBudgetResponse(budgetId, summary, await readPendingTopUpTokens(context, budget))
    },
    topUpBudget: async ({ budgetId, topUpId, tokens }, call) => {
      if (!TOP_UP_ID_PATTERN.test(topUpId)) throw new ConnectError(`top-up ID "${topUpId}" is not allowed; use 1 to 64 letters, digits, ".", "_" or "-"`, Code.InvalidArgument)
      if (tokens <= 0n || tokens > BigInt(MAX_TOP_UP_TOKENS)) throw new ConnectError(`${tokens} tokens is not allowed; use 1 to ${MAX_TOP_UP_TOKENS}`, Code.InvalidArgument)
      const budget = (await requireConfiguration(context)).configuration.sheet?.budgets.find(({ id }) => id === budgetId)
      if (budget === undefined) throw budgetNotFoundError(budgetId)
      requireSheetAmount(budget, topUpId, tokens)
      const [at, author] = [clock.now(), authorOf(call)]
      const audit = createAuditWrite({ author, at, action: 'budget top-up', subject: budgetId, detail: `${topUpId}: ${tokens} tokens` })
      const outcome = await runTableDecision(topUpBudget({ budgetId, topUpId, tokens, operator: author.operator, addedAt: BigInt(at), audit }), platform.table)
      if (outcome.kind !== 'conflict') return { added: outcome.kind === 'added', budget: outcome.budget }
      throw new ConnectError(`top-up ${topUpId} was added before with ${outcome.recorded.tokens} tokens by ${outcome.recorded.operator}; use a new ID for another amount`, Code.Aborted, undefined,
        [{ desc: TopUpBudgetResponseSchema, value: { added: false, budget: outcome.budget } }])
    },
    resolveBudget: async ({ budgetId, incarnation, kind, tokens, reason }, call) => {
      if (kind === ResolveKind.UNSPECIFIED) throw new ConnectError('the kind is missing; use charge or release', Code.InvalidArgument)
      if (tokens <= 0n) throw new ConnectError(`${tokens} tokens is not allowed; use a number above 0`, Code.InvalidArgument)
      if (reason.trim() === '') throw new ConnectError('the reason is missing; say for the audit how you know that the tokens were spent or not', Code.InvalidArgument)
      const resolution = kind === ResolveKind.CHARGE ? 'charge' : 'release'
      const at = clock.now()
      const audit = createAuditWrite({ author: authorOf(call), at, action: `budget resolve --${resolution}`, subject: `${budgetId} ${incarnation}`, detail: `${tokens} tokens: ${reason}` })
      return toResolveBudgetResponse(await runTableDecision(resolveLease({ budgetId, incarnation, resolution, tokens, now: BigInt(at), audit }), platform.table), budgetId, incarnation)
    }
  }
}

function budgetNotFoundError (budgetId: string): ConnectError {
  return new ConnectError(`there is no budget ${budgetId}; see "account list" and the sheet in force`, Code.NotFound)
}

/** Top-ups in the sheet are added at the first use of the budget, so the same ID must not be used for another amount. */
function requireSheetAmount (budget: SheetBudget, topUpId: string, tokens: bigint): void {
  const sheetTopUp = budget.topUps.find(({ id }) => id === topUpId)
  if (sheetTopUp === undefined || sheetTopUp.tokens === tokens) return
  throw new ConnectError(`the sheet in force has top-up ${topUpId} with ${sheetTopUp.tokens} tokens; use a new ID for another amount`, Code.Aborted)
}

/** Tokens of top-ups in the sheet that no instance has added yet. */
async function readPendingTopUpTokens (context: AdministrationContext, budget: SheetBudget | undefined): Promise<bigint> {
  if (budget === undefined || budget.topUps.length === 0) return 0n
  const rows = await context.platform.table.read(budget.topUps.map(({ id }) => budgetKeys.topUp(budget.id, id)))
  return budget.topUps.reduce((sum, { tokens }, index) => rows[index]!.version === 0n ? sum + tokens : sum, 0n)
}

function toShowBudgetResponse (budgetId: string, summary: BudgetSummary | undefined, pendingTokens: bigint): Awaited<ReturnType<Handlers['showBudget']>> {
  if (summary === undefined) return { budgetId, budget: {}, remainingTokens: pendingTokens, withheldTokens: 0n, leases: [] }
  return { budgetId, budget: summary.budget, remainingTokens: summary.remainingTokens + pendingTokens, withheldTokens: summary.withheldTokens, leases: [...summary.leases] }
}

function toResolveBudgetResponse (outcome: ResolveOutcome, budgetId: string, incarnation: string): Awaited<ReturnType<Handlers['resolveBudget']>> {
  switch (outcome.kind) {
    case 'resolved': return { budget: outcome.budget, lease: outcome.lease }
    case 'leaseNotFound': throw new ConnectError(`budget ${budgetId} has no lease of ${incarnation}; see "budget show ${budgetId}"`, Code.NotFound)
    case 'leaseNotExpired': throw new ConnectError(`the lease of ${incarnation} is in use until ${new Date(Number(outcome.expiresAt)).toISOString()}; its holder may be spending`, Code.FailedPrecondition)
    case 'tooManyTokens': throw new ConnectError(`only ${outcome.outstandingTokens} tokens are outstanding under this lease`, Code.FailedPrecondition)
    default: return assertNever(outcome)
  }
}
