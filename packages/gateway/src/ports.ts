import type { IncomingHttpHeaders } from 'node:http'
import type { BackendServerEntry, FleetConfiguration } from './fleetConfiguration.js'

/** A row as stored; version 0 means that it does not exist. */
export interface StoredRow {
  readonly table: string
  readonly part: string
  readonly key: string
  readonly value: string
  readonly version: number
  readonly deleted: boolean
}

/** Identifies a row. */
export type RowKey = Pick<StoredRow, 'table' | 'part' | 'key'>

/** A transaction: applied whole if all expected versions hold. */
export interface RowTransaction {
  readonly expected: readonly (RowKey & { readonly version: number })[]
  readonly writes: readonly (RowKey & { readonly value: string })[]
  readonly removals: readonly RowKey[]
  /** True when the rows lie in several parts, which takes longer. */
  readonly spansParts?: boolean
}

/** Outcome of a transaction. `storeTime` is the store's steady clock, milliseconds. */
export type TransactionOutcome =
  | { readonly kind: 'applied', readonly version: number, readonly storeTime: number }
  /** Nothing was done; the current rows of those that were expected. */
  | { readonly kind: 'conflict', readonly rows: readonly StoredRow[], readonly storeTime: number }
  /** Nothing was done. */
  | { readonly kind: 'refused', readonly reason: string }
  /** It may have been applied, or may be applied later while its conditions hold. */
  | { readonly kind: 'unknown', readonly reason: string }

/** Outcome of reading rows. */
export type ReadOutcome =
  /** `version` is the store's newest version at that moment, `storeTime` its steady clock in milliseconds. */
  | { readonly kind: 'rows', readonly rows: readonly StoredRow[], readonly version: number, readonly storeTime: number }
  /** The store no longer has the history after the requested version. */
  | { readonly kind: 'historyGone' }
  | { readonly kind: 'unavailable', readonly reason: string }

/** The platform's store of versioned rows. No call rejects: failures are outcomes. Deadlines are readings of `steadyNow`, for the first byte of an answer. */
export interface RowStore {
  transact (transaction: RowTransaction, deadline: number): Promise<TransactionOutcome>
  /** All rows of one part of a table, or the range of keys from `from` up to but without `to`. */
  read (table: string, part: string, deadline: number, range?: { readonly from: string, readonly to: string }): Promise<ReadOutcome>
  /** Rows changed after a version; waits up to `waitMilliseconds` for the first one. */
  readChanges (table: string, after: number, waitMilliseconds: number, deadline: number): Promise<ReadOutcome>
  close (): void
}

/** Part of a prompt that requests may share. */
export interface PromptPart {
  readonly id: string
  readonly tokens: number
}

/** What a request for a model engine says of its size. */
export interface PromptSize {
  readonly model: string
  readonly inputTokens: number
  readonly maximumOutputTokens: number
  readonly parts: readonly PromptPart[]
}

/** What a caller's headers say, decoded. */
export interface CallerFields {
  /** Names one attempt of the caller; empty when missing. */
  readonly attemptId: string
  /** Empty when the caller sent none. */
  readonly apiKey: string
  /** Milliseconds the caller waits; undefined when it does not say. */
  readonly waitMilliseconds: number | undefined
  /** Undefined for plain services. */
  readonly prompt: PromptSize | undefined
  /** Last event that the caller has of a stream it resumes; empty for a new stream. */
  readonly lastEventId: string
}

/** What this system adds when it sends a request on. */
export interface ForwardedFields {
  readonly account: string
  /** Empty when the route is public. */
  readonly expectedBackendId: string
  /** Unix milliseconds after which the caller no longer waits. */
  readonly deadline: number
  /** Undefined for plain services. */
  readonly priority: number | undefined
  readonly lastEventId: string
}

/** Load of a backend server as it told with an answer. */
export interface ReportedLoad {
  readonly running: number
  readonly waiting: number
  readonly slots: number
}

/** What a backend server's answer headers say, decoded. */
export interface ResponseFields {
  /** Attempt to which the answer belongs; empty when it does not say. */
  readonly attemptId: string
  /** True when the backend server vouches for the answer. */
  readonly isSigned: boolean
  /** True when the backend server says that the request has not run and will not. */
  readonly isNotRun: boolean
  /** True when another process than the expected one answers at that address. */
  readonly isMisdirected: boolean
  /** True when a caller would read the status as this system's promise that the request has not run. */
  readonly impliesNotRun: boolean
  readonly load: ReportedLoad | undefined
  /** True when the body is not as the backend server made it. */
  readonly isContentEncoded: boolean
}

/** Names and formats of the platform's HTTP messages. */
export interface WireFormat {
  decodeRequestHeaders (headers: IncomingHttpHeaders): CallerFields
  /** Headers for the backend server: the caller's, less those of one connection and those that are this system's to set. */
  buildRequestHeaders (rawHeaders: readonly string[], fields: ForwardedFields, now: number): Record<string, string | string[]>
  decodeResponseHeaders (status: number, headers: IncomingHttpHeaders): ResponseFields
  /** Headers for the caller: the backend server's, less those of one connection. */
  buildResponseHeaders (rawHeaders: readonly string[]): string[]
  decodeConfiguration (value: string): FleetConfiguration
  /** Throws when the entry names no backend server that can be used. */
  decodeBackendServer (id: string, value: string, now: number): BackendServerEntry
}

/** Tables that the platform keeps and this system only reads. */
export interface PlatformTables {
  readonly configuration: { readonly table: string, readonly key: string }
  readonly backendServers: { readonly table: string }
}

/** The whole platform as the gateway needs it. */
export interface GatewayPlatform {
  readonly store: RowStore
  readonly wire: WireFormat
  readonly tables: PlatformTables
}
