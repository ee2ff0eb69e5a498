import { create, fromBinary, toBinary } from '@bufbuild/protobuf'
import type { Row } from '@quinceshunt/table-store'
import { OrderRecordSchema, type OrderRecord } from '@quinceshunt/schemas'

/** What can be ordered. */
export type OrderKind = 'load_model' | 'load_adapter' | 'change_role'

export const ORDER_KINDS: readonly OrderKind[] = ['load_model', 'load_adapter', 'change_role']

/** Prefix of all order rows. */
export const ORDER_PREFIX = 'order/'

/** Fields of an order row. */
export type OrderFields = Omit<OrderRecord, '$typeName' | '$unknown'>

/** An order row as read. */
export interface OrderRow {
  readonly key: string
  readonly version: bigint
  readonly backendServer: string
  readonly kind: OrderKind
  readonly record: OrderFields
}

/** Key of the order of one kind to one engine. */
export function orderKey (backendServer: string, kind: OrderKind): string {
  return `${ORDER_PREFIX}${backendServer}/${kind}`
}

/** Key of the row that counts an engine's fencing numbers: engines compare numbers over orders of all kinds. */
export function fenceKey (backendServer: string): string {
  return `fence/${backendServer}`
}

/** Row value of an order. */
export function encodeOrder (fields: OrderFields): Uint8Array {
  return toBinary(OrderRecordSchema, create(OrderRecordSchema, fields))
}

/** Reads an order row; undefined for a row of an unknown kind, which a newer version may have written. */
export function decodeOrder (row: Row): OrderRow | undefined {
  const [backendServer, kindName] = row.key.slice(ORDER_PREFIX.length).split('/')
  const kind = ORDER_KINDS.find((known) => known === kindName)
  if (backendServer === undefined || kind === undefined) return undefined
  return { key: row.key, version: row.version, backendServer, kind, record: fromBinary(OrderRecordSchema, row.value) }
}
