import { assertNever } from '@quinceshunt/effects'
import { readRows, type RowWrite, scanRows, type TableDecision, transact } from '@quinceshunt/table-store'
import { budgetKeys } from './budgetKeys.js'
import { budgetCodec, computeOutstandingTokens, expectAbsent, expectUnchanged, leaseCodec, putRow, transferCodec, type BudgetTotals, type LeaseFields } from './budgetRecords.js'

/** Operator decision on tokens withheld by an expired lease. */
export interface LeaseResolution {
  readonly budgetId: string
  /** Holder of the lease. */
  readonly incarnation: string
  /** `charge` counts the tokens as spent, `release` as unspent. */
  readonly resolution: 'charge' | 'release'
  /** Above 0. */
  readonly tokens: bigint
  /** Unix milliseconds. */
  readonly now: bigint
  /** Written in the same transaction under a unique key, so that a retry after a lost reply detects that the resolution took effect. */
  readonly audit: RowWrite
}

export type ResolveOutcome =
  | { readonly kind: 'resolved', readonly budget: BudgetTotals, readonly lease: LeaseFields }
  | { readonly kind: 'leaseNotFound' }
  /** The holder has renewed its lease and may still spend its tokens. */
  | { readonly kind: 'leaseNotExpired', readonly expiresAt: bigint }
  | { readonly kind: 'tooManyTokens', readonly outstandingTokens: bigint }

/**
 * Charges or releases withheld tokens. The lease sequence stays unchanged, because the holder recognises its own
 * transactions by it. The transfer fence is written first: otherwise a receiver could record a transfer of resolved tokens.
 */
export function * resolveLease (request: LeaseResolution): TableDecision<ResolveOutcome> {
  if (request.tokens <= 0n) throw new RangeError(`cannot resolve ${request.tokens} tokens; expected a number above 0`)
  const budgetKey = budgetKeys.budget(request.budgetId)
  const leaseKey = budgetKeys.lease(request.budgetId, request.incarnation)
  for (;;) {
    const [budgetRow, leaseRow, auditRow] = yield * readRows([budgetKey, leaseKey, request.audit.key])
    const [budget, lease] = [budgetCodec.decode(budgetRow!), leaseCodec.decode(leaseRow!)]
    if (auditRow!.version !== 0n) return { kind: 'resolved', budget, lease }
    if (leaseRow!.version === 0n) return { kind: 'leaseNotFound' }
    if (lease.expiresAt > request.now) return { kind: 'leaseNotExpired', expiresAt: lease.expiresAt }
    const transferredOutTokens = yield * fenceTransfers(request.budgetId, request.incarnation)
    const outstandingTokens = computeOutstandingTokens({ ...lease, transferredOutTokens })
    if (request.tokens > outstandingTokens) return { kind: 'tooManyTokens', outstandingTokens }
    const resolvedLease = { ...lease, transferredOutTokens, resolvedTokens: lease.resolvedTokens + request.tokens }
    const resolvedBudget = applyResolution(budget, request)
    const outcome = yield * transact(
      [expectUnchanged(budgetRow!), expectUnchanged(leaseRow!), expectAbsent(request.audit.key)],
      [putRow(budgetKey, budgetCodec.encode(resolvedBudget)), putRow(leaseKey, leaseCodec.encode(resolvedLease)), request.audit]
    )
    if (outcome.kind === 'applied') return { kind: 'resolved', budget: resolvedBudget, lease: resolvedLease }
  }
}

function applyResolution (budget: BudgetTotals, request: LeaseResolution): BudgetTotals {
  switch (request.resolution) {
    case 'charge': return { ...budget, settledByClosedLeasesTokens: budget.settledByClosedLeasesTokens + request.tokens }
    case 'release': return { ...budget, committedTokens: budget.committedTokens - request.tokens }
    default: return assertNever(request.resolution)
  }
}

/** Prevents further transfers from a giver from being recorded and returns the recorded total. */
function * fenceTransfers (budgetId: string, incarnation: string): TableDecision<bigint> {
  const fenceKey = budgetKeys.transferFence(budgetId, incarnation)
  yield * transact([expectAbsent(fenceKey)], [putRow(fenceKey, transferCodec.encode({ giverIncarnation: incarnation }))])
  return yield * sumRecordedTransfers(budgetId, incarnation)
}

/** Returns the total tokens that receivers have recorded as transferred from one giver. */
export function * sumRecordedTransfers (budgetId: string, giverIncarnation: string): TableDecision<bigint> {
  const rows = yield * scanRows(budgetKeys.giverTransfersPrefix(budgetId, giverIncarnation))
  return rows.reduce((total, row) => total + transferCodec.decode(row).tokens, 0n)
}
