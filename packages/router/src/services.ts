import type { BillRecord, RecordedAnswer, SheetBackendServer, SheetBudget, SheetClientAccount, SheetModel, SheetRoute } from '@quinceshunt/schemas'

/** Whether a request was run, as told to the caller. */
export type RunState = 'no' | 'yes' | 'unknown'

/** Priority of a request; lower numbers go first. */
export type Priority = 'interactive' | 'standard' | 'bulk'

/** A caller that presented a valid key. */
export interface Caller {
  readonly account: SheetClientAccount
  readonly budgetId: string
  readonly keyId: string
}

/** The configuration in force, indexed for the request path. */
export interface ConfigurationView {
  readonly revision: bigint
  readonly models: ReadonlyMap<string, SheetModel>
  /** Backend servers by target (model or service). */
  readonly backendServers: ReadonlyMap<string, readonly SheetBackendServer[]>
  readonly drainedBackendServers: ReadonlySet<string>
  findBudget (budgetId: string): SheetBudget | undefined
  /** Undefined for an unknown, wrong or revoked key. */
  authenticate (bearerKey: string): Caller | undefined
  /** First route of a service that matches. */
  findRoute (service: string, method: string, path: string): SheetRoute | undefined
}

/** Owner of the configuration in force. */
export interface ConfigurationService {
  /** Undefined until a first revision has been verified. */
  current (): ConfigurationView | undefined
  /** Called with each newer revision, and at once when there is one. */
  onChange (listener: (view: ConfigurationView) => void): void
}

/** Answer to a reservation. */
export type ReservationOutcome =
  | { readonly kind: 'reserved', readonly reservation: Reservation }
  | { readonly kind: 'refused', readonly code: 'budget_exhausted' | 'budget_unavailable', readonly message: string, readonly retryAt: number }

/** Tokens set aside for one request until it settles or is released. */
export interface Reservation {
  readonly requestId: string
  readonly budgetId: string
  readonly ceilingTokens: number
}

/** Owner of this instance's allowances, reservations and unsent bills. */
export interface BudgetService {
  /** Sets the ceiling aside, drawing, asking peers and waiting until the deadline (Unix milliseconds) before it refuses. */
  reserve (request: { readonly requestId: string, readonly budgetId: string, readonly clientAccount: string, readonly ceilingTokens: number, readonly deadline: number }): Promise<ReservationOutcome>
  /**
   * Queues the bill and ends the reservation; charges at most the ceiling. Resolves `written` once the bill is in the
   * table, or `deferred` at the deadline (Unix milliseconds). `keyed`: the caller sent an Idempotency-Key.
   */
  settle (reservation: Reservation, bill: BillRecord, keyed: boolean, deadline: number): Promise<'written' | 'deferred'>
  /** Ends a reservation of a request that was certainly not run. */
  release (reservation: Reservation): void
  /** Closes all leases, or hands them over to a peer; resolves with the number of bills that neither took. */
  stop (deadline: number): Promise<{ readonly lostBills: number }>
}

/** A claim held by this instance. */
export interface ClaimHandle {
  readonly key: string
  readonly nonce: string
}

/** Answer to a claim. */
export type ClaimOutcome =
  | { readonly kind: 'claimed', readonly handle: ClaimHandle }
  | { readonly kind: 'answered', readonly answer: RecordedAnswer & { readonly body: Uint8Array } }
  | { readonly kind: 'unknown', readonly message: string }
  | { readonly kind: 'keyReused' }
  | { readonly kind: 'refused', readonly code: 'store_unavailable' | 'request_in_progress', readonly message: string, readonly run: RunState, readonly retryAt: number }

/** Owner of the claims of non-idempotent requests that this instance holds. */
export interface ClaimService {
  claim (request: { readonly clientAccount: string, readonly idempotencyKey: string, readonly bodyHash: string, readonly requestId: string, readonly deadline: number }): Promise<ClaimOutcome>
  /** Records the answer; retries in the background while the store is down. Resolves when recorded or at the deadline. */
  complete (handle: ClaimHandle, answer: { readonly status: number, readonly contentType: string, readonly body: Uint8Array }, deadline: number): Promise<'recorded' | 'deferred'>
  /** Only when certainly no byte was sent and none will be. */
  withdraw (handle: ClaimHandle): void
  /** Sent, outcome not known. */
  markUnknown (handle: ClaimHandle): void
  /** Finishes background writes; resolves at the deadline at the latest with the number left. */
  stop (deadline: number): Promise<{ readonly unfinished: number }>
}

/** Whether a request may run, given crashes that its content has caused. */
export type AdmissionOutcome =
  | { readonly kind: 'admitted' }
  | { readonly kind: 'quarantined' }
  /** Run only as a trial: `startTrial` picks the backend server. */
  | { readonly kind: 'suspect' }

/** Owner of suspect and quarantined fingerprints. */
export interface QuarantineService {
  admit (fingerprint: string): AdmissionOutcome
  /** Reserves the trial of a suspect on one of the candidates; undefined when none is free until the deadline. */
  startTrial (fingerprint: string, candidates: readonly string[], deadline: number): Promise<string | undefined>
  /** Ends a trial without a crash and clears the suspect. */
  endTrial (fingerprint: string, backendServer: string): void
  /** Ends a trial that was not run to its end, without clearing the suspect. */
  abandonTrial (fingerprint: string, backendServer: string): void
  /** Records a crash of a backend server with the fingerprints of this instance's requests in flight there. */
  recordCrash (backendServer: string, fingerprints: readonly string[]): Promise<void>
}

/** A slot on a backend server. */
export interface Slot {
  readonly backendServer: SheetBackendServer
  /** Ends the use of the slot; `failed` counts against the backend server. */
  release (result: 'succeeded' | 'failed'): void
}

/** Answer to a request for a slot. */
export type SlotOutcome =
  | { readonly kind: 'slot', readonly slot: Slot }
  | { readonly kind: 'shed', readonly status: 429 | 503, readonly code: 'overloaded' | 'no_backend_server' | 'deadline_exceeded', readonly message: string, readonly retryAt: number }

/** Owner of backend servers' state and queues. */
export interface BackendService {
  acquire (request: {
    readonly requestId: string
    readonly target: string
    readonly account: SheetClientAccount
    readonly priority: Priority
    /** Hashes of successive prefixes of the prompt, shortest first; empty for plain services. */
    readonly prefixHashes: readonly string[]
    readonly promptBytes: number
    /** Backend servers not to use, for example those already tried. */
    readonly excluded: ReadonlySet<string>
    /** Only this backend server, for trials. */
    readonly only?: string
    readonly deadline: number
    readonly signal: AbortSignal
  }): Promise<SlotOutcome>
  /** Eligible backend servers of a target for a client account, best first. */
  candidates (target: string, accountId: string): readonly SheetBackendServer[]
  /** Told of a connection that was refused or broke off, so that its health is checked at once; resolves true when it has crashed or is unreachable. */
  confirmCrash (backendServer: string): Promise<boolean>
}
