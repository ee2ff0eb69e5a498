import type { BillRecord, RecordedAnswer, SheetBackendServer, SheetBudget, SheetClientAccount, SheetModel, SheetRoute } from '@quinceshunt/schemas'
import type { ProcessReply } from './processQuestions.js'

/** Whether a request was run, as reported to the caller. */
export type RunState = 'no' | 'yes' | 'unknown'

/** Scheduling priority of a request, highest first. */
export type Priority = 'interactive' | 'standard' | 'bulk'

/** A caller authenticated by a valid key. */
export interface Caller {
  readonly account: SheetClientAccount
  readonly budgetId: string
  readonly keyId: string
}

/** The active configuration, indexed for the request path. */
export interface ConfigurationView {
  readonly revision: bigint
  readonly models: ReadonlyMap<string, SheetModel>
  /** Backend servers by target (model or service). */
  readonly backendServers: ReadonlyMap<string, readonly SheetBackendServer[]>
  readonly drainedBackendServers: ReadonlySet<string>
  findBudget (budgetId: string): SheetBudget | undefined
  /** Returns undefined if the key is unknown, wrong or revoked. */
  authenticate (bearerKey: string): Caller | undefined
  /** Finds the first matching route of a service. */
  findRoute (service: string, method: string, path: string): SheetRoute | undefined
}

/** Manages the active configuration. */
export interface ConfigurationService {
  /** Returns undefined until a first revision has been verified. */
  current (): ConfigurationView | undefined
  /** Adds a listener, which is called immediately if there is an active revision and for each newer one. */
  onChange (listener: (view: ConfigurationView) => void): void
}

/** Outcome of a reservation. */
export type ReservationOutcome =
  | { readonly kind: 'reserved', readonly reservation: Reservation }
  | { readonly kind: 'refused', readonly code: 'budget_exhausted' | 'budget_unavailable', readonly message: string, readonly retryAt: number }

/** Tokens reserved for one request until it is settled or released. */
export interface Reservation {
  readonly requestId: string
  readonly budgetId: string
  readonly ceilingTokens: number
}

/** Manages this instance's allowances, reservations and unsent bills. */
export interface BudgetService {
  /** Reserves the ceiling; draws tokens, asks peers and waits until the deadline (Unix milliseconds) before refusing. */
  reserve (request: { readonly requestId: string, readonly budgetId: string, readonly clientAccount: string, readonly ceilingTokens: number, readonly deadline: number }): Promise<ReservationOutcome>
  /**
   * Queues the bill and ends the reservation; charges at most the ceiling. Resolves with `written` once the bill is in the
   * table, or with `deferred` at the deadline (Unix milliseconds). `keyed` tells whether the caller sent an Idempotency-Key.
   */
  settle (reservation: Reservation, bill: BillRecord, keyed: boolean, deadline: number): Promise<'written' | 'deferred'>
  /** Releases the reservation of a request that certainly was not run. */
  release (reservation: Reservation): void
  /** Closes all leases or hands them over to a peer; resolves with the number of bills neither written nor handed over. */
  stop (deadline: number): Promise<{ readonly lostBills: number }>
}

/** A claim held by this instance. */
export interface ClaimHandle {
  readonly key: string
  readonly nonce: string
}

/** Outcome of a claim. */
export type ClaimOutcome =
  | { readonly kind: 'claimed', readonly handle: ClaimHandle }
  | { readonly kind: 'answered', readonly answer: RecordedAnswer & { readonly body: Uint8Array } }
  | { readonly kind: 'unknown', readonly message: string }
  | { readonly kind: 'keyReused' }
  | { readonly kind: 'refused', readonly code: 'store_unavailable' | 'request_in_progress', readonly message: string, readonly run: RunState, readonly retryAt: number }

/** Manages the claims that this instance holds for non-idempotent requests. */
export interface ClaimService {
  claim (request: { readonly clientAccount: string, readonly idempotencyKey: string, readonly bodyHash: string, readonly requestId: string, readonly deadline: number }): Promise<ClaimOutcome>
  /** Records the response; retries in the background while the store is down. Resolves when recorded or at the deadline. */
  complete (handle: ClaimHandle, answer: { readonly status: number, readonly contentType: string, readonly body: Uint8Array }, deadline: number): Promise<'recorded' | 'deferred'>
  /** Withdraws a claim; call only if certainly nothing was sent and nothing will be. */
  withdraw (handle: ClaimHandle): void
  /** Marks a request as sent with an unknown outcome. */
  markUnknown (handle: ClaimHandle): void
  /** Finishes background writes; resolves with the number left, no later than the deadline. */
  stop (deadline: number): Promise<{ readonly unfinished: number }>
}

/** Whether a request may run, depending on the crashes that its content has caused. */
export type AdmissionOutcome =
  | { readonly kind: 'admitted' }
  | { readonly kind: 'quarantined' }
  /** May run only as a trial on the backend server that `startTrial` chooses. */
  | { readonly kind: 'suspect' }

/** Manages suspect and quarantined fingerprints. */
export interface QuarantineService {
  admit (fingerprint: string): AdmissionOutcome
  /** Reserves a trial of a suspect on one of the candidates; resolves with undefined if none is free by the deadline. */
  startTrial (fingerprint: string, candidates: readonly string[], deadline: number): Promise<string | undefined>
  /** Ends a trial without a crash and clears the suspect. */
  endTrial (fingerprint: string, backendServer: string): void
  /** Ends an incomplete trial without clearing the suspect. */
  abandonTrial (fingerprint: string, backendServer: string): void
  /** Records a crash of a backend server with the fingerprints of this instance's requests in flight on it. */
  recordCrash (backendServer: string, fingerprints: readonly string[]): Promise<void>
}

/** A slot on a backend server. */
export interface Slot {
  readonly backendServer: SheetBackendServer
  /** Incarnation that the backend server had reported before; empty until its first load report. */
  readonly incarnation: string
  /** Frees the slot; `failed` counts as a failure of the backend server. */
  release (result: 'succeeded' | 'failed'): void
}

/** Outcome of acquiring a slot; `shed` means that none became available in time. */
export type SlotOutcome =
  | { readonly kind: 'slot', readonly slot: Slot }
  | { readonly kind: 'shed', readonly status: 429 | 503, readonly code: 'overloaded' | 'no_backend_server' | 'deadline_exceeded', readonly message: string, readonly retryAt: number }

/** Manages the state and queues of the backend servers. */
export interface BackendService {
  acquire (request: {
    readonly requestId: string
    readonly target: string
    readonly account: SheetClientAccount
    readonly priority: Priority
    /** Hashes of successive prefixes of the prompt, shortest first; empty for services. */
    readonly prefixHashes: readonly string[]
    readonly promptBytes: number
    /** Backend servers not to use, for example those of earlier attempts. */
    readonly excluded: ReadonlySet<string>
    /** The only backend server to use, for trials. */
    readonly only?: string
    readonly deadline: number
    readonly signal: AbortSignal
  }): Promise<SlotOutcome>
  /** Eligible backend servers of a target for a client account, best first. */
  candidates (target: string, accountId: string): readonly SheetBackendServer[]
  /** Checks a backend server immediately after a connection failure; resolves with true if it has crashed or is unreachable. */
  confirmCrash (backendServer: string): Promise<boolean>
  /** Asks the process at an address (http://IP:PORT) which one it is; a question counts that was sent at `since` (by `performance.now`) or later. */
  askProcess (address: string, since: number): Promise<ProcessReply>
}
