import { create } from '@bufbuild/protobuf'
import type { Row } from '@quinceshunt/table-store'
import { LeaseRecordSchema, type BillRecord, type TransferRecord } from '@quinceshunt/schemas'
import { leaseCodec, computeOutstandingTokens, type LeaseFields } from './budgetRecords.js'

/** A bill that is not known to be in the table. */
export interface UnsentCharge {
  readonly bill: BillRecord
  /** True when another instance may bill the same request; the bill then gets a row of its own. */
  readonly keyed: boolean
  /** Lease sequence of the unanswered transaction that writes it; 0 when there is none. */
  readonly attemptedSequence: bigint
}

/** A lease row as last seen. */
export interface LeaseSnapshot {
  readonly record: LeaseFields
  /** 0 when the row is absent. */
  readonly version: bigint
}

/** A lease row that has not been written. */
export function emptyLeaseSnapshot (incarnation: string): LeaseSnapshot {
  return { record: create(LeaseRecordSchema, { incarnation }), version: 0n }
}

/** A lease row from the table. */
export function decodeLeaseSnapshot (row: Row, incarnation: string): LeaseSnapshot {
  return row.version === 0n ? emptyLeaseSnapshot(incarnation) : { record: leaseCodec.decode(row), version: row.version }
}

/** What changed in a ledger by a transaction on its lease. */
export interface LedgerUpdate {
  readonly snapshot: LeaseSnapshot
  /** Requests whose bills need no further write. */
  readonly finishedRequestIds?: ReadonlySet<string>
  /** Transfers recorded, or refused by the table. */
  readonly finishedTransfers?: ReadonlySet<TransferRecord>
}

/** What the one holder of a lease knows: the row as last seen, and everything since that the table doesn't show yet. */
export class LeaseLedger {
  readonly budgetId: string
  readonly incarnation: string
  #snapshot: LeaseSnapshot
  #reservedTokens = 0n
  #returningTokens = 0n
  #transferredOutTokens = 0n
  #unsentTokens = 0n
  #unsentCharges = new Map<string, UnsentCharge>()
  #unrecordedTransfers = new Set<TransferRecord>()

  constructor (budgetId: string, incarnation: string) {
    this.budgetId = budgetId
    this.incarnation = incarnation
    this.#snapshot = emptyLeaseSnapshot(incarnation)
  }

  /** Row as last seen. */
  get snapshot (): LeaseSnapshot { return this.#snapshot }
  /** Ceilings of running requests. */
  get reservedTokens (): bigint { return this.#reservedTokens }
  /** Sum of the bills that are not known to be in the table. */
  get unsentTokens (): bigint { return this.#unsentTokens }
  /** Cumulative, including what the row does not show yet. */
  get transferredOutTokens (): bigint { return this.#transferredOutTokens }
  get unsentCharges (): readonly UnsentCharge[] { return [...this.#unsentCharges.values()] }
  get unsentChargeCount (): number { return this.#unsentCharges.size }
  get unrecordedTransfers (): readonly TransferRecord[] { return [...this.#unrecordedTransfers] }
  get hasUnrecordedChanges (): boolean { return this.#unsentCharges.size > 0 || this.#unrecordedTransfers.size > 0 || this.#transferredOutTokens !== this.#snapshot.record.transferredOutTokens }

  /** Tokens held, whether or not they are reserved or billed. */
  get heldTokens (): bigint { return this.#recordedTokens + [...this.#unrecordedTransfers].reduce((sum, transfer) => sum + transfer.tokens, 0n) }
  /** Tokens that new reservations may use; below 0 after an operator resolved tokens in use. */
  get availableTokens (): bigint { return this.heldTokens - this.#reservedTokens - this.#unsentTokens }
  /**
   * Tokens that may be given to a peer. Transfers received that the table doesn't show yet are left out: the table
   * could still refuse them, and the peer would then spend tokens that this lease never had.
   */
  get transferableTokens (): bigint {
    const [recorded, available] = [this.#recordedTokens, this.availableTokens]
    return available < recorded ? available : recorded
  }

  get #recordedTokens (): bigint {
    return computeOutstandingTokens({ ...this.#snapshot.record, transferredOutTokens: this.#transferredOutTokens }) - this.#returningTokens
  }

  /** Sets tokens aside; false when too few are available. */
  reserve (tokens: bigint): boolean {
    if (this.availableTokens < tokens) return false
    this.#reservedTokens += tokens
    return true
  }

  /** Ends a reservation. */
  release (tokens: bigint): void {
    this.#reservedTokens -= tokens
  }

  /** Adds a bill; a second bill for the same request is ignored. */
  addCharge (charge: UnsentCharge): void {
    if (this.#unsentCharges.has(charge.bill.requestId)) return
    this.#unsentCharges.set(charge.bill.requestId, charge)
    this.#unsentTokens += charge.bill.chargedTokens
  }

  /** Marks bills as part of an unanswered transaction with this sequence, or, with 0, of none. */
  markAttempted (requestIds: readonly string[], sequence: bigint): void {
    for (const requestId of requestIds) {
      const charge = this.#unsentCharges.get(requestId)
      if (charge !== undefined) this.#unsentCharges.set(requestId, { ...charge, attemptedSequence: sequence })
    }
  }

  /** Subtracts tokens before a transfer is answered. */
  transferOut (tokens: bigint): void {
    this.#transferredOutTokens += tokens
  }

  /** Adds a received transfer; the caller has checked that it is new. */
  transferIn (transfer: TransferRecord): void {
    this.#unrecordedTransfers.add(transfer)
  }

  /** Subtracts tokens before their return is sent, because an unanswered return may still take effect. */
  beginReturn (tokens: bigint): void {
    this.#returningTokens += tokens
  }

  /** Ends a return whose outcome the base shows. */
  endReturn (tokens: bigint): void {
    this.#returningTokens -= tokens
  }

  /** Takes over what a transaction showed. */
  apply (update: LedgerUpdate): void {
    this.#snapshot = update.snapshot
    if (update.snapshot.record.transferredOutTokens > this.#transferredOutTokens) this.#transferredOutTokens = update.snapshot.record.transferredOutTokens
    for (const requestId of update.finishedRequestIds ?? []) {
      this.#unsentTokens -= this.#unsentCharges.get(requestId)?.bill.chargedTokens ?? 0n
      this.#unsentCharges.delete(requestId)
    }
    for (const transfer of update.finishedTransfers ?? []) this.#unrecordedTransfers.delete(transfer)
  }
}
