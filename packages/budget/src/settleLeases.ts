import { type Row, type RowCheck, type RowWrite, type TableDecision, transact } from '@quinceshunt/table-store'
import type { BillRecord, TransferRecord } from '@quinceshunt/schemas'
import { budgetKeys } from './budgetKeys.js'
import { absent, billBatchCodec, billCodec, leaseCodec, outstandingOf, put, transferCodec, type LeaseFields } from './budgetRecords.js'
import { leaseBaseOf, type LeaseBase, type UnsentCharge } from './leaseLedger.js'

/** One lease of a settlement. */
export interface SettlementLease {
  readonly budgetId: string
  readonly base: LeaseBase
  readonly transferredOutTokens: bigint
  readonly charges: readonly UnsentCharge[]
  readonly transfers: readonly TransferRecord[]
  /** True when nothing more can be drawn: bills beyond the lease's tokens are then charged at what is left. */
  readonly mayTruncate: boolean
}

/** A settlement of all leases of one instance. */
export interface SettlementInput {
  readonly incarnation: string
  /** Number of the row for bills without a key; not used before. */
  readonly batchNumber: bigint
  readonly now: bigint
  readonly expiresAt: bigint
  readonly leases: readonly SettlementLease[]
}

/** Outcome of a settlement for one lease. */
export interface LeaseSettlement {
  readonly budgetId: string
  readonly base: LeaseBase
  /** Requests that are billed, here or by another instance. */
  readonly finishedRequestIds: ReadonlySet<string>
  /** Transfers that are recorded, or that the table refuses because the giver's lease was resolved. */
  readonly finishedTransfers: ReadonlySet<TransferRecord>
  /** Bills already written by another instance. */
  readonly duplicateBills: number
  /** Tokens of bills that the lease did not cover. */
  readonly uncoveredTokens: bigint
}

interface LeasePlan {
  readonly lease: SettlementLease
  readonly record: LeaseFields
  readonly bills: ReadonlyArray<{ readonly bill: BillRecord, readonly keyed: boolean }>
  readonly transfers: readonly TransferRecord[]
  readonly uncoveredTokens: bigint
}

/** Writes bills, received transfers and renewals of all given leases in one transaction. */
export function * settleLeases (input: SettlementInput): TableDecision<readonly LeaseSettlement[]> {
  const bases = new Map(input.leases.map((lease) => [lease.budgetId, lease.base]))
  const present = new Set<string>()
  for (;;) {
    const planned = new Set<string>()
    const plans = input.leases.map((lease) => planLease({ ...lease, base: bases.get(lease.budgetId)! }, input, present, planned))
    const { checks, writes } = buildSettlement(input.incarnation, input.batchNumber, plans)
    const outcome = yield * transact(checks, writes)
    if (outcome.kind === 'applied') return plans.map((plan, index) => report(plan, { record: plan.record, version: outcome.versions[index]! }, present))
    const conflicts = new Map(outcome.rows.map((row) => [row.key, row]))
    const found = plans.map((plan) => leaseOf(conflicts.get(leaseKeyOf(input.incarnation, plan)), input.incarnation))
    // The transaction changes all its leases together, so one raised sequence shows that an earlier attempt took effect.
    if (plans.some((plan, index) => found[index]?.record.sequence === plan.record.sequence)) {
      return plans.map((plan, index) => report(plan, found[index] ?? { record: plan.record, version: plan.lease.base.version }, present))
    }
    plans.forEach((plan, index) => { if (found[index] !== undefined) bases.set(plan.lease.budgetId, found[index]) })
    for (const key of conflicts.keys()) present.add(key)
  }
}

function leaseKeyOf (incarnation: string, plan: LeasePlan): string {
  return budgetKeys.lease(plan.lease.budgetId, incarnation)
}

function leaseOf (row: Row | undefined, incarnation: string): LeaseBase | undefined {
  return row === undefined ? undefined : leaseBaseOf(row, incarnation)
}

function planLease (lease: SettlementLease, input: SettlementInput, present: ReadonlySet<string>, planned: Set<string>): LeasePlan {
  const transfers = lease.transfers.filter((transfer) => !isRefused(lease.budgetId, transfer, present))
  const { record } = lease.base
  const transferredInTokens = record.transferredInTokens + transfers.reduce((sum, transfer) => sum + transfer.tokens, 0n)
  const opened = { ...record, transferredInTokens, transferredOutTokens: lease.transferredOutTokens }
  const covered = coverCharges(lease, outstandingOf(opened), present, planned)
  return {
    lease,
    bills: covered.bills,
    transfers,
    uncoveredTokens: covered.uncoveredTokens,
    record: { ...opened, sequence: record.sequence + 1n, settledTokens: record.settledTokens + covered.tokens, renewedAt: input.now, expiresAt: input.expiresAt }
  }
}

