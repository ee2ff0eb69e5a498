import { defineCommand, runMain } from 'citty'
import { planFaults, type PlannedFault } from './faultPlan.js'
import { runSoak } from './soakRun.js'

function write (line: Record<string, unknown>): void {
  process.stdout.write(`${JSON.stringify(line)}\n`)
}

/** Leaves out one fault after the other while a promise still breaks. */
async function shrink (plan: readonly PlannedFault[]): Promise<readonly PlannedFault[]> {
  let needed = plan
  for (const fault of plan) {
    const fewer = needed.filter((other) => other !== fault)
    if ((await runSoak(fewer)).broken.length > 0) needed = fewer
  }
  return needed
}

const command = defineCommand({
  meta: { name: 'quinceshunt-soak', description: 'Plays random faults against real gateway processes and checks what callers and backend servers see' },
  args: {
    first: { type: 'string', description: 'First seed; by default taken from the clock' },
    seeds: { type: 'string', default: '5', description: 'Number of seeds' },
    shrink: { type: 'boolean', default: false, description: 'Reduces the faults of a failing seed' }
  },
  run: async ({ args }) => {
    const first = args.first === undefined ? Date.now() % 1_000_000 : Number(args.first)
    const count = Number(args.seeds)
    if (!Number.isInteger(first) || !Number.isInteger(count)) throw new Error(`--first is "${args.first ?? ''}" and --seeds is "${args.seeds}"; both must be whole numbers`)
    let failed = 0
    for (let seed = first; seed < first + count; seed++) {
      const plan = planFaults(seed)
      const report = await runSoak(plan)
      write({ seed, faults: plan.map(({ kind, at }) => `${kind}@${at}`).join(' '), ...report })
      if (report.broken.length === 0) continue
      failed++
      if (args.shrink) write({ seed, neededFaults: await shrink(plan) })
    }
    write({ seeds: count, failed })
    process.exitCode = failed === 0 ? 0 : 1
  }
})

/** Runs the command line of the soak. */
export async function runSoakCommand (): Promise<void> {
  await runMain(command)
}
