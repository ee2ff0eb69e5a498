import { type Row, type RowCheck, type RowWrite, type TableDecision, transact } from '@quinceshunt/table-store'
import type { BillRecord, TransferRecord } from '@quinceshunt/schemas'
import { budgetKeys } from './budgetKeys.js'
import { expectAbsent, billBatchCodec, billCodec, leaseCodec, computeOutstandingTokens, putRow, transferCodec, type LeaseFields } from './budgetRecords.js'
import { decodeLeaseSnapshot, type LeaseSnapshot, type UnsentCharge } from './leaseLedger.js'

/** One lease of a settlement. */
export interface SettlementLease {
  readonly budgetId: string
  readonly snapshot: LeaseSnapshot
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
  readonly snapshot: LeaseSnapshot
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
  const snapshots = new Map(input.leases.map((lease) => [lease.budgetId, lease.snapshot]))
  const existingKeys = new Set<string>()
  for (;;) {
    const plannedBillKeys = new Set<string>()
    const plans = input.leases.map((lease) => planLease({ ...lease, snapshot: snapshots.get(lease.budgetId)! }, input, existingKeys, plannedBillKeys))
    const { checks, writes } = buildSettlement(input.incarnation, input.batchNumber, plans)
    const outcome = yield * transact(checks, writes)
    if (outcome.kind === 'applied') return plans.map((plan, index) => buildLeaseSettlement(plan, { record: plan.record, version: outcome.versions[index]! }, existingKeys))
    const conflictingRows = new Map(outcome.rows.map((row) => [row.key, row]))
    const currentSnapshots = plans.map((plan) => decodeConflictingLease(conflictingRows.get(leaseKey(input.incarnation, plan)), input.incarnation))
    // The transaction changes all its leases together, so one raised sequence shows that an earlier attempt took effect.
    if (plans.some((plan, index) => currentSnapshots[index]?.record.sequence === plan.record.sequence)) {
      return plans.map((plan, index) => buildLeaseSettlement(plan, currentSnapshots[index] ?? { record: plan.record, version: plan.lease.snapshot.version }, existingKeys))
    }
    plans.forEach((plan, index) => { if (currentSnapshots[index] !== undefined) snapshots.set(plan.lease.budgetId, currentSnapshots[index]) })
    for (const key of conflictingRows.keys()) existingKeys.add(key)
  }
}

function leaseKey (incarnation: string, plan: LeasePlan): string {
  return budgetKeys.lease(plan.lease.budgetId, incarnation)
}

function decodeConflictingLease (row: Row | undefined, incarnation: string): LeaseSnapshot | undefined {
  return row === undefined ? undefined : decodeLeaseSnapshot(row, incarnation)
}

function planLease (lease: SettlementLease, input: SettlementInput, existingKeys: ReadonlySet<string>, plannedBillKeys: Set<string>): LeasePlan {
  const transfers = lease.transfers.filter((transfer) => !isRefused(lease.budgetId, transfer, existingKeys))
  const { record } = lease.snapshot
  const transferredInTokens = record.transferredInTokens + transfers.reduce((sum, transfer) => sum + transfer.tokens, 0n)
  const updatedRecord = { ...record, transferredInTokens, transferredOutTokens: lease.transferredOutTokens }
  const covered = coverCharges(lease, computeOutstandingTokens(updatedRecord), existingKeys, plannedBillKeys)
  return {
    lease,
    bills: covered.bills,
    transfers,
    uncoveredTokens: covered.uncoveredTokens,
    record: { ...updatedRecord, sequence: record.sequence + 1n, settledTokens: record.settledTokens + covered.tokens, renewedAt: input.now, expiresAt: input.expiresAt }
  }
}

function isRefused (budgetId: string, transfer: TransferRecord, existingKeys: ReadonlySet<string>): boolean {
  return existingKeys.has(budgetKeys.transfer(budgetId, transfer.giverIncarnation, transfer.number)) ||
    existingKeys.has(budgetKeys.transferFence(budgetId, transfer.giverIncarnation))
}

