/** How callers of one client account flood a gateway. */
export const CALLER_FLOODS = ['pipelinedUnread', 'pipelinedRead', 'unfinishedBodies', 'unreadAnswers'] as const
/** How a backend server floods the gateways that ask it. */
export const BACKEND_FLOODS = ['pacedBody', 'endlessBody', 'endlessHead', 'endlessEvents', 'surplusGarbage', 'surplusCopies'] as const

export type CallerFloodKind = typeof CALLER_FLOODS[number]
export type BackendFloodKind = typeof BACKEND_FLOODS[number]

/** One flood at one gateway; `at` is in milliseconds since the start of the load, `lasts` a duration in milliseconds. */
export type Flood =
  | { readonly kind: 'callerFlood', readonly at: number, readonly lasts: number, readonly gateway: number, readonly how: CallerFloodKind }
  | { readonly kind: 'backendFlood', readonly at: number, readonly lasts: number, readonly gateway: number, readonly how: BackendFloodKind, readonly requests: number }

/** What the requests of a flood got. */
export interface FloodOutcome {
  /** Counts by status; 0 for requests without response headers. Empty for floods of callers, which read no status. */
  readonly statuses: Readonly<Record<string, number>>
  /** Attempts whose complete answer with status 2xx is not what the backend server wrote. */
  readonly alteredAnswers: readonly string[]
}

/** Client account of all floods. */
export const FLOOD_ACCOUNT = { name: 'crowd', apiKey: 'crowd-key' } as const
/** The services that only floods ask, with the path prefix of each. */
export const FLOOD_SERVICES = { crowd: '/crowd/', flooding: '/flood/', surging: '/surge/' } as const
export type FloodService = keyof typeof FLOOD_SERVICES

/** Length of a long answer: a few together exceed what a gateway may buffer beyond a fixed part of each answer. */
export const LONG_ANSWER_BYTES = 200_000
/** The gateways accept bodies up to this length. */
export const MAX_BODY_BYTES = 1_048_576
/** Slots of a flooding backend server: enough for all requests of the floods. */
export const FLOOD_SLOTS = 400
/** Time limit of all routes in runs with floods, long enough that a busy machine does not end requests. */
export const FLOOD_TIME_LIMIT_MS = 2000
const FLOOD_TOKENS = 10_000_000

/** Adds the routes, the services and the client account of the floods, and a route with long answers for sound callers. */
export function withFloodRoutes (configuration: Record<string, unknown>): Record<string, unknown> {
  const own = { host: 'desk.example', slo_ms: 300, max_attempts: 2, timeout_ms: FLOOD_TIME_LIMIT_MS }
  const listOf = (name: string): readonly object[] => configuration[name] as readonly object[]
  return {
    ...configuration,
    routes: [
      ...listOf('routes').map((route) => ({ ...route, timeout_ms: FLOOD_TIME_LIMIT_MS })),
      { ...own, name: 'report', path_prefix: '/report/', route_type: 'idempotent', service: 'ledger' },
      { ...own, name: 'crowd', path_prefix: FLOOD_SERVICES.crowd, route_type: 'idempotent', service: 'crowd' },
      { ...own, name: 'flood', path_prefix: FLOOD_SERVICES.flooding, route_type: 'idempotent', service: 'flooding' },
      { ...own, name: 'surge', path_prefix: FLOOD_SERVICES.surging, route_type: 'streaming', service: 'surging', itl_target_ms: 300 }
    ],
    services: [
      ...listOf('services'),
      { name: 'crowd', health_path: '/healthz', max_conns: 110 },
      { name: 'flooding', health_path: '/healthz', max_conns: FLOOD_SLOTS },
      { name: 'surging', health_path: '/healthz', max_conns: FLOOD_SLOTS, engine: { slots: FLOOD_SLOTS, stride: 5 } }
    ],
    limits: { ...configuration['limits'] as object, max_body_bytes: MAX_BODY_BYTES },
    tenants: [...listOf('tenants'), { name: FLOOD_ACCOUNT.name, api_keys: [FLOOD_ACCOUNT.apiKey], priority: 1, prepaid: FLOOD_TOKENS }]
  }
}
