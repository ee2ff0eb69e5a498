import type { ExperimentDefinition, Measurements, RunContext } from '../experiment/experiment.js'
import { experimentFileSchema } from '../fleet/experimentFile.js'
import { createFleetExperiment } from '../fleet/fleetExperiment.js'
import type { RequestClass } from '../load/mixes.js'

/** Load levels as fractions of the engines' estimated capacity. */
const CAPACITY_SHARES = [0.5, 0.9, 1.2] as const
/** Measures of the fleet experiment that the result includes. */
const KEPT_MEASURES = /^(requests|answered|refused|broken|wrong|.*\.firstTokenP(50|95)Milliseconds|sendDelayP99Milliseconds)$/

/** Short questions and whole-ledger reads. There are 20 ledgers; the cache of one engine holds about five. */
const shortAndLedgerMix: readonly RequestClass[] = [
  { kind: 'chat', name: 'ledgerRead', share: 4, streamed: true, documentBytes: 48_000, documents: 2, questionBytes: 300, answerTokens: [100, 200] },
  { kind: 'chat', name: 'short', share: 46, streamed: true, documentBytes: 500, documents: 1, questionBytes: 150, answerTokens: [20, 70] }
]

const POLICIES = { roundRobin: 'ROUTING_POLICY_ROUND_ROBIN', leastOutstanding: 'ROUTING_POLICY_LEAST_OUTSTANDING', scored: 'ROUTING_POLICY_SCORED' } as const

/** Measures the time to first token of short requests and ledger reads under three routing policies at three load levels. */
export const experiment: ExperimentDefinition = {
  name: 'routing-policies-by-load',
  description: 'Time to first token of short requests beside whole-ledger reads at 50, 90 and 120% of capacity: scored routing against round robin and least outstanding, open-loop arrivals.',
  policies: Object.keys(POLICIES),
  repetitions: 3,
  seed: 11,
  run: async (policy, context) => {
    const measurements: Record<string, number> = {}
    for (const share of CAPACITY_SHARES) {
      const measured = await measureAtCapacityShare(share, policy as keyof typeof POLICIES, context)
      const kept = Object.entries(measured).filter(([name]) => KEPT_MEASURES.test(name))
      for (const [name, value] of kept) measurements[`at${Math.round(share * 100)}.${name}`] = value
    }
    return measurements
  }
}

function measureAtCapacityShare (capacityShare: number, policy: keyof typeof POLICIES, context: RunContext): Promise<Measurements> {
  const file = experimentFileSchema.parse({
    name: 'routing-policies-by-load',
    durationSeconds: 20,
    warmupSeconds: 4,
    fleet: { organisation: 'fundacion', routers: 3, engines: 6, plainServices: 0, engineSettings: { slots: 4, tokenMilliseconds: 15, prefillMilliseconds: 100, cacheBlocks: 1024 } },
    load: { capacityShare, mix: shortAndLedgerMix },
    policies: { [policy]: { routerSettings: { routing: { policy: POLICIES[policy] } } } }
  })
  return createFleetExperiment(file).run(policy, context)
}
