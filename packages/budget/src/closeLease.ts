import { readRows, type Row, type TableDecision, transact } from '@quinceshunt/table-store'
import type { TransferRecord } from '@quinceshunt/schemas'
import { budgetKeys } from './budgetKeys.js'
import { absent, budgetCodec, leaseCodec, outstandingOf, put, remove, transferCodec, unchanged } from './budgetRecords.js'
import { leaseBaseOf, type UnsentCharge } from './leaseLedger.js'
import { recordedTransfersFrom } from './resolveLease.js'
import { buildBills } from './settleLeases.js'

/** A lease to be closed by its holder or by the instance that adopted it. */
export interface LeaseClosing {
  readonly budgetId: string
  /** Incarnation of the holder that stops. */
  readonly incarnation: string
  /** Cumulative transfers to peers that the holder knows. */
  readonly transferredOutTokens: bigint
  readonly charges: readonly UnsentCharge[]
  /** Transfers received whose rows may not have been written. */
  readonly transfers: readonly TransferRecord[]
  /** Whether to leave the lease open while receivers have not recorded transfers from it. */
  readonly whenTransfersPending: 'wait' | 'withhold'
  /** Unix milliseconds. */
  readonly now: bigint
}

/** Outcome of a closing. */
export type ClosingOutcome =
  /** `withheldTokens` were given to peers that have not recorded them; they stay under the closed lease. */
  | { readonly kind: 'closed', readonly billed: number, readonly returnedTokens: bigint, readonly withheldTokens: bigint, readonly uncoveredTokens: bigint }
  /** By an earlier attempt, or by another instance; `withheldTokens` are still under the closed lease. */
  | { readonly kind: 'alreadyClosed', readonly withheldTokens: bigint }
  /** Nothing was written. */
  | { readonly kind: 'transfersPending', readonly tokens: bigint }

/**
 * Settles all unsent bills, returns the rest and deletes the lease row, once: the closing row must be absent. The budget
 * row is written even if nothing is returned, so that an unanswered draw of the holder can't take effect later.
 */
export function * closeLease (closing: LeaseClosing): TableDecision<ClosingOutcome> {
  const leaseKey = budgetKeys.lease(closing.budgetId, closing.incarnation)
  const closingKey = budgetKeys.closing(closing.incarnation, closing.budgetId)
  for (;;) {
    const rows = yield * readByKey([budgetKeys.budget(closing.budgetId), leaseKey, closingKey, ...relatedKeys(closing)])
    const [budgetRow, leaseRow] = [rows.get(budgetKeys.budget(closing.budgetId))!, rows.get(leaseKey)!]
    if (rows.get(closingKey)!.version !== 0n) return { kind: 'alreadyClosed', withheldTokens: outstandingOf(leaseCodec.decode(leaseRow)) }
    const recordedOutTokens = yield * recordedTransfersFrom(closing.budgetId, closing.incarnation)
    const { record, version } = leaseBaseOf(leaseRow, closing.incarnation)
    const isNew = (key: string): boolean => rows.get(key)!.version === 0n
    const transfers = closing.transfers.filter((transfer) => transferKeys(closing.budgetId, transfer).every(isNew))
    const charges = closing.charges.filter(({ bill, keyed, attemptedSequence }) =>
      (attemptedSequence === 0n || record.sequence < attemptedSequence) && !(keyed && !isNew(budgetKeys.bill(bill.requestId))))
    const transferredInTokens = record.transferredInTokens + transfers.reduce((sum, transfer) => sum + transfer.tokens, 0n)
    const outstandingTokens = outstandingOf({ ...record, transferredInTokens, transferredOutTokens: closing.transferredOutTokens })
    const { bills, chargedTokens, uncoveredTokens } = cover(charges, outstandingTokens)
    const restTokens = outstandingTokens > chargedTokens ? outstandingTokens - chargedTokens : 0n
    const withheldTokens = closing.transferredOutTokens > recordedOutTokens ? closing.transferredOutTokens - recordedOutTokens : 0n
    if (withheldTokens > 0n && closing.whenTransfersPending === 'wait') return { kind: 'transfersPending', tokens: withheldTokens }
    const budget = budgetCodec.decode(budgetRow)
    const lease = {
      ...record,
      sequence: record.sequence + 1n,
      settledTokens: record.settledTokens + chargedTokens,
      returnedTokens: record.returnedTokens + restTokens,
      transferredInTokens,
      transferredOutTokens: recordedOutTokens,
      expiresAt: closing.now
    }
    const settledByClosedLeasesTokens = budget.settledByClosedLeasesTokens + (withheldTokens === 0n ? lease.settledTokens : 0n)
    const updated = { ...budget, committedTokens: budget.committedTokens - restTokens, settledByClosedLeasesTokens }
    const billRows = buildBills(bills, closingKey, true)
    const transferKey = (transfer: TransferRecord): string => budgetKeys.transfer(closing.budgetId, transfer.giverIncarnation, transfer.number)
    const newKeys = new Set(transfers.flatMap((transfer) => transferKeys(closing.budgetId, transfer)))
    const outcome = yield * transact(
      [unchanged(budgetRow), { key: leaseKey, expectedVersion: version }, ...[...newKeys].map(absent), ...billRows.checks],
      [
        put(budgetRow.key, budgetCodec.encode(updated)),
        withheldTokens === 0n ? remove(leaseKey) : put(leaseKey, leaseCodec.encode(lease)),
        ...transfers.map((transfer) => put(transferKey(transfer), transferCodec.encode(transfer))),
        ...billRows.writes
      ]
    )
    if (outcome.kind === 'applied') return { kind: 'closed', billed: bills.length, returnedTokens: restTokens, withheldTokens, uncoveredTokens }
  }
}

function transferKeys (budgetId: string, transfer: TransferRecord): string[] {
  return [budgetKeys.transfer(budgetId, transfer.giverIncarnation, transfer.number), budgetKeys.transferFence(budgetId, transfer.giverIncarnation)]
}

function relatedKeys (closing: LeaseClosing): string[] {
  return [
    ...closing.transfers.flatMap((transfer) => transferKeys(closing.budgetId, transfer)),
    ...closing.charges.filter(({ keyed }) => keyed).map(({ bill }) => budgetKeys.bill(bill.requestId))
  ]
}

function * readByKey (keys: readonly string[]): TableDecision<ReadonlyMap<string, Row>> {
  const rows = yield * readRows([...new Set(keys)])
  return new Map(rows.map((row) => [row.key, row]))
}

/** Charges bills as far as the tokens reach; the rest of a bill beyond them is not covered. */
function cover (charges: readonly UnsentCharge[], tokens: bigint): { bills: UnsentCharge[], chargedTokens: bigint, uncoveredTokens: bigint } {
  let [chargedTokens, uncoveredTokens] = [0n, 0n]
  const bills = charges.map((charge) => {
    const left = tokens > chargedTokens ? tokens - chargedTokens : 0n
    const charged = charge.bill.chargedTokens > left ? left : charge.bill.chargedTokens
    chargedTokens += charged
    uncoveredTokens += charge.bill.chargedTokens - charged
    return { ...charge, bill: { ...charge.bill, chargedTokens: charged } }
  })
  return { bills, chargedTokens, uncoveredTokens }
}
