import { perform, type Command, type Decision } from '@quinceshunt/effects'
import type { Row, RowCheck, RowWrite, TransactOutcome } from '@quinceshunt/table-store'

/** The call had no effect. */
export interface StoreUnavailable { readonly kind: 'unavailable' }

/** Answer to a read of rows, in the order of the keys. */
export type ReadReply = { readonly kind: 'rows', readonly rows: readonly Row[] } | StoreUnavailable
/** Answer to a transaction; `outcomeUnknown` may have taken effect, or may still do so later. */
export type TransactReply = TransactOutcome | { readonly kind: 'outcomeUnknown' } | StoreUnavailable
/** Answer to a read of an object. */
export type ObjectReply = { readonly kind: 'found', readonly content: Uint8Array } | { readonly kind: 'absent' } | StoreUnavailable
/** Answer to a write of an object. */
export type PutReply = { readonly kind: 'stored' } | StoreUnavailable

export interface ReadRows extends Command<'readRows', ReadReply> { readonly keys: readonly string[] }
export interface TransactRows extends Command<'transactRows', TransactReply> {
  readonly checks: readonly RowCheck[]
  readonly writes: readonly RowWrite[]
}
export interface GetObject extends Command<'getObject', ObjectReply> { readonly name: string }
export interface PutObject extends Command<'putObject', PutReply> { readonly name: string, readonly content: Uint8Array }
/** Answered with Unix milliseconds. */
export interface ReadTime extends Command<'readTime', number> {}
/** Answered at this Unix time in milliseconds. */
export interface WaitUntil extends Command<'waitUntil'> { readonly at: number }

/** Everything that decisions of this package ask of the outside. Runners answer failures as values and never throw them. */
export type StoreCommand = ReadRows | TransactRows | GetObject | PutObject | ReadTime | WaitUntil

/** Reads rows. */
export const readRows = (keys: readonly string[]): Decision<StoreCommand, ReadReply> => perform<ReadRows>({ kind: 'readRows', keys })
/** Applies one transaction. */
export const transactRows = (checks: readonly RowCheck[], writes: readonly RowWrite[]): Decision<StoreCommand, TransactReply> => perform<TransactRows>({ kind: 'transactRows', checks, writes })
/** Reads an object. */
export const getObject = (name: string): Decision<StoreCommand, ObjectReply> => perform<GetObject>({ kind: 'getObject', name })
/** Stores an object; repeating it is harmless. */
export const putObject = (name: string, content: Uint8Array): Decision<StoreCommand, PutReply> => perform<PutObject>({ kind: 'putObject', name, content })
/** Reads the clock. */
export const readTime = (): Decision<StoreCommand, number> => perform<ReadTime>({ kind: 'readTime' })

/** Waits for a span, but not past a deadline (Unix milliseconds). */
export function * pause (milliseconds: number, deadline = Infinity): Decision<StoreCommand, void> {
  const now = yield * readTime()
  yield * perform<WaitUntil>({ kind: 'waitUntil', at: Math.min(deadline, now + milliseconds) })
}

/** Doubles a wait up to a limit, so that a recovering store is not flooded. */
export function longerWait (milliseconds: number, limit: number): number {
  return Math.min(limit, milliseconds * 2)
}
