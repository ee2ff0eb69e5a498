import { perform, type Command, type Decision } from '@quinceshunt/effects'
import type { Row, RowCheck, RowWrite, TransactOutcome } from '@quinceshunt/table-store'

/** The call failed and had no effect. */
export interface StoreUnavailable { readonly kind: 'unavailable' }

/** Reply to a row read, in the order of the keys. */
export type ReadReply = { readonly kind: 'rows', readonly rows: readonly Row[] } | StoreUnavailable
/** Reply to a transaction; with `outcomeUnknown` it may have taken effect or may still do so. */
export type TransactReply = TransactOutcome | { readonly kind: 'outcomeUnknown' } | StoreUnavailable
/** Reply to an object read. */
export type ObjectReply = { readonly kind: 'found', readonly content: Uint8Array } | { readonly kind: 'absent' } | StoreUnavailable
/** Reply to an object write. */
export type PutReply = { readonly kind: 'stored' } | StoreUnavailable

export interface ReadRows extends Command<'readRows', ReadReply> { readonly keys: readonly string[] }
export interface TransactRows extends Command<'transactRows', TransactReply> {
  readonly checks: readonly RowCheck[]
  readonly writes: readonly RowWrite[]
}
export interface GetObject extends Command<'getObject', ObjectReply> { readonly name: string }
export interface PutObject extends Command<'putObject', PutReply> { readonly name: string, readonly content: Uint8Array }
/** Returns the current time in Unix milliseconds. */
export interface ReadTime extends Command<'readTime', number> {}
/** Resumes at the given time in Unix milliseconds. */
export interface WaitUntil extends Command<'waitUntil'> { readonly at: number }

/** Side effects requested by the decisions of this package. Runners report store failures as replies and never throw them. */
export type StoreCommand = ReadRows | TransactRows | GetObject | PutObject | ReadTime | WaitUntil

export const readRows = (keys: readonly string[]): Decision<StoreCommand, ReadReply> => perform<ReadRows>({ kind: 'readRows', keys })
export const transactRows = (checks: readonly RowCheck[], writes: readonly RowWrite[]): Decision<StoreCommand, TransactReply> => perform<TransactRows>({ kind: 'transactRows', checks, writes })
export const getObject = (name: string): Decision<StoreCommand, ObjectReply> => perform<GetObject>({ kind: 'getObject', name })
/** Stores an object; idempotent. */
export const putObject = (name: string, content: Uint8Array): Decision<StoreCommand, PutReply> => perform<PutObject>({ kind: 'putObject', name, content })
export const readTime = (): Decision<StoreCommand, number> => perform<ReadTime>({ kind: 'readTime' })

/** Waits for the given time, but not past the deadline (Unix milliseconds). */
export function * sleep (milliseconds: number, deadline = Infinity): Decision<StoreCommand, void> {
  const now = yield * readTime()
  yield * perform<WaitUntil>({ kind: 'waitUntil', at: Math.min(deadline, now + milliseconds) })
}

/** Doubles a retry delay up to a limit, so that a recovering store is not overloaded. */
export function nextBackoff (milliseconds: number, limit: number): number {
  return Math.min(limit, milliseconds * 2)
}
