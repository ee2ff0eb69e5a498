import fastCheck from 'fast-check'
import { at, downFor, gateway, plannedWork, type PlannedFault } from './faultPlan.js'
import { BACKEND_FLOODS, CALLER_FLOODS, type Flood } from './flood.js'

const floodBegins = { at: fastCheck.integer({ min: 300, max: 4500 }), lasts: fastCheck.integer({ min: 1500, max: 3000 }), gateway }

const flood: fastCheck.Arbitrary<Flood> = fastCheck.oneof(
  fastCheck.record({ kind: fastCheck.constant('callerFlood' as const), ...floodBegins, how: fastCheck.constantFrom(...CALLER_FLOODS) }),
  fastCheck.record({ kind: fastCheck.constant('backendFlood' as const), ...floodBegins, how: fastCheck.constantFrom(...BACKEND_FLOODS), requests: fastCheck.integer({ min: 50, max: 150 }) })
)

const work: fastCheck.Arbitrary<PlannedFault> = fastCheck.oneof(
  { weight: 3, arbitrary: plannedWork },
  { weight: 1, arbitrary: fastCheck.record({ kind: fastCheck.constant('kill' as const), at, gateway, downFor }) }
)

/** Generates floods of one client account and of backend servers beside series of planned stops, reloads, new configurations and kills. */
export function planFloods (seed: number): readonly PlannedFault[] {
  const floods = fastCheck.array(flood, { minLength: 2, maxLength: 4, size: 'max' })
  const [[flooding, planned] = [[], []]] = fastCheck.sample(fastCheck.tuple(floods, fastCheck.array(work, { minLength: 2, maxLength: 8, size: 'max' })), { seed, numRuns: 1 })
  return [...flooding, ...planned].sort((left, right) => left.at - right.at)
}
