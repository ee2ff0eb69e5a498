import { budgetKeys } from './budgetKeys.js'
import { readRows, scanRows, type TableDecision } from '@quinceshunt/table-store'
import { budgetCodec, computeOutstandingTokens, computeUndrawnTokens, leaseCodec, transferCodec, type BudgetTotals, type LeaseFields } from './budgetRecords.js'

/** Lease state for operators. */
export interface LeaseSummary {
  readonly lease: LeaseFields
  /** Tokens that the lease holds; transferred tokens count for the giver until the receiver records them. */
  readonly outstandingTokens: bigint
  /** True if the lease has expired with outstanding tokens. */
  readonly withheld: boolean
  /** Time since the last renewal, milliseconds. */
  readonly ageMilliseconds: bigint
}

/** State of one budget. */
export interface BudgetSummary {
  readonly budgetId: string
  readonly budget: BudgetTotals
  /** Tokens settled by all leases or charged by operators. */
  readonly spentTokens: bigint
  /** Prepaid tokens that are not spent. */
  readonly remainingTokens: bigint
  /** Prepaid tokens that no lease has drawn. */
  readonly undrawnTokens: bigint
  /** Outstanding tokens of expired leases. */
  readonly withheldTokens: bigint
  /** Committed tokens that are neither spent nor held by a lease; 0 unless rows changed while they were read. */
  readonly unattributedTokens: bigint
  /** Leases that have outstanding tokens or have not expired. */
  readonly leases: readonly LeaseSummary[]
}

/** Summarises a budget as of `now` (Unix milliseconds); undefined if the budget has no row. */
export function * summariseBudget (budgetId: string, now: bigint): TableDecision<BudgetSummary | undefined> {
  const leaseRows = yield * scanRows(budgetKeys.leasesPrefix(budgetId))
  const transferRows = yield * scanRows(budgetKeys.transfersPrefix(budgetId))
  const [budgetRow] = yield * readRows([budgetKeys.budget(budgetId)])
  if (budgetRow!.version === 0n) return undefined
  const budget = budgetCodec.decode(budgetRow!)
  const transferredOutByIncarnation = new Map<string, bigint>()
  for (const { giverIncarnation, tokens } of transferRows.map(transferCodec.decode)) {
    transferredOutByIncarnation.set(giverIncarnation, (transferredOutByIncarnation.get(giverIncarnation) ?? 0n) + tokens)
  }
  const leases = leaseRows.map((row) => summariseLease(leaseCodec.decode(row), transferredOutByIncarnation, now))
  const spentTokens = budget.settledByClosedLeasesTokens + total(leases.map(({ lease }) => lease.settledTokens))
  const outstandingTokens = total(leases.map((lease) => lease.outstandingTokens))
  return {
    budgetId,
    budget,
    spentTokens,
    remainingTokens: budget.prepaidTokens - spentTokens,
    undrawnTokens: computeUndrawnTokens(budget),
    withheldTokens: total(leases.filter(({ withheld }) => withheld).map((lease) => lease.outstandingTokens)),
    unattributedTokens: budget.committedTokens - spentTokens - outstandingTokens,
    leases: leases.filter(({ lease, outstandingTokens }) => outstandingTokens !== 0n || lease.expiresAt > now)
  }
}

function summariseLease (lease: LeaseFields, transferredOutByIncarnation: ReadonlyMap<string, bigint>, now: bigint): LeaseSummary {
  const outstandingTokens = computeOutstandingTokens({ ...lease, transferredOutTokens: transferredOutByIncarnation.get(lease.incarnation) ?? 0n })
  const withheld = lease.expiresAt <= now && outstandingTokens > 0n
  return { lease, outstandingTokens, withheld, ageMilliseconds: now - lease.renewedAt }
}

function total (amounts: readonly bigint[]): bigint {
  return amounts.reduce((sum, amount) => sum + amount, 0n)
}
