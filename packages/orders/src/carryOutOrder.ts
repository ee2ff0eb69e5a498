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

/** An engine's answer to an order. */
export type OrderAnswer =
  | { readonly kind: 'executed' }
  /** A higher fencing number has been executed. */
  | { readonly kind: 'fenced' }
  /** The engine will not do this. */
  | { readonly kind: 'refused', readonly problem: string }
  /** No answer: it may have been executed, or may be later. */
  | { readonly kind: 'unanswered' }

export interface SendOrder extends Command<'sendOrder', OrderAnswer> { readonly kind: 'sendOrder', readonly backendServer: string, readonly order: EngineOrder }
/** Answered with what the engine has of this kind; undefined when it does not answer. */
export interface ReadEngine extends Command<'readEngine', string | undefined> { readonly kind: 'readEngine', readonly backendServer: string, readonly orderKind: OrderKind }
/** Answered with Unix milliseconds. */
export interface ReadTime extends Command<'readTime', number> { readonly kind: 'readTime' }

/** What carrying out an order asks of the outside. */
export type OrderCommand = TableCommand | SendOrder | ReadEngine | ReadTime

/** How a round over one order row ended. */
export type RoundOutcome =
  | 'settled'
  | 'heldByAnother'
  | 'done'
  | 'refused'
  | 'superseded'
  | 'unanswered'

/** Who carries out orders, and for how long it may hold one. */
export interface OrderHolder {
  readonly incarnation: string
  readonly leaseMilliseconds: number
}

/** One round over one order row: takes it over if it is free, sends it, reads back, and marks it done. */
export function * carryOutOrder (holder: OrderHolder, row: OrderRow): Decision<OrderCommand, RoundOutcome> {
  const wanted = yield * needsWork(row)
  if (!wanted) return 'settled'
  const now = yield * perform<ReadTime>({ kind: 'readTime' })
  const held = row.record.holderIncarnation !== '' && row.record.holderIncarnation !== holder.incarnation
  if (held && now < Number(row.record.expiresAt)) return 'heldByAnother'
  const fence = (yield * readRows([fenceKey(row.backendServer)]))[0]!
  const fencingNumber = (fence.version === 0n ? 0n : fromBinary(OrderRecordSchema, fence.value).fencingNumber) + 1n
  const taken: OrderFields = {
    ...row.record,
    state: OrderState.WANTED,
    fencingNumber,
    holderIncarnation: holder.incarnation,
    expiresAt: BigInt(now + holder.leaseMilliseconds)
  }
  const takeover = yield * transact(
    [{ key: row.key, expectedVersion: row.version }, { key: fence.key, expectedVersion: fence.version }],
    [{ key: row.key, value: encodeOrder(taken), delete: false }, { key: fence.key, value: encodeOrder(create(OrderRecordSchema, { fencingNumber })), delete: false }]
  )
  const version = takeover.kind === 'applied' ? takeover.versions[0] : undefined
  if (version === undefined) return 'superseded'
  const answer = yield * perform<SendOrder>({
    kind: 'sendOrder',
    backendServer: row.backendServer,
    order: { kind: row.kind, name: taken.name, fencingNumber: Number(taken.fencingNumber) }
  })
  switch (answer.kind) {
    case 'unanswered': return 'unanswered'
    case 'fenced': return 'superseded'
    case 'refused': return yield * finish(row, version, { ...taken, state: OrderState.REFUSED, problem: answer.problem }, 'refused')
    case 'executed': {
      const found = yield * readEngine(row)
      // Without fencing in the engine, an older order may have come in after this one.
      if (found !== taken.name) return 'unanswered'
      return yield * finish(row, version, { ...taken, state: OrderState.DONE, problem: '' }, 'done')
    }
  }
}

/** Wanted orders need work, and done ones whose engine has something else: it restarted, or a late order came in. */
function * needsWork (row: OrderRow): Decision<OrderCommand, boolean> {
  switch (row.record.state) {
    case OrderState.WANTED: return true
    case OrderState.DONE: {
      const found = yield * readEngine(row)
      return found !== undefined && found !== row.record.name
    }
    case OrderState.REFUSED:
    case OrderState.UNSPECIFIED: return false
  }
}

function * readEngine (row: OrderRow): Decision<OrderCommand, string | undefined> {
  return yield * perform<ReadEngine>({ kind: 'readEngine', backendServer: row.backendServer, orderKind: row.kind })
}

function * finish (row: OrderRow, version: bigint, record: OrderFields, outcome: 'done' | 'refused'): Decision<OrderCommand, RoundOutcome> {
  const written = yield * write(row, version, { ...record, holderIncarnation: '', expiresAt: 0n })
  return written === undefined ? 'superseded' : outcome
}

/** Resolves with the new version, or undefined when the row has changed. A lost reply reads as a change; the next round sees the row as it is. */
function * write (row: OrderRow, expectedVersion: bigint, record: OrderFields): Decision<OrderCommand, bigint | undefined> {
  const outcome = yield * transact([{ key: row.key, expectedVersion }], [{ key: row.key, value: encodeOrder(record), delete: false }])
  return outcome.kind === 'applied' ? outcome.versions[0] : undefined
}