function coverCharges (lease: SettlementLease, capacityTokens: bigint, existingKeys: ReadonlySet<string>, plannedBillKeys: Set<string>): Pick<LeasePlan, 'bills' | 'uncoveredTokens'> & { readonly tokens: bigint } {
  const bills: Array<{ bill: BillRecord, keyed: boolean }> = []
  let [tokens, uncoveredTokens] = [0n, 0n]
  for (const { bill, keyed } of lease.charges) {
    const key = budgetKeys.bill(bill.requestId)
    if (keyed && (existingKeys.has(key) || plannedBillKeys.has(key))) continue
    const remainingTokens = capacityTokens > tokens ? capacityTokens - tokens : 0n
    if (bill.chargedTokens > remainingTokens && !lease.mayTruncate) continue
    const chargedTokens = bill.chargedTokens > remainingTokens ? remainingTokens : bill.chargedTokens
    uncoveredTokens += bill.chargedTokens - chargedTokens
    tokens += chargedTokens
    plannedBillKeys.add(key)
    bills.push({ bill: { ...bill, chargedTokens }, keyed })
  }
  return { bills, tokens, uncoveredTokens }
}

/** Lease writes come first, in the order of the plans. */
function buildSettlement (incarnation: string, batchNumber: bigint, plans: readonly LeasePlan[]): { checks: RowCheck[], writes: RowWrite[] } {
  const checks: RowCheck[] = plans.map((plan) => ({ key: leaseKey(incarnation, plan), expectedVersion: plan.lease.snapshot.version }))
  const writes: RowWrite[] = plans.map((plan) => putRow(leaseKey(incarnation, plan), leaseCodec.encode(plan.record)))
  const fences = new Set<string>()
  for (const plan of plans) {
    for (const transfer of plan.transfers) {
      const key = budgetKeys.transfer(plan.lease.budgetId, transfer.giverIncarnation, transfer.number)
      checks.push(expectAbsent(key))
      writes.push(putRow(key, transferCodec.encode(transfer)))
      fences.add(budgetKeys.transferFence(plan.lease.budgetId, transfer.giverIncarnation))
    }
  }
  for (const fence of fences) checks.push(expectAbsent(fence))
  const bills = plans.flatMap((plan) => plan.bills)
  const { checks: billChecks, writes: billWrites } = buildBillRows(bills, budgetKeys.billBatch(incarnation, batchNumber), false)
  return { checks: [...checks, ...billChecks], writes: [...writes, ...billWrites] }
}

/** Rows of bills: one each for keyed requests, one batch for the others, which is also written empty when `always` is set. */
export function buildBillRows (bills: ReadonlyArray<{ readonly bill: BillRecord, readonly keyed: boolean }>, batchKey: string, writeEmptyBatch: boolean): { checks: RowCheck[], writes: RowWrite[] } {
  const writes = bills.filter(({ keyed }) => keyed).map(({ bill }) => putRow(budgetKeys.bill(bill.requestId), billCodec.encode(bill)))
  const batch = bills.filter(({ keyed }) => !keyed).map(({ bill }) => bill)
  if (batch.length > 0 || writeEmptyBatch) writes.push(putRow(batchKey, billBatchCodec.encode({ bills: batch })))
  return { checks: writes.map((write) => expectAbsent(write.key)), writes }
}

function buildLeaseSettlement (plan: LeasePlan, snapshot: LeaseSnapshot, existingKeys: ReadonlySet<string>): LeaseSettlement {
  const written = new Set(plan.bills.map(({ bill }) => bill.requestId))
  const duplicates = plan.lease.charges.filter(({ bill, keyed }) => keyed && !written.has(bill.requestId) && existingKeys.has(budgetKeys.bill(bill.requestId)))
  return {
    budgetId: plan.lease.budgetId,
    snapshot,
    finishedRequestIds: new Set([...written, ...duplicates.map(({ bill }) => bill.requestId)]),
    finishedTransfers: new Set(plan.lease.transfers),
    duplicateBills: duplicates.length,
    uncoveredTokens: plan.uncoveredTokens
  }
}
