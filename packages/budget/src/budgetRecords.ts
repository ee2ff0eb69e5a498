import { create, fromBinary, toBinary, type DescMessage, type MessageInitShape, type MessageShape } from '@bufbuild/protobuf'
import type { Row, RowCheck, RowWrite } from '@quinceshunt/table-store'
import { BillBatchRecordSchema, BillRecordSchema, BudgetRecordSchema, LeaseRecordSchema, TopUpRecordSchema, TransferRecordSchema, type BudgetRecord, type LeaseRecord } from '@quinceshunt/schemas'

/** Converts one kind of record to and from the value of a row. */
export interface RecordCodec<Schema extends DescMessage> {
  encode (record: MessageInitShape<Schema>): Uint8Array
  /** An absent row decodes to a record of zeros. */
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

/** Tokens that a lease row still holds, by its own figures. */
export function computeOutstandingTokens (lease: LeaseFields): bigint {
  return lease.grantedTokens + lease.transferredInTokens - lease.transferredOutTokens -
    lease.settledTokens - lease.returnedTokens - lease.resolvedTokens
}

/** Tokens that no lease holds. */
export function computeUndrawnTokens (budget: BudgetTotals): bigint {
  return budget.prepaidTokens - budget.committedTokens
}

/** Write that sets a row. */
export function putRow (key: string, value: Uint8Array): RowWrite {
  return { key, value, delete: false }
}

/** Write that deletes a row. */
export function deleteRow (key: string): RowWrite {
  return { key, value: new Uint8Array(), delete: true }
}

/** Check that a row has not been written yet. */
export function expectAbsent (key: string): RowCheck {
  return { key, expectedVersion: 0n }
}

/** Check that a row is as it was read. */
export function expectUnchanged (row: Pick<Row, 'key' | 'version'>): RowCheck {
  return { key: row.key, expectedVersion: row.version }
}
