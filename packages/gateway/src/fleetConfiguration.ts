/** What may happen to a request after it was sent to a backend server. */
export type DeliverySemantics =
  /** It may run more than once. */
  | { readonly kind: 'idempotent' }
  /** It runs at most once. */
  | { readonly kind: 'once' }
  /** A stream that can go on at another backend server after the last delivered event. */
  | { readonly kind: 'resumableStream' }
  /** A stream that runs at most once. */
  | { readonly kind: 'onceStream' }

/** A service that may get a route's requests, with its share. */
export interface RouteTarget {
  readonly service: string
  readonly weight: number
}

/** A route: which requests go to which services, and how. */
export interface Route {
  readonly name: string
  readonly host: string
  /** Begins and ends with a slash. */
  readonly pathPrefix: string
  readonly deliverySemantics: DeliverySemantics
  /** Longest time a caller is kept waiting, milliseconds. */
  readonly timeoutMilliseconds: number
  /** Time within which an answer is on time, milliseconds. */
  readonly latencyTargetMilliseconds: number
  /** Longest pause between events of a stream that is on time, milliseconds; 0 when the route has no such target. */
  readonly eventGapTargetMilliseconds: number
  /** 0 is the most urgent. */
  readonly priority: number
  readonly targets: readonly RouteTarget[]
  /** Most backend servers to which one request may be sent. */
  readonly maximumAttempts: number
  /** True when no key is needed. */
  readonly isPublic: boolean
}

/** Batching of a model engine; absent for plain services. */
export interface EngineBatching {
  /** Requests that run at once. */
  readonly slots: number
  /** Tokens of one event of a stream. */
  readonly tokensPerEvent: number
}

/** A service: a group of equal backend servers. */
export interface Service {
  readonly name: string
  /** Connections that one backend server accepts from all instances together. */
  readonly maximumConnections: number
  readonly engine: EngineBatching | undefined
}

/** A client account with its keys and prepaid budget. */
export interface ClientAccount {
  readonly name: string
  readonly keys: readonly string[]
  /** Replaces a route's priority when present; 0 is the most urgent. */
  readonly priority: number | undefined
  /** Tokens that the account may use in total; undefined when it is not limited. */
  readonly prepaidTokens: number | undefined
}

/** Bounds on what callers may send. */
export interface CallerLimits {
  readonly maximumHeaderBytes: number
  readonly maximumBodyBytes: number
  /** Longest time until a request's headers are complete, milliseconds. */
  readonly headerTimeoutMilliseconds: number
  /** Time after which an idle connection of a caller is closed, milliseconds. */
  readonly idleTimeoutMilliseconds: number
}

/** A whole configuration as the operator wrote it. */
export interface FleetConfiguration {
  /** Grows with each change, in uneven steps. */
  readonly version: number
  readonly routes: readonly Route[]
  readonly services: readonly Service[]
  readonly accounts: readonly ClientAccount[]
  readonly limits: CallerLimits
}

/** Entry of a backend server in the platform's list. */
export interface BackendServerEntry {
  readonly id: string
  readonly service: string
  readonly address: string
  readonly failureDomain: string
  readonly slots: number
  readonly state: 'ready' | 'draining'
  /** Unix milliseconds of its start; 0 when it does not say. A change under the same ID means that it started again. */
  readonly startedAt: number
  /** Unix milliseconds at which it stops being slow after its start. */
  readonly coldUntil: number
}
