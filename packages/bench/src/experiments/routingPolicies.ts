import type { ExperimentDefinition, Measurements, RunContext } from '../experiment/experiment.js'
import { experimentFileSchema } from '../fleet/experimentFile.js'
import { createFleetExperiment } from '../fleet/fleetExperiment.js'
import type { RequestClass } from '../load/mixes.js'

/** Load levels: shares of the engines' estimated capacity. */
const CAPACITY_SHARES = [0.5, 0.9, 1.2] as const
/** Measures kept, by the end of their names; the rest is the fleet experiment's own. */
const KEPT_MEASURES = /^(requests|answered|refused|broken|wrong|.*\.firstTokenP(50|95)Milliseconds|sendDelayP99Milliseconds)$/

/** Short questions beside whole-ledger reads; 20 ledgers, of which one engine's cache holds about five. */
const shortAndLedger: readonly RequestClass[] = [
  { kind: 'chat', name: 'ledgerRead', share: 4, streamed: true, documentBytes: 48_000, documents: 2, questionBytes: 300, answerTokens: [100, 200] },
  { kind: 'chat', name: 'short', share: 46, streamed: true, documentBytes: 500, documents: 1, questionBytes: 150, answerTokens: [20, 70] }
]

const POLICIES = { roundRobin: 'ROUTING_POLICY_ROUND_ROBIN', leastOutstanding: 'ROUTING_POLICY_LEAST_OUTSTANDING', scored: 'ROUTING_POLICY_SCORED' } as const

/** Time to first token of short requests and ledger reads under three routing policies at three levels of load. */
export const experiment: ExperimentDefinition = {
  name: 'routing-policies-by-load',
  description: 'Time to first token of short requests beside whole-ledger reads at 50, 90 and 120% of capacity: scored routing against round robin and least outstanding, open-loop arrivals.',
  policies: Object.keys(POLICIES),
  repetitions: 3,
  seed: 11,
  run: async (policy, context) => {
    const figures: Record<string, number> = {}
    for (const share of CAPACITY_SHARES) {
      const measured = await measureAt(share, policy as keyof typeof POLICIES, context)
      const kept = Object.entries(measured).filter(([name]) => KEPT_MEASURES.test(name))
      for (const [name, value] of kept) figures[`at${Math.round(share * 100)}.${name}`] = value
    }
    return figures
  }
}

function measureAt (capacityShare: number, policy: keyof typeof POLICIES, context: RunContext): Promise<Measurements> {
  const file = experimentFileSchema.parse({
    name: 'routing-policies-by-load',
    durationSeconds: 20,
    warmupSeconds: 4,
    fleet: { organisation: 'fundacion', routers: 3, engines: 6, plainServices: 0, engineSettings: { slots: 4, tokenMilliseconds: 15, prefillMilliseconds: 100, cacheBlocks: 1024 } },
    load: { capacityShare, mix: shortAndLedger },
    policies: { [policy]: { routerSettings: { routing: { policy: POLICIES[policy] } } } }
  })
  return createFleetExperiment(file).run(policy, context)
}
