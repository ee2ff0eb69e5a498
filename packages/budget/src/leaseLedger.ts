import { create } from '@bufbuild/protobuf'
import type { Row } from '@quinceshunt/table-store'
import { LeaseRecordSchema, type BillRecord, type TransferRecord } from '@quinceshunt/schemas'
import { computeOutstandingTokens, leaseCodec, type LeaseFields } from './budgetRecords.js'

/** A bill that has not been confirmed as written to the table. */
export interface UnsentCharge {
  readonly bill: BillRecord
  /** True for requests with an idempotency key: another instance may bill them too, so the bill gets its own row. */
  readonly keyed: boolean
  /** Lease sequence of the unanswered transaction that writes the bill; 0 if there is none. */
  readonly attemptedSequence: bigint
}

/** A lease row as last read or written. */
export interface LeaseSnapshot {
  readonly record: LeaseFields
  /** Row version; 0 if the row does not exist. */
  readonly version: bigint
}

/** Snapshot of a lease without a row. */
export function emptyLeaseSnapshot (incarnation: string): LeaseSnapshot {
  return { record: create(LeaseRecordSchema, { incarnation }), version: 0n }
}

export function decodeLeaseSnapshot (row: Row, incarnation: string): LeaseSnapshot {
  return row.version === 0n ? emptyLeaseSnapshot(incarnation) : { record: leaseCodec.decode(row), version: row.version }
}

/** Outcome of a transaction on the lease, to apply to its ledger. */
export interface LedgerUpdate {
  readonly snapshot: LeaseSnapshot
  /** Requests whose bills are in the table. */
  readonly finishedRequestIds?: ReadonlySet<string>
  /** Transfers that the table has recorded or rejected. */
  readonly finishedTransfers?: ReadonlySet<TransferRecord>
}

/** The holder's in-memory state of a lease: the last snapshot of its row plus changes that are not in the table yet. */
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

  get snapshot (): LeaseSnapshot { return this.#snapshot }
  /** Sum of the ceilings of active reservations. */
  get reservedTokens (): bigint { return this.#reservedTokens }
  /** Sum of the unsent charges. */
  get unsentTokens (): bigint { return this.#unsentTokens }
  /** Cumulative, including transfers that the row does not include yet. */
  get transferredOutTokens (): bigint { return this.#transferredOutTokens }
  get unsentCharges (): readonly UnsentCharge[] { return [...this.#unsentCharges.values()] }
  get unsentChargeCount (): number { return this.#unsentCharges.size }
  get unrecordedTransfers (): readonly TransferRecord[] { return [...this.#unrecordedTransfers] }
  get hasUnrecordedChanges (): boolean { return this.#unsentCharges.size > 0 || this.#unrecordedTransfers.size > 0 || this.#transferredOutTokens !== this.#snapshot.record.transferredOutTokens }

  /** Tokens held, including reserved and billed ones. */
  get heldTokens (): bigint { return this.#recordedTokens + [...this.#unrecordedTransfers].reduce((sum, transfer) => sum + transfer.tokens, 0n) }
  /** Tokens available to new reservations; negative if an operator resolved tokens that are in use. */
  get availableTokens (): bigint { return this.heldTokens - this.#reservedTokens - this.#unsentTokens }
  /**
   * Tokens that can be transferred to a peer. Received transfers that are not recorded yet are excluded: the table could
   * still reject them, and the peer would then spend tokens that this lease never held.
   */
  get transferableTokens (): bigint {
    const [recorded, available] = [this.#recordedTokens, this.availableTokens]
    return available < recorded ? available : recorded
  }

  get #recordedTokens (): bigint {
    return computeOutstandingTokens({ ...this.#snapshot.record, transferredOutTokens: this.#transferredOutTokens }) - this.#returningTokens
  }

  /** Reserves tokens; returns false if too few are available. */
  reserve (tokens: bigint): boolean {
    if (this.availableTokens < tokens) return false
    this.#reservedTokens += tokens
    return true
  }

  release (tokens: bigint): void {
    this.#reservedTokens -= tokens
  }

  /** Adds a bill unless the request already has one. */
  addCharge (charge: UnsentCharge): void {
    if (this.#unsentCharges.has(charge.bill.requestId)) return
    this.#unsentCharges.set(charge.bill.requestId, charge)
    this.#unsentTokens += charge.bill.chargedTokens
  }

  /** Sets the lease sequence of the unanswered transaction that writes the bills; 0 clears it. */
  markAttempted (requestIds: readonly string[], sequence: bigint): void {
    for (const requestId of requestIds) {
      const charge = this.#unsentCharges.get(requestId)
      if (charge !== undefined) this.#unsentCharges.set(requestId, { ...charge, attemptedSequence: sequence })
    }
  }

  /** Subtracts transferred tokens; called before the peer is answered. */
  transferOut (tokens: bigint): void {
    this.#transferredOutTokens += tokens
  }

  /** Adds a received transfer; the caller ensures that it is not a duplicate. */
  transferIn (transfer: TransferRecord): void {
    this.#unrecordedTransfers.add(transfer)
  }

  /** Subtracts tokens before the return transaction is sent, because an unanswered transaction may still take effect. */
  beginReturn (tokens: bigint): void {
    this.#returningTokens += tokens
  }

  /** Ends a return whose outcome is included in the snapshot. */
  endReturn (tokens: bigint): void {
    this.#returningTokens -= tokens
  }

  /** Applies the outcome of a transaction. */
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
