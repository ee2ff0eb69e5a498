import { create, fromBinary, toBinary, type DescMessage, type MessageInitShape, type MessageShape } from '@bufbuild/protobuf'
import type { Row, RowCheck, RowWrite } from '@quinceshunt/table-store'
import { BillBatchRecordSchema, BillRecordSchema, BudgetRecordSchema, LeaseRecordSchema, TopUpRecordSchema, TransferRecordSchema, type BudgetRecord, type LeaseRecord } from '@quinceshunt/schemas'

/** Converts one kind of record to and from the value of a row. */
export interface RecordCodec<Schema extends DescMessage> {
  encode (record: MessageInitShape<Schema>): Uint8Array
  /** An absent row decodes to a record of zeros. */
  decode (row: Pick<Row, 'value'>): MessageShape<Schema>
}

function codec<Schema extends DescMessage> (schema: Schema): RecordCodec<Schema> {
  return {
    encode: (record) => toBinary(schema, create(schema, record)),
    decode: (row) => fromBinary(schema, row.value)
  }
}

export const budgetCodec = codec(BudgetRecordSchema)
export const topUpCodec = codec(TopUpRecordSchema)
export const leaseCodec = codec(LeaseRecordSchema)
export const transferCodec = codec(TransferRecordSchema)
export const billCodec = codec(BillRecordSchema)
export const billBatchCodec = codec(BillBatchRecordSchema)

/** Token fields of a budget row. */
export type BudgetTotals = Pick<BudgetRecord, 'prepaidTokens' | 'committedTokens' | 'settledByClosedLeasesTokens'>

/** Fields of a lease row. */
export type LeaseFields = Omit<LeaseRecord, '$typeName' | '$unknown'>

/** Tokens that a lease row still holds, by its own figures. */
export function outstandingOf (lease: LeaseFields): bigint {
  return lease.grantedTokens + lease.transferredInTokens - lease.transferredOutTokens -
    lease.settledTokens - lease.returnedTokens - lease.resolvedTokens
}

/** Tokens that no lease holds. */
export function undrawnOf (budget: BudgetTotals): bigint {
  return budget.prepaidTokens - budget.committedTokens
}

/** Write that sets a row. */
export function put (key: string, value: Uint8Array): RowWrite {
  return { key, value, delete: false }
}

/** Write that deletes a row. */
export function remove (key: string): RowWrite {
  return { key, value: new Uint8Array(), delete: true }
}

/** Check that a row has not been written yet. */
export function absent (key: string): RowCheck {
  return { key, expectedVersion: 0n }
}

/** Check that a row is as it was read. */
export function unchanged (row: Pick<Row, 'key' | 'version'>): RowCheck {
  return { key: row.key, expectedVersion: row.version }
}
