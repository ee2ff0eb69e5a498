import { create, fromBinary, toBinary } from '@bufbuild/protobuf'
import type { Row } from '@quinceshunt/table-store'
import { OrderRecordSchema, type OrderRecord } from '@quinceshunt/schemas'

/** Kind of change that an operator can order. */
export type OrderKind = 'load_model' | 'load_adapter' | 'change_role'

export const ORDER_KINDS: readonly OrderKind[] = ['load_model', 'load_adapter', 'change_role']

/** Key prefix of all order rows. */
export const ORDER_PREFIX = 'order/'

export type OrderFields = Omit<OrderRecord, '$typeName' | '$unknown'>

/** A decoded order row. */
export interface OrderRow {
  readonly key: string
  readonly version: bigint
  readonly backendServer: string
  readonly kind: OrderKind
  readonly record: OrderFields
}

/** Row key of the order of a kind for an engine. */
export function orderKey (backendServer: string, kind: OrderKind): string {
  return `${ORDER_PREFIX}${backendServer}/${kind}`
}

/** Key of the row with an engine's fencing number. All kinds share it, since engines compare the numbers across kinds. */
export function fenceKey (backendServer: string): string {
  return `fence/${backendServer}`
}

export function encodeOrder (fields: OrderFields): Uint8Array {
  return toBinary(OrderRecordSchema, create(OrderRecordSchema, fields))
}

/** Decodes an order row; undefined for an unknown kind, which a newer version may have written. */
export function decodeOrder (row: Row): OrderRow | undefined {
  const [backendServer, kindName] = row.key.slice(ORDER_PREFIX.length).split('/')
  const kind = ORDER_KINDS.find((known) => known === kindName)
  if (backendServer === undefined || kind === undefined) return undefined
  return { key: row.key, version: row.version, backendServer, kind, record: fromBinary(OrderRecordSchema, row.value) }
}