function isRefused (budgetId: string, transfer: TransferRecord, present: ReadonlySet<string>): boolean {
  return present.has(budgetKeys.transfer(budgetId, transfer.giverIncarnation, transfer.number)) ||
    present.has(budgetKeys.transferFence(budgetId, transfer.giverIncarnation))
}

function coverCharges (lease: SettlementLease, capacity: bigint, present: ReadonlySet<string>, planned: Set<string>): Pick<LeasePlan, 'bills' | 'uncoveredTokens'> & { readonly tokens: bigint } {
  const bills: Array<{ bill: BillRecord, keyed: boolean }> = []
  let [tokens, uncoveredTokens] = [0n, 0n]
  for (const { bill, keyed } of lease.charges) {
    const key = budgetKeys.bill(bill.requestId)
    if (keyed && (present.has(key) || planned.has(key))) continue
    const left = capacity > tokens ? capacity - tokens : 0n
    if (bill.chargedTokens > left && !lease.mayTruncate) continue
    const chargedTokens = bill.chargedTokens > left ? left : bill.chargedTokens
    uncoveredTokens += bill.chargedTokens - chargedTokens
    tokens += chargedTokens
    planned.add(key)
    bills.push({ bill: { ...bill, chargedTokens }, keyed })
  }
  return { bills, tokens, uncoveredTokens }
}

/** Lease writes come first, in the order of the plans. */
function buildSettlement (incarnation: string, batchNumber: bigint, plans: readonly LeasePlan[]): { checks: RowCheck[], writes: RowWrite[] } {
  const checks: RowCheck[] = plans.map((plan) => ({ key: leaseKeyOf(incarnation, plan), expectedVersion: plan.lease.base.version }))
  const writes: RowWrite[] = plans.map((plan) => put(leaseKeyOf(incarnation, plan), leaseCodec.encode(plan.record)))
  const fences = new Set<string>()
  for (const plan of plans) {
    for (const transfer of plan.transfers) {
      const key = budgetKeys.transfer(plan.lease.budgetId, transfer.giverIncarnation, transfer.number)
      checks.push(absent(key))
      writes.push(put(key, transferCodec.encode(transfer)))
      fences.add(budgetKeys.transferFence(plan.lease.budgetId, transfer.giverIncarnation))
    }
  }
  for (const fence of fences) checks.push(absent(fence))
  const bills = plans.flatMap((plan) => plan.bills)
  const { checks: billChecks, writes: billWrites } = buildBills(bills, budgetKeys.billBatch(incarnation, batchNumber), false)
  return { checks: [...checks, ...billChecks], writes: [...writes, ...billWrites] }
}

/** Rows of bills: one each for keyed requests, one batch for the others, which is also written empty when `always` is set. */
export function buildBills (bills: ReadonlyArray<{ readonly bill: BillRecord, readonly keyed: boolean }>, batchKey: string, always: boolean): { checks: RowCheck[], writes: RowWrite[] } {
  const writes = bills.filter(({ keyed }) => keyed).map(({ bill }) => put(budgetKeys.bill(bill.requestId), billCodec.encode(bill)))
  const batch = bills.filter(({ keyed }) => !keyed).map(({ bill }) => bill)
  if (batch.length > 0 || always) writes.push(put(batchKey, billBatchCodec.encode({ bills: batch })))
  return { checks: writes.map((write) => absent(write.key)), writes }
}

function report (plan: LeasePlan, base: LeaseBase, present: ReadonlySet<string>): LeaseSettlement {
  const written = new Set(plan.bills.map(({ bill }) => bill.requestId))
  const duplicates = plan.lease.charges.filter(({ bill, keyed }) => keyed && !written.has(bill.requestId) && present.has(budgetKeys.bill(bill.requestId)))
  return {
    budgetId: plan.lease.budgetId,
    base,
    finishedRequestIds: new Set([...written, ...duplicates.map(({ bill }) => bill.requestId)]),
    finishedTransfers: new Set(plan.lease.transfers),
    duplicateBills: duplicates.length,
    uncoveredTokens: plan.uncoveredTokens
  }
}
