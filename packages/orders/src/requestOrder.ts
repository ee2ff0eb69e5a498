import { create, fromBinary } from '@bufbuild/protobuf'
import { OrderRecordSchema, OrderState } from '@quinceshunt/schemas'
import { readRows, type RowWrite, type TableDecision, transact } from '@quinceshunt/table-store'
import { encodeOrder, orderKey, type OrderFields, type OrderKind } from './orderRecords.js'

export interface OrderRequest {
  readonly backendServer: string
  readonly kind: OrderKind
  /** Name of the model, adapter or role. */
  readonly name: string
  readonly operator: string
  /** Unix milliseconds. */
  readonly now: number
  /** Written in the same transaction, for example the audit row. */
  readonly additionalWrites?: readonly RowWrite[]
}

/** Sets the desired model, adapter or role of an engine. An instance that executes the previous order can no longer mark it as done. */
export function * requestOrder (request: OrderRequest): TableDecision<OrderFields> {
  const key = orderKey(request.backendServer, request.kind)
  for (;;) {
    const row = (yield * readRows([key]))[0]!
    const previous = row.version === 0n ? create(OrderRecordSchema) : fromBinary(OrderRecordSchema, row.value)
    const record: OrderFields = {
      fencingNumber: previous.fencingNumber,
      holderIncarnation: '',
      expiresAt: 0n,
      name: request.name,
      state: OrderState.WANTED,
      operator: request.operator,
      requestedAt: BigInt(request.now),
      problem: ''
    }
    const outcome = yield * transact([{ key, expectedVersion: row.version }], [{ key, value: encodeOrder(record), delete: false }, ...request.additionalWrites ?? []])
    if (outcome.kind === 'applied') return record
  }
}
