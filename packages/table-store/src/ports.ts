import type { InstanceEntry, TableCheck, TableRow, TableWrite } from '@quinceshunt/schemas'

/** Precondition of a transaction: the version that a row must have. */
export type RowCheck = Pick<TableCheck, 'key' | 'expectedVersion'>
/** Write or deletion of one row in a transaction. */
export type RowWrite = Pick<TableWrite, 'key' | 'value' | 'delete'>
/** A row with its current version. */
export type Row = Pick<TableRow, 'key' | 'version' | 'value'>

/** Outcome of a transaction to which the platform responded. */
export type TransactOutcome =
  | { readonly kind: 'applied', readonly versions: readonly bigint[] }
  | { readonly kind: 'conflict', readonly rows: readonly Row[] }

/**
 * The platform's transactional table. Calls reject with `PlatformUnavailableError` when they have had no effect and
 * `transact` with `PlatformOutcomeUnknownError` when it may have taken effect.
 */
export interface TableStore {
  /** Reads rows in the order of the keys; an absent row has version 0. */
  read (keys: readonly string[]): Promise<readonly Row[]>
  /** Lists rows by prefix in key order, at most `limit` (1 to 1000). */
  scan (prefix: string, startAfter: string, limit: number): Promise<{ readonly rows: readonly Row[], readonly more: boolean }>
  /** Applies all writes if all checks hold, otherwise none. */
  transact (checks: readonly RowCheck[], writes: readonly RowWrite[]): Promise<TransactOutcome>
}

/** The platform's object store: immutable objects by name. */
export interface ObjectStore {
  put (name: string, content: Uint8Array): Promise<void>
  /** Undefined when there is no such object. */
  get (name: string): Promise<Uint8Array | undefined>
}

/** The platform's list of live and leaving instances; entries may be seconds old. */
export interface InstanceList {
  list (): Promise<{ readonly instances: readonly InstanceEntry[], readonly asOf: number }>
}

/** Ports to the platform's services. */
export interface Platform {
  readonly table: TableStore
  readonly objects: ObjectStore
  readonly instances: InstanceList
}
