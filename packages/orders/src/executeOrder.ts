import { perform, type Command, type Decision } from '@quinceshunt/effects'
import { readRows, type TableCommand, transact } from '@quinceshunt/table-store'
import { fromBinary, create } from '@bufbuild/protobuf'
import { OrderRecordSchema, OrderState } from '@quinceshunt/schemas'
import { encodeOrder, fenceKey, type OrderFields, type OrderKind, type OrderRow } from './orderRecords.js'

/** An order as sent to an engine. */
export interface EngineOrder {
  readonly kind: OrderKind
  readonly name: string
  readonly fencingNumber: number
}

/** Result of sending an order to an engine. */
export type OrderAnswer =
  | { readonly kind: 'executed' }
  /** The engine has already executed an order with a higher fencing number. */
  | { readonly kind: 'fenced' }
  /** The engine rejected the order. */
  | { readonly kind: 'refused', readonly problem: string }
  /** No response: the order may have been executed, or may still be. */
  | { readonly kind: 'unanswered' }

export interface SendOrder extends Command<'sendOrder', OrderAnswer> { readonly kind: 'sendOrder', readonly backendServer: string, readonly order: EngineOrder }
/** Returns the engine's current model, adapter or role; undefined if it does not respond. */
export interface ReadEngine extends Command<'readEngine', string | undefined> { readonly kind: 'readEngine', readonly backendServer: string, readonly orderKind: OrderKind }
/** Returns the current time in Unix milliseconds. */
export interface ReadTime extends Command<'readTime', number> { readonly kind: 'readTime' }

/** Side effects requested while an order is executed. */
export type OrderCommand = TableCommand | SendOrder | ReadEngine | ReadTime

/** Result of processing one order row. */
export type RoundOutcome =
  | 'settled'
  | 'heldByAnother'
  | 'done'
  | 'refused'
  | 'superseded'
  | 'unanswered'

/** Instance that executes orders, and the duration of its lease on an order. */
export interface OrderHolder {
  readonly incarnation: string
  readonly leaseMilliseconds: number
}

/** Processes one order row: acquires its lease if no other instance holds it, sends the order, verifies the engine's state and marks the order as done. */
export function * executeOrder (holder: OrderHolder, row: OrderRow): Decision<OrderCommand, RoundOutcome> {
  const needed = yield * needsExecution(row)
  if (!needed) return 'settled'
  const now = yield * perform<ReadTime>({ kind: 'readTime' })
  const heldByOther = row.record.holderIncarnation !== '' && row.record.holderIncarnation !== holder.incarnation
  if (heldByOther && now < Number(row.record.expiresAt)) return 'heldByAnother'
  const fence = (yield * readRows([fenceKey(row.backendServer)]))[0]!
  const fencingNumber = (fence.version === 0n ? 0n : fromBinary(OrderRecordSchema, fence.value).fencingNumber) + 1n
  const acquired: OrderFields = {
    ...row.record,
    state: OrderState.WANTED,
    fencingNumber,
    holderIncarnation: holder.incarnation,
    expiresAt: BigInt(now + holder.leaseMilliseconds)
  }
  const acquisition = yield * transact(
    [{ key: row.key, expectedVersion: row.version }, { key: fence.key, expectedVersion: fence.version }],
    [{ key: row.key, value: encodeOrder(acquired), delete: false }, { key: fence.key, value: encodeOrder(create(OrderRecordSchema, { fencingNumber })), delete: false }]
  )
  const version = acquisition.kind === 'applied' ? acquisition.versions[0] : undefined
  if (version === undefined) return 'superseded'
  const answer = yield * perform<SendOrder>({
    kind: 'sendOrder',
    backendServer: row.backendServer,
    order: { kind: row.kind, name: acquired.name, fencingNumber: Number(acquired.fencingNumber) }
  })
  switch (answer.kind) {
    case 'unanswered': return 'unanswered'
    case 'fenced': return 'superseded'
    case 'refused': return yield * recordResult(row, version, { ...acquired, state: OrderState.REFUSED, problem: answer.problem }, 'refused')
    case 'executed': {
      const engineValue = yield * readEngine(row)
      // An engine that does not check fencing numbers may have executed an older order after this one.
      if (engineValue !== acquired.name) return 'unanswered'
      return yield * recordResult(row, version, { ...acquired, state: OrderState.DONE, problem: '' }, 'done')
    }
  }
}

/** A done order is executed again if the engine's state differs, because it restarted or executed a delayed order. */
function * needsExecution (row: OrderRow): Decision<OrderCommand, boolean> {
  switch (row.record.state) {
    case OrderState.WANTED: return true
    case OrderState.DONE: {
      const engineValue = yield * readEngine(row)
      return engineValue !== undefined && engineValue !== row.record.name
    }
    case OrderState.REFUSED:
    case OrderState.UNSPECIFIED: return false
  }
}

function * readEngine (row: OrderRow): Decision<OrderCommand, string | undefined> {
  return yield * perform<ReadEngine>({ kind: 'readEngine', backendServer: row.backendServer, orderKind: row.kind })
}

function * recordResult (row: OrderRow, version: bigint, record: OrderFields, outcome: 'done' | 'refused'): Decision<OrderCommand, RoundOutcome> {
  const written = yield * writeOrder(row, version, { ...record, holderIncarnation: '', expiresAt: 0n })
  return written === undefined ? 'superseded' : outcome
}

/** Returns the new version, or undefined if the row has changed. A lost reply counts as a change; the next round reads the current row. */
function * writeOrder (row: OrderRow, expectedVersion: bigint, record: OrderFields): Decision<OrderCommand, bigint | undefined> {
  const outcome = yield * transact([{ key: row.key, expectedVersion }], [{ key: row.key, value: encodeOrder(record), delete: false }])
  return outcome.kind === 'applied' ? outcome.versions[0] : undefined
}
