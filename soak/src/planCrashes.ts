import fastCheck from 'fast-check'
import { at, backend, planFaults, type PlannedFault } from './faultPlan.js'

const crash = fastCheck.record({
  kind: fastCheck.constant('crash' as const),
  at: fastCheck.noBias(at),
  backend,
  downFor: fastCheck.noBias(fastCheck.integer({ min: 800, max: 3000 })),
  keepsId: fastCheck.boolean(),
  version: fastCheck.constantFrom('v1', 'v1.1')
})

/** Generates crashes of backend servers beside the faults of a seed like `planFaults`. */
export function planCrashes (seed: number): readonly PlannedFault[] {
  const [crashes = []] = fastCheck.sample(fastCheck.array(crash, { minLength: 6, maxLength: 12, size: 'max' }), { seed, numRuns: 1 })
  return [...planFaults(seed), ...crashes].sort((left, right) => left.at - right.at)
}
