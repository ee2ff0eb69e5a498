import { defineCommand, runMain } from 'citty'
import { planFaultsAndLimits, planFaultsAndRestores, planBrittleness, planPartitions, planReleases, planSilences, type PlannedFault } from './faultPlan.js'
import type { SoakOptions } from './fullGateway.js'
import { planCrashes } from './planCrashes.js'
import { planFloods } from './planFloods.js'
import { runSoak } from './soakRun.js'

function writeLine (line: Record<string, unknown>): void {
  process.stdout.write(`${JSON.stringify(line)}\n`)
}

/** Removes faults one by one as long as a guarantee is still violated. */
async function shrink (plan: readonly PlannedFault[], options: SoakOptions): Promise<readonly PlannedFault[]> {
  let remaining = plan
  for (const fault of plan) {
    const candidate = remaining.filter((other) => other !== fault)
    if ((await runSoak(candidate, options)).broken.length > 0) remaining = candidate
  }
  return remaining
}

const command = defineCommand({
  meta: { name: 'quinceshunt-soak', description: 'Injects random faults into real gateway processes and checks the guarantees to callers and backend servers' },
  args: {
    first: { type: 'string', description: 'First seed; defaults to one derived from the current time' },
    seeds: { type: 'string', default: '5', description: 'Number of seeds' },
    silences: { type: 'boolean', default: false, description: 'Sound backend servers fall silent beside planned work, in place of all other faults' },
    releases: { type: 'boolean', default: false, description: 'Backend servers are released at several software versions beside the faults, and their streams break' },
    partitions: { type: 'boolean', default: false, description: 'Gateways are cut off from all backend servers beside the faults' },
    brittle: { type: 'boolean', default: false, description: 'Backend servers are full and fall over when they turn requests away, beside planned work' },
    floods: { type: 'boolean', default: false, description: 'Callers and backend servers flood the gateways beside planned work and kills' },
    crashes: { type: 'boolean', default: false, description: 'Backend servers are killed beside the faults, and some of their responses have neither a length nor chunks or come twice' },
    full: { type: 'boolean', default: false, description: 'The first gateway has hardly any processor time and forwards the connections of its callers' },
    restores: { type: 'boolean', default: true, description: 'Restores the store from older copies; --no-restores plays the plans of earlier versions' },
    shrink: { type: 'boolean', default: false, description: 'Searches for a smaller set of faults that still fails' }
  },
  run: async ({ args }) => {
    const first = args.first === undefined ? Date.now() % 1_000_000 : Number(args.first)
    const count = Number(args.seeds)
    if (!Number.isInteger(first) || !Number.isInteger(count)) throw new Error(`--first is "${args.first ?? ''}" and --seeds is "${args.seeds}"; both must be whole numbers`)
    let failed = 0
    for (let seed = first; seed < first + count; seed++) {
      const plan = args.crashes ? planCrashes(seed) : args.floods ? planFloods(seed) : args.brittle ? planBrittleness(seed) : args.partitions ? planPartitions(seed) : args.releases ? planReleases(seed) : args.silences ? planSilences(seed) : args.restores ? planFaultsAndRestores(seed) : planFaultsAndLimits(seed)
      const options = { hasFullGateway: args.full }
      const report = await runSoak(plan, options)
      writeLine({ seed, faults: plan.map(({ kind, at }) => `${kind}@${at}`).join(' '), ...report })
      if (report.broken.length === 0) continue
      failed++
      if (args.shrink) writeLine({ seed, neededFaults: await shrink(plan, options) })
    }
    writeLine({ seeds: count, failed })
    process.exitCode = failed === 0 ? 0 : 1
  }
})

/** Runs the soak's command line. */
export async function runSoakCommand (): Promise<void> {
  await runMain(command)
}
