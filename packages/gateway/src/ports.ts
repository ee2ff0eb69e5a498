import type { IncomingHttpHeaders } from 'node:http'
import type { BackendServerEntry, FleetConfiguration, NamedCold } from './fleetConfiguration.js'

/** A stored row. `part` is its partition; version 0 means that the row does not exist. */
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

/** A transaction, applied atomically if all expected row versions match. */
export interface RowTransaction {
  readonly expected: readonly (RowKey & { readonly version: number })[]
  readonly writes: readonly (RowKey & { readonly value: string })[]
  readonly removals: readonly RowKey[]
  /** True when the rows lie in several partitions, which takes longer. */
  readonly spansParts?: boolean
}

/** What every response of the store tells, whatever its outcome. */
export interface StoreResponse {
  /** Number that rises with each restore of the store from an older copy; undefined without a response, or when the store names none. */
  readonly era?: number | undefined
}

/** Outcome of a transaction. `storeTime` is the store's monotonic clock, milliseconds. */
export type TransactionOutcome = StoreResponse & (
  | { readonly kind: 'applied', readonly version: number, readonly storeTime: number }
  /** Not applied; `rows` are the current versions of the expected rows. */
  | { readonly kind: 'conflict', readonly rows: readonly StoredRow[], readonly storeTime: number }
  /** Not applied. */
  | { readonly kind: 'refused', readonly reason: string }
  /** It may have been applied, or may still be applied as long as the expected versions match. */
  | { readonly kind: 'unknown', readonly reason: string }
  /** The store was restored from a copy meanwhile: whether the transaction is in the copy, or was applied to it, can only be read. */
  | { readonly kind: 'superseded' }
)

/** Outcome of reading rows. */
export type ReadOutcome = StoreResponse & (
  /** `version` is the store's newest version at the time of the read, `storeTime` its monotonic clock in milliseconds. */
  | { readonly kind: 'rows', readonly rows: readonly StoredRow[], readonly version: number, readonly storeTime: number }
  /** The store no longer has the changes after the requested version. */
  | { readonly kind: 'historyGone' }
  /** `mustReread` is true when the changes are too many for one response, so that asking for them again would fail as well. */
  | { readonly kind: 'unavailable', readonly reason: string, readonly mustReread?: boolean }
)

/** The platform's store of versioned rows. Calls never reject; failures are outcomes. Deadlines, by `steadyNow`, apply to the first byte of a response. */
export interface RowStore {
  transact (transaction: RowTransaction, deadline: number): Promise<TransactionOutcome>
  /** Reads all rows of one partition of a table, or those with keys from `from` (inclusive) to `to` (exclusive). */
  read (table: string, part: string, deadline: number, range?: { readonly from: string, readonly to: string }): Promise<ReadOutcome>
  /** Reads the rows changed after a version; waits up to `waitMilliseconds` for the first change. */
  readChanges (table: string, after: number, waitMilliseconds: number, deadline: number): Promise<ReadOutcome>
  close (): void
}

/** Part of a prompt; several requests may share it. */
export interface PromptPart {
  readonly id: string
  readonly tokens: number
}

/** Size of a request to a model engine, as declared by its caller. */
export interface PromptSize {
  readonly model: string
  readonly inputTokens: number
  readonly maximumOutputTokens: number
  readonly parts: readonly PromptPart[]
}

/** Decoded headers of a caller's request. */
export interface CallerFields {
  /** ID of the caller's attempt; empty when missing. */
  readonly attemptId: string
  /** Empty when the caller sent none. */
  readonly apiKey: string
  /** The caller's timeout; undefined when not sent. */
  readonly timeoutMilliseconds: number | undefined
  /** Undefined for plain services. */
  readonly prompt: PromptSize | undefined
  /** ID of the last event that the caller received, to resume a stream; empty for a new stream. */
  readonly lastEventId: string
  /** ID of the caller's attempt that brought the stream's first event; empty for a new stream, or when not sent. */
  readonly resumedAttemptId: string
}

/** Fields that the gateway adds to a forwarded request. */
export interface ForwardedFields {
  readonly account: string
  /** Empty when the route is public. */
  readonly expectedBackendId: string
  /** Unix milliseconds at which the request times out. */
  readonly deadline: number
  /** Undefined for plain services. */
  readonly priority: number | undefined
  readonly lastEventId: string
}

/** Fields that the gateway sets in a request that it relays to another instance. */
export interface RelayedFields {
  /** Unix milliseconds at which the request times out. */
  readonly deadline: number
  /** Empty for a new stream. */
  readonly lastEventId: string
  /** ID of the caller's attempt that brought the stream's first event; empty for a new stream. */
  readonly resumedAttemptId: string
}

