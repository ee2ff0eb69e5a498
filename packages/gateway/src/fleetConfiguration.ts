/** How often a request may run and whether it may be sent to another backend server after a failure. */
export type DeliverySemantics =
  /** May run more than once. */
  | { readonly kind: 'idempotent' }
  /** Runs at most once. */
  | { readonly kind: 'once' }
  /** A stream that another backend server can resume after the last delivered event. */
  | { readonly kind: 'resumableStream' }
  /** A stream that runs at most once. */
  | { readonly kind: 'onceStream' }

/** A service that serves a route's requests, with its relative weight. */
export interface RouteTarget {
  readonly service: string
  readonly weight: number
}

/** A route: matches requests by host and path, and defines the services and limits for them. */
export interface Route {
  readonly name: string
  readonly host: string
  /** Begins and ends with a slash. */
  readonly pathPrefix: string
  readonly deliverySemantics: DeliverySemantics
  /** Maximum duration of a request. */
  readonly timeoutMilliseconds: number
  /** Target for the time to the response, or to a stream's first event. */
  readonly latencyTargetMilliseconds: number
  /** Target for the time between two events of a stream; 0 when the route has none. */
  readonly eventGapTargetMilliseconds: number
  /** 0 is the most urgent. */
  readonly priority: number
  readonly targets: readonly RouteTarget[]
  /** Maximum number of backend servers to which one request may be sent. */
  readonly maximumAttempts: number
  /** True when no API key is required. */
  readonly isPublic: boolean
}

/** Batching parameters of a model engine. */
export interface EngineBatching {
  /** Requests that run concurrently. */
  readonly slots: number
  /** Output tokens per event of a stream. */
  readonly tokensPerEvent: number
  /** Tokens that fit into its memory; only the configuration check uses it. */
  readonly memoryTokens?: number | undefined
}

/** How the backend servers of a service take requests after a start. */
export type ColdStart =
  /** `requestsPerSecond`: from all instances together; 0 without a limit. */
  | { readonly kind: 'named', readonly milliseconds: number, readonly requestsPerSecond: number }
  | { readonly kind: 'unreadable', readonly value: string }

/** Time for which a backend server stays cold, as it says itself. */
export type NamedCold =
  | { readonly kind: 'none' }
  /** From now on. */
  | { readonly kind: 'named', readonly milliseconds: number }
  /** It names a time that is no number from 0 to a day. */
  | { readonly kind: 'unreadable', readonly value: string }

/** A service: a group of interchangeable backend servers. */
export interface Service {
  readonly name: string
  /** Maximum connections that one backend server accepts from all instances together. */
  readonly maximumConnections: number
  readonly engine: EngineBatching | undefined
  /** Path at which a backend server says whether it is healthy; empty when it has none. */
  readonly healthPath: string
  /** Undefined when its backend servers take all requests at once after a start. */
  readonly cold?: ColdStart | undefined
}

/** A client account with its API keys and prepaid budget. */
export interface ClientAccount {
  readonly name: string
  readonly keys: readonly string[]
  /** Overrides the route's priority; 0 is the most urgent. */
  readonly priority: number | undefined
  /** Total tokens that the account may use; undefined when it has no limit. */
  readonly prepaidTokens: number | undefined
}

/** Limits for callers' requests and connections. */
export interface CallerLimits {
  readonly maximumHeaderBytes: number
  readonly maximumBodyBytes: number
  /** Maximum time to receive a request's headers. */
  readonly headerTimeoutMilliseconds: number
  /** Time after which an idle connection is closed. */
  readonly idleTimeoutMilliseconds: number
}

/** A complete configuration, as written by the operators. */
export interface FleetConfiguration {
  /** Increases with each change, not necessarily by 1. */
  readonly version: number
  readonly routes: readonly Route[]
  readonly services: readonly Service[]
  readonly accounts: readonly ClientAccount[]
  readonly limits: CallerLimits
}

/** Entry of a backend server in the platform's registry. */
export interface BackendServerEntry {
  readonly id: string
  readonly service: string
  readonly address: string
  readonly failureDomain: string
  /** Version of its software; empty when it names none. */
  readonly version: string
  readonly slots: number
  readonly state: 'ready' | 'draining'
  /** Unix milliseconds of its start; 0 when unknown. A change under the same ID means that it has restarted. */
  readonly startedAt: number
  /** Number of the backend server's write of its entry, counted from its start; undefined when it names none. */
  readonly sequence: number | undefined
  /** Unix milliseconds at which its warm-up ends. */
  readonly coldUntil: number
  /** The cold period that the entry names. */
  readonly cold?: NamedCold
}
