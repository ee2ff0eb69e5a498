import type { BackendCut } from '@quinceshunt/platform-adapter/fixtures'
import fastCheck from 'fast-check'
import type { Flood } from './flood.js'

/** The load continues after the fault phase, so that recovery can be checked. */
export const SOAK_DURATION_MS = 9000
const FAULT_PHASE_END_MS = 6500

export const GATEWAY_COUNT = 3
export const BACKEND_COUNT = 4

/** Fault of a network link; `silence` blocks both directions, `cutTowards…` only one. */
export type LinkFault = 'delay' | 'reset' | 'silence' | 'cutTowardsServer' | 'cutTowardsClient'

/** One fault of a plan; `at` is in milliseconds since the start of the load, `lasts` and `downFor` are durations in milliseconds. */
export type PlannedFault =
  | Flood
  | { readonly kind: 'kill', readonly at: number, readonly gateway: number, readonly downFor: number }
  | { readonly kind: 'stop', readonly at: number, readonly gateway: number, readonly downFor: number }
  | { readonly kind: 'pause', readonly at: number, readonly gateway: number, readonly lasts: number }
  | { readonly kind: 'reload', readonly at: number, readonly gateway: number }
  | { readonly kind: 'storeLink', readonly at: number, readonly gateway: number, readonly lasts: number, readonly fault: LinkFault }
  | { readonly kind: 'backendLink', readonly at: number, readonly backend: number, readonly lasts: number, readonly fault: LinkFault }
  | { readonly kind: 'storeCalls', readonly at: number, readonly lasts: number, readonly fault: 'refuse' | 'loseReply' | 'late' }
  | { readonly kind: 'configuration', readonly at: number }
  | { readonly kind: 'powerLoss', readonly at: number, readonly downFor: number }
  /**
   * The store is copied, goes on for `age` milliseconds, is away for `awayFor` and comes back from the copy. Rows of operators and
   * backend servers are written again `rewriteAfter` milliseconds later.
   */
  | { readonly kind: 'restore', readonly at: number, readonly age: number, readonly awayFor: number, readonly rewriteAfter: number }
  /** A backend server in need names a request limit in its responses. */
  | { readonly kind: 'namedLimit', readonly at: number, readonly backend: number, readonly lasts: number, readonly requestsPerSecond: number }
  /**
   * The process of a backend server is replaced by one of another ID and software version. From the first release on, streams break
   * now and then, and their callers take them up at another gateway.
   */
  | { readonly kind: 'release', readonly at: number, readonly backend: number, readonly version: string }
  /**
   * The process of a backend server is killed: its connections are closed in order, and new ones refused, until one of another
   * start is back at the address. In runs with crashes, streams are long and responses are odd as `makeOdd` says.
   */
  | { readonly kind: 'crash', readonly at: number, readonly backend: number, readonly downFor: number, readonly keepsId: boolean, readonly version: string }
  /** A gateway is cut off from all backend servers; the store, its callers and the other gateways reach it. */
  | { readonly kind: 'partition', readonly at: number, readonly gateway: number, readonly lasts: number, readonly how: BackendCut }
  /** The plain backend servers, which have one slot each, fall over when they turn more requests away in a second. */
  | { readonly kind: 'brittle', readonly at: number, readonly rejectionsPerSecond: number }
  /** A sound backend server sends nothing for a while and then goes on; this excuses no interrupted response. */
  | { readonly kind: 'backendSilence', readonly at: number, readonly backend: number, readonly lasts: number }

export const at = fastCheck.integer({ min: 300, max: FAULT_PHASE_END_MS - 1500 })
const lasts = fastCheck.integer({ min: 200, max: 4000 })
export const downFor = fastCheck.integer({ min: 50, max: 1500 })
export const gateway = fastCheck.integer({ min: 0, max: GATEWAY_COUNT - 1 })
export const backend = fastCheck.integer({ min: 0, max: BACKEND_COUNT - 1 })
const linkFault = fastCheck.constantFrom<LinkFault>('delay', 'reset', 'silence', 'cutTowardsServer', 'cutTowardsClient')

const plannedFault: fastCheck.Arbitrary<PlannedFault> = fastCheck.oneof(
  { weight: 3, arbitrary: fastCheck.record({ kind: fastCheck.constant('kill' as const), at, gateway, downFor }) },
  { weight: 2, arbitrary: fastCheck.record({ kind: fastCheck.constant('stop' as const), at, gateway, downFor }) },
  { weight: 2, arbitrary: fastCheck.record({ kind: fastCheck.constant('pause' as const), at, gateway, lasts }) },
  { weight: 1, arbitrary: fastCheck.record({ kind: fastCheck.constant('reload' as const), at, gateway }) },
  { weight: 3, arbitrary: fastCheck.record({ kind: fastCheck.constant('storeLink' as const), at, gateway, lasts, fault: linkFault }) },
  { weight: 3, arbitrary: fastCheck.record({ kind: fastCheck.constant('backendLink' as const), at, backend, lasts, fault: linkFault }) },
  { weight: 3, arbitrary: fastCheck.record({ kind: fastCheck.constant('storeCalls' as const), at, lasts, fault: fastCheck.constantFrom('refuse' as const, 'loseReply' as const, 'late' as const) }) },
  { weight: 2, arbitrary: fastCheck.record({ kind: fastCheck.constant('configuration' as const), at }) },
  { weight: 1, arbitrary: fastCheck.record({ kind: fastCheck.constant('powerLoss' as const), at, downFor }) }
)

const namedLimit = fastCheck.record({
  kind: fastCheck.constant('namedLimit' as const),
  at: fastCheck.integer({ min: 300, max: 2000 }),
  backend,
  lasts: fastCheck.integer({ min: 4000, max: SOAK_DURATION_MS }),
  requestsPerSecond: fastCheck.integer({ min: 0, max: 60 }).map((tenths) => tenths / 10)
})

