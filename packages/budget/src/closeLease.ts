import { readRows, type Row, type TableDecision, transact } from '@quinceshunt/table-store'
import type { TransferRecord } from '@quinceshunt/schemas'
import { budgetKeys } from './budgetKeys.js'
import { budgetCodec, computeOutstandingTokens, deleteRow, expectAbsent, expectUnchanged, leaseCodec, putRow, transferCodec } from './budgetRecords.js'
import { decodeLeaseSnapshot, type UnsentCharge } from './leaseLedger.js'
import { sumRecordedTransfers } from './resolveLease.js'
import { buildBillRows } from './settleLeases.js'

/** A lease to close, by its holder or by the peer that adopted it. */
export interface CloseLeaseInput {
  readonly budgetId: string
  /** Incarnation of the stopping holder. */
  readonly incarnation: string
  /** Cumulative transfers to peers, as known to the holder. */
  readonly transferredOutTokens: bigint
  readonly charges: readonly UnsentCharge[]
  /** Received transfers whose rows may not exist yet. */
  readonly transfers: readonly TransferRecord[]
  /** Whether to keep the lease open (`wait`) or to close it (`withhold`) while receivers have not recorded transfers from it. */
  readonly whenTransfersPending: 'wait' | 'withhold'
  /** Unix milliseconds. */
  readonly now: bigint
}

export type CloseLeaseOutcome =
  /** `withheldTokens` were transferred to peers that have not recorded them; the lease row keeps them. */
  | { readonly kind: 'closed', readonly billed: number, readonly returnedTokens: bigint, readonly withheldTokens: bigint, readonly uncoveredTokens: bigint }
  /** Closed by an earlier attempt or another instance; the lease row still holds `withheldTokens`. */
  | { readonly kind: 'alreadyClosed', readonly withheldTokens: bigint }
  /** Nothing was written. */
  | { readonly kind: 'transfersPending', readonly tokens: bigint }

/**
 * Settles all unsent bills, returns the unused tokens and deletes the lease row. The check that the closing row is absent
 * makes this happen once. The budget row is always written, so that an unanswered draw of the holder conflicts and can't
 * take effect later.
 */
export function * closeLease (input: CloseLeaseInput): TableDecision<CloseLeaseOutcome> {
  const leaseKey = budgetKeys.lease(input.budgetId, input.incarnation)
  const closingKey = budgetKeys.closing(input.incarnation, input.budgetId)
  for (;;) {
    const rows = yield * readRowsByKey([budgetKeys.budget(input.budgetId), leaseKey, closingKey, ...transferAndBillKeys(input)])
    const [budgetRow, leaseRow] = [rows.get(budgetKeys.budget(input.budgetId))!, rows.get(leaseKey)!]
    if (rows.get(closingKey)!.version !== 0n) return { kind: 'alreadyClosed', withheldTokens: computeOutstandingTokens(leaseCodec.decode(leaseRow)) }
    const recordedOutTokens = yield * sumRecordedTransfers(input.budgetId, input.incarnation)
    const { record, version } = decodeLeaseSnapshot(leaseRow, input.incarnation)
    const isNew = (key: string): boolean => rows.get(key)!.version === 0n
    const transfers = input.transfers.filter((transfer) => transferKeys(input.budgetId, transfer).every(isNew))
    const charges = input.charges.filter(({ bill, keyed, attemptedSequence }) =>
      (attemptedSequence === 0n || record.sequence < attemptedSequence) && !(keyed && !isNew(budgetKeys.bill(bill.requestId))))
    const transferredInTokens = record.transferredInTokens + transfers.reduce((sum, transfer) => sum + transfer.tokens, 0n)
    const outstandingTokens = computeOutstandingTokens({ ...record, transferredInTokens, transferredOutTokens: input.transferredOutTokens })
    const { bills, chargedTokens, uncoveredTokens } = coverCharges(charges, outstandingTokens)
    const unusedTokens = outstandingTokens > chargedTokens ? outstandingTokens - chargedTokens : 0n
    const withheldTokens = input.transferredOutTokens > recordedOutTokens ? input.transferredOutTokens - recordedOutTokens : 0n
    if (withheldTokens > 0n && input.whenTransfersPending === 'wait') return { kind: 'transfersPending', tokens: withheldTokens }
    const budget = budgetCodec.decode(budgetRow)
    const lease = {
      ...record,
      sequence: record.sequence + 1n,
      settledTokens: record.settledTokens + chargedTokens,
      returnedTokens: record.returnedTokens + unusedTokens,
      transferredInTokens,
      transferredOutTokens: recordedOutTokens,
      expiresAt: input.now
    }
    const settledByClosedLeasesTokens = budget.settledByClosedLeasesTokens + (withheldTokens === 0n ? lease.settledTokens : 0n)
    const updatedBudget = { ...budget, committedTokens: budget.committedTokens - unusedTokens, settledByClosedLeasesTokens }
    const billRows = buildBillRows(bills, closingKey, true)
    const transferKey = (transfer: TransferRecord): string => budgetKeys.transfer(input.budgetId, transfer.giverIncarnation, transfer.number)
    const newKeys = new Set(transfers.flatMap((transfer) => transferKeys(input.budgetId, transfer)))
    const outcome = yield * transact(
      [expectUnchanged(budgetRow), { key: leaseKey, expectedVersion: version }, ...[...newKeys].map(expectAbsent), ...billRows.checks],
      [
        putRow(budgetRow.key, budgetCodec.encode(updatedBudget)),
        withheldTokens === 0n ? deleteRow(leaseKey) : putRow(leaseKey, leaseCodec.encode(lease)),
        ...transfers.map((transfer) => putRow(transferKey(transfer), transferCodec.encode(transfer))),
        ...billRows.writes
      ]
    )
    if (outcome.kind === 'applied') return { kind: 'closed', billed: bills.length, returnedTokens: unusedTokens, withheldTokens, uncoveredTokens }
  }
}

function transferKeys (budgetId: string, transfer: TransferRecord): string[] {
  return [budgetKeys.transfer(budgetId, transfer.giverIncarnation, transfer.number), budgetKeys.transferFence(budgetId, transfer.giverIncarnation)]
}

function transferAndBillKeys (input: CloseLeaseInput): string[] {
  return [
    ...input.transfers.flatMap((transfer) => transferKeys(input.budgetId, transfer)),
    ...input.charges.filter(({ keyed }) => keyed).map(({ bill }) => budgetKeys.bill(bill.requestId))
  ]
}

function * readRowsByKey (keys: readonly string[]): TableDecision<ReadonlyMap<string, Row>> {
  const rows = yield * readRows([...new Set(keys)])
  return new Map(rows.map((row) => [row.key, row]))
}

/** Charges bills in order until the tokens are used up; the amount beyond them is counted as uncovered. */
function coverCharges (charges: readonly UnsentCharge[], tokens: bigint): { bills: UnsentCharge[], chargedTokens: bigint, uncoveredTokens: bigint } {
  let [chargedTokens, uncoveredTokens] = [0n, 0n]
  const bills = charges.map((charge) => {
    const remainingTokens = tokens > chargedTokens ? tokens - chargedTokens : 0n
    const charged = charge.bill.chargedTokens > remainingTokens ? remainingTokens : charge.bill.chargedTokens
    chargedTokens += charged
    uncoveredTokens += charge.bill.chargedTokens - charged
    return { ...charge, bill: { ...charge.bill, chargedTokens: charged } }
  })
  return { bills, chargedTokens, uncoveredTokens }
}
