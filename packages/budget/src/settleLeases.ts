import { type Row, type RowCheck, type RowWrite, type TableDecision, transact } from '@quinceshunt/table-store'
import type { BillRecord, TransferRecord } from '@quinceshunt/schemas'
import { budgetKeys } from './budgetKeys.js'
import { billBatchCodec, billCodec, computeOutstandingTokens, expectAbsent, leaseCodec, putRow, transferCodec, type LeaseFields } from './budgetRecords.js'
import { decodeLeaseSnapshot, type LeaseSnapshot, type UnsentCharge } from './leaseLedger.js'

/** Lease to settle. */
export interface SettlementLease {
  readonly budgetId: string
  readonly snapshot: LeaseSnapshot
  readonly transferredOutTokens: bigint
  readonly charges: readonly UnsentCharge[]
  readonly transfers: readonly TransferRecord[]
  /** True if nothing more can be drawn: bills that exceed the lease are then charged only the remaining tokens. */
  readonly mayTruncate: boolean
}

/** Settlement of several leases of one instance. */
export interface SettlementInput {
  readonly incarnation: string
  /** Unused number for the row that holds the bills without an idempotency key. */
  readonly batchNumber: bigint
  readonly now: bigint
  readonly expiresAt: bigint
  readonly leases: readonly SettlementLease[]
}

/** Outcome of a settlement for one lease. */
export interface LeaseSettlement {
  readonly budgetId: string
  readonly snapshot: LeaseSnapshot
  /** Requests billed by this or another instance. */
  readonly finishedRequestIds: ReadonlySet<string>
  /** Transfers that are recorded, or rejected because the giver's lease was resolved. */
  readonly finishedTransfers: ReadonlySet<TransferRecord>
  /** Number of bills that another instance had already written. */
  readonly duplicateBills: number
  /** Billed tokens that exceeded the lease. */
  readonly uncoveredTokens: bigint
}

interface LeasePlan {
  readonly lease: SettlementLease
  readonly record: LeaseFields
  readonly bills: ReadonlyArray<{ readonly bill: BillRecord, readonly keyed: boolean }>
  readonly transfers: readonly TransferRecord[]
  readonly uncoveredTokens: bigint
}

/** Writes the bills, received transfers and renewals of all given leases in one transaction. */
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
    // The transaction is atomic, so one lease with the planned sequence means that an earlier attempt took effect.
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
  const transfers = lease.transfers.filter((transfer) => !isRecordedOrFenced(lease.budgetId, transfer, existingKeys))
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

function isRecordedOrFenced (budgetId: string, transfer: TransferRecord, existingKeys: ReadonlySet<string>): boolean {
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

/** Lease writes come first, in plan order, because the outcome reports row versions by position. */
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

/** Builds one row for each bill with an idempotency key and one batch row for the others, even if empty when `writeEmptyBatch` is set. */
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