const backendSilence = fastCheck.record({
  kind: fastCheck.constant('backendSilence' as const),
  // While there are tokens for streams.
  at: fastCheck.integer({ min: 300, max: 3000 }),
  backend,
  lasts: fastCheck.integer({ min: 500, max: 1400 })
})

export const plannedWork: fastCheck.Arbitrary<PlannedFault> = fastCheck.oneof(
  fastCheck.record({ kind: fastCheck.constant('stop' as const), at, gateway, downFor }),
  fastCheck.record({ kind: fastCheck.constant('reload' as const), at, gateway }),
  fastCheck.record({ kind: fastCheck.constant('configuration' as const), at })
)

/** Generates sound backend servers that fall silent, each once, beside planned stops, reloads and new configurations. */
export function planSilences (seed: number): readonly PlannedFault[] {
  const silences = fastCheck.uniqueArray(backendSilence, { minLength: 2, maxLength: BACKEND_COUNT, selector: (silence) => silence.backend })
  const [[silent, work] = [[], []]] = fastCheck.sample(fastCheck.tuple(silences, fastCheck.array(plannedWork, { minLength: 1, maxLength: 5 })), { seed, numRuns: 1 })
  return [...silent, ...work].sort((left, right) => left.at - right.at)
}

/** Generates the faults of a seed like `planFaults`, and backend servers that name limits beside them. */
export function planFaultsAndLimits (seed: number): readonly PlannedFault[] {
  const [limits = []] = fastCheck.sample(fastCheck.uniqueArray(namedLimit, { minLength: 1, maxLength: BACKEND_COUNT, selector: (limit) => limit.backend }), { seed, numRuns: 1 })
  return [...planFaults(seed), ...limits].sort((left, right) => left.at - right.at)
}

const restore = fastCheck.record({
  kind: fastCheck.constant('restore' as const),
  at: fastCheck.integer({ min: 300, max: 2500 }),
  age: fastCheck.integer({ min: 300, max: 4000 }),
  awayFor: fastCheck.integer({ min: 0, max: 1000 }),
  rewriteAfter: fastCheck.integer({ min: 0, max: 500 })
})

/** Generates the faults of a seed like `planFaultsAndLimits`, and one or two restores of the store from a copy. */
export function planFaultsAndRestores (seed: number): readonly PlannedFault[] {
  const [restores = []] = fastCheck.sample(fastCheck.array(restore, { minLength: 1, maxLength: 2 }), { seed, numRuns: 1 })
  return [...planFaultsAndLimits(seed), ...restores].sort((left, right) => left.at - right.at)
}

const release = fastCheck.record({
  kind: fastCheck.constant('release' as const),
  at: fastCheck.integer({ min: 0, max: FAULT_PHASE_END_MS }),
  backend,
  version: fastCheck.constantFrom('v1', 'v1.1', 'v1.2')
})

/** Generates the faults of a seed like `planFaults`, and releases of several software versions beside them. */
export function planReleases (seed: number): readonly PlannedFault[] {
  const [releases = []] = fastCheck.sample(fastCheck.array(release, { minLength: 3, maxLength: 8, size: 'max' }), { seed, numRuns: 1 })
  return [{ kind: 'release' as const, at: 0, backend: 0, version: 'v1.1' }, ...planFaults(seed), ...releases].sort((left, right) => left.at - right.at)
}

const partition = fastCheck.record({
  kind: fastCheck.constant('partition' as const),
  at: fastCheck.integer({ min: 300, max: 1500 }),
  gateway,
  lasts: fastCheck.integer({ min: 4500, max: FAULT_PHASE_END_MS - 1500 }),
  how: fastCheck.constantFrom<BackendCut>('hang', 'reset', 'refuseNew', 'silent')
})

const brittle = fastCheck.record({ kind: fastCheck.constant('brittle' as const), at: fastCheck.integer({ min: 0, max: 1000 }), rejectionsPerSecond: fastCheck.integer({ min: 2, max: 4 }) })

/** Generates gateways that are cut off from all backend servers, all but one at most, beside the faults of a seed like `planFaults`. */
export function planPartitions (seed: number): readonly PlannedFault[] {
  const [cut = []] = fastCheck.sample(fastCheck.uniqueArray(partition, { minLength: 1, maxLength: GATEWAY_COUNT - 1, selector: (fault) => fault.gateway }), { seed, numRuns: 1 })
  return [...planFaults(seed).filter((fault) => fault.kind !== 'backendLink'), ...cut].sort((left, right) => left.at - right.at)
}

/** Generates brittle backend servers beside planned stops, reloads and new configurations, and at times a gateway that is cut off from them. */
export function planBrittleness (seed: number): readonly PlannedFault[] {
  const work = fastCheck.array(plannedWork, { minLength: 1, maxLength: 4 })
  const [[brittleness, planned, cut] = [null, [], null]] = fastCheck.sample(fastCheck.tuple(brittle, work, fastCheck.option(partition)), { seed, numRuns: 1 })
  return [...(brittleness === null ? [] : [brittleness]), ...planned, ...(cut === null ? [] : [cut])].sort((left, right) => left.at - right.at)
}

/** Generates the faults of a seed in chronological order; the same seed gives the same plan. */
export function planFaults (seed: number): readonly PlannedFault[] {
  const [plan = []] = fastCheck.sample(fastCheck.array(plannedFault, { minLength: 2, maxLength: 9, size: 'max' }), { seed, numRuns: 1 })
  return [...plan].sort((left, right) => left.at - right.at)
}
