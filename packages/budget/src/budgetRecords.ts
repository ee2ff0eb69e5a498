import { create, fromBinary, toBinary, type DescMessage, type MessageInitShape, type MessageShape } from '@bufbuild/protobuf'
import type { Row, RowCheck, RowWrite } from '@quinceshunt/table-store'
import { BillBatchRecordSchema, BillRecordSchema, BudgetRecordSchema, LeaseRecordSchema, TopUpRecordSchema, TransferRecordSchema, type BudgetRecord, type LeaseRecord } from '@quinceshunt/schemas'

/** Encodes and decodes one record type as a row value. */
export interface RecordCodec<Schema extends DescMessage> {
  encode (record: MessageInitShape<Schema>): Uint8Array
  /** Decodes an absent row to a record with default values. */
  decode (row: Pick<Row, 'value'>): MessageShape<Schema>
}

function createCodec<Schema extends DescMessage> (schema: Schema): RecordCodec<Schema> {
  return {
    encode: (record) => toBinary(schema, create(schema, record)),
    decode: (row) => fromBinary(schema, row.value)
  }
}

export const budgetCodec = createCodec(BudgetRecordSchema)
export const topUpCodec = createCodec(TopUpRecordSchema)
export const leaseCodec = createCodec(LeaseRecordSchema)
export const transferCodec = createCodec(TransferRecordSchema)
export const billCodec = createCodec(BillRecordSchema)
export const billBatchCodec = createCodec(BillBatchRecordSchema)

/** Token fields of a budget row. */
export type BudgetTotals = Pick<BudgetRecord, 'prepaidTokens' | 'committedTokens' | 'settledByClosedLeasesTokens'>

/** Fields of a lease row. */
export type LeaseFields = Omit<LeaseRecord, '$typeName' | '$unknown'>

/** Returns the tokens that a lease still holds according to its row. */
export function computeOutstandingTokens (lease: LeaseFields): bigint {
  return lease.grantedTokens + lease.transferredInTokens - lease.transferredOutTokens -
    lease.settledTokens - lease.returnedTokens - lease.resolvedTokens
}

/** Returns the prepaid tokens that no lease holds. */
export function computeUndrawnTokens (budget: BudgetTotals): bigint {
  return budget.prepaidTokens - budget.committedTokens
}

export function putRow (key: string, value: Uint8Array): RowWrite {
  return { key, value, delete: false }
}

export function deleteRow (key: string): RowWrite {
  return { key, value: new Uint8Array(), delete: true }
}

/** Transaction check: the row does not exist. */
export function expectAbsent (key: string): RowCheck {
  return { key, expectedVersion: 0n }
}

/** Transaction check: the row still has the version that was read. */
export function expectUnchanged (row: Pick<Row, 'key' | 'version'>): RowCheck {
  return { key: row.key, expectedVersion: row.version }
}