/** Load that a backend server reported with a response. */
export interface ReportedLoad {
  readonly running: number
  readonly waiting: number
  readonly slots: number
  /** How long work takes there now, in percent of the usual time; 100 when it is not reported. */
  readonly workPercent: number
}

/** Requests a second that a backend server takes from all instances together, as its response says. */
export type NamedLimit =
  /** It takes all. */
  | { readonly kind: 'none' }
  | { readonly kind: 'named', readonly requestsPerSecond: number }
  /** It names a limit that is no number from 0 up. */
  | { readonly kind: 'unreadable', readonly value: string }

/** Whether a backend server falls over when it has to turn many requests away, as its response says. */
export type NamedBrittleness =
  | { readonly kind: 'none' }
  /** It falls over when it turns more requests away in a second. */
  | { readonly kind: 'named', readonly rejectionsPerSecond: number }
  /** It names a number that is none from 0 up. */
  | { readonly kind: 'unreadable', readonly value: string }

/** Time for which a backend server that turns a request away wants nothing from this instance. */
export type RequestedPause =
  | { readonly kind: 'none' }
  /** From the response on; may be longer than any process runs. */
  | { readonly kind: 'named', readonly milliseconds: number }
  /** It names a time that is no number from 0 up. */
  | { readonly kind: 'unreadable', readonly value: string }

/** Decoded headers of a backend server's response. */
export interface ResponseFields {
  /** ID of the attempt to which the response belongs; empty when missing. */
  readonly attemptId: string
  /** True when the response carries the backend server's signature. */
  readonly isSigned: boolean
  /** True when the backend server reports that the request has not run and will not. */
  readonly isNotRun: boolean
  /** True when a process other than the expected one answers at that address. */
  readonly isMisdirected: boolean
  /** True when callers take the status as the gateway's promise that the request has not run. */
  readonly impliesNotRun: boolean
  readonly load: ReportedLoad | undefined
  /** A load report of which a part, or all, could not be read. */
  readonly unreadableLoad?: string
  readonly limit: NamedLimit
  readonly brittleness: NamedBrittleness
  readonly pause: RequestedPause
  readonly cold: NamedCold
  /** True when the backend server says that it is about to end. */
  readonly isLeaving: boolean
  /** True when a content encoding was applied, so that the body is not as the backend server produced it. */
  readonly isContentEncoded: boolean
}

/** How the process of a backend server is asked which one it is. */
export interface ProcessReportFormat {
  /** Path of the request; needs no slot. */
  readonly path: string
  /** Returns when the process started, in Unix milliseconds; undefined for a report that does not tell. */
  decodeStartTime (body: string): number | undefined
}

/** Codec for the platform's HTTP headers and stored values. */
export interface WireFormat {
  decodeRequestHeaders (headers: IncomingHttpHeaders): CallerFields
  /** Returns the headers for the backend server: the caller's without hop-by-hop headers and those that only the gateway sets. */
  buildRequestHeaders (rawHeaders: readonly string[], fields: ForwardedFields, now: number): Record<string, string | string[]>
  /** Returns the headers for another instance that serves the request in place of this one: the caller's without hop-by-hop headers. */
  buildRelayHeaders (rawHeaders: readonly string[], fields: RelayedFields, now: number): Record<string, string | string[]>
  decodeResponseHeaders (status: number, headers: IncomingHttpHeaders): ResponseFields
  /** Returns the headers for the caller: the backend server's without hop-by-hop headers. */
  buildResponseHeaders (rawHeaders: readonly string[]): string[]
  decodeConfiguration (value: string): FleetConfiguration
  /** Throws when the entry is malformed. */
  decodeBackendServer (id: string, value: string, now: number): BackendServerEntry
  /** Throws when the operators' row of an evacuation is malformed. */
  decodeEvacuation (failureDomain: string, value: string): void
  readonly processReport: ProcessReportFormat
}

/** Tables that the platform maintains and the gateway only reads. */
export interface PlatformTables {
  readonly configuration: { readonly table: string, readonly key: string }
  /** The row of an evacuation has the failure domain's name behind the prefix. The table is that of the configuration. */
  readonly evacuations: { readonly table: string, readonly keyPrefix: string }
  readonly backendServers: { readonly table: string }
}

/** Interfaces of the platform that the gateway depends on. */
export interface GatewayPlatform {
  readonly store: RowStore
  readonly wire: WireFormat
  readonly tables: PlatformTables
}
