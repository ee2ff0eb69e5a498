import { startFleet, type Fleet } from '@quinceshunt/scenarios'
import type { Measurements } from '../experiment/experiment.js'
import { mixes } from '../load/mixes.js'
import { planRequests } from '../load/planRequests.js'
import { sendPlan } from '../load/sendPlan.js'
import { sleep, type Measurement } from './measurement.js'
import { ioBytes, processorSeconds } from './processUsage.js'

const FLEET_SIZES = [3, 6, 9]
const SETTLE_MILLISECONDS = 8000
const IDLE_MILLISECONDS = 10_000
const LOADED_MILLISECONDS = 10_000
const REQUESTS_PER_SECOND = 20
const SEED = 1

/** Measures the control-plane overhead of a router: processor time and traffic with peers and the platform. */
export const controlCost: Measurement = {
  name: 'controlCost',
  description: `mean per router in fleets of ${FLEET_SIZES.join(', ')} routers, idle and at ${REQUESTS_PER_SECOND} requests/s; processor time under load includes request handling`,
  run: async (reportProgress) => {
    const measurements: Record<string, number> = {}
    for (const size of FLEET_SIZES) {
      reportProgress(`controlCost: ${size} routers`)
      Object.assign(measurements, await measureFleetSize(size))
    }
    return measurements
  }
}

async function measureFleetSize (size: number): Promise<Measurements> {
  const fleet = await startFleet({ routers: size, engines: 6, plainServices: 3, countPlatformBytes: true, routerSettings: { log: { level: 'error' } } })
  try {
    await sleep(SETTLE_MILLISECONDS)
    const idle = await measureDuring(fleet, () => sleep(IDLE_MILLISECONDS))
    const plan = planRequests({ seed: SEED, durationMilliseconds: LOADED_MILLISECONDS, requestsPerSecond: REQUESTS_PER_SECOND, mix: mixes.taller, accounts: fleet.accounts.map(({ id }) => ({ id, share: 1 })) })
    const loaded = await measureDuring(fleet, async () => { await sendPlan(plan, { fleet, pickRouter: (share) => fleet.routers[Math.floor(share * size)]! }) })
    return {
      [`idle${size}RoutersCorePercent`]: idle.corePercent,
      [`idle${size}RoutersPeerBytesPerSecond`]: idle.peerBytesPerSecond,
      [`idle${size}RoutersPlatformBytesPerSecond`]: idle.platformBytesPerSecond,
      [`idle${size}RoutersAllBytesPerSecond`]: idle.allBytesPerSecond,
      [`loaded${size}RoutersCorePercent`]: loaded.corePercent,
      [`loaded${size}RoutersPeerBytesPerSecond`]: loaded.peerBytesPerSecond,
      [`loaded${size}RoutersPlatformBytesPerSecond`]: loaded.platformBytesPerSecond
    }
  } finally {
    await fleet.stop()
  }
}

interface RouterCost {
  readonly corePercent: number
  /** Traffic of a link between two routers counts for both. */
  readonly peerBytesPerSecond: number
  readonly platformBytesPerSecond: number
  /** All I/O of the process, including load reports of backend servers and the log. */
  readonly allBytesPerSecond: number
}

async function measureDuring (fleet: Fleet, work: () => Promise<void>): Promise<RouterCost> {
  const readCounters = (): number[] => [
    sumOverRouters(fleet, processorSeconds) * 100,
    2 * fleet.network.bytes(),
    fleet.platformBytes(),
    sumOverRouters(fleet, ioBytes)
  ]
  const startedAt = Date.now()
  const before = readCounters()
  await work()
  const after = readCounters()
  const routerSeconds = fleet.routers.length * (Date.now() - startedAt) / 1000
  const [corePercent, peerBytesPerSecond, platformBytesPerSecond, allBytesPerSecond] = after.map((value, index) => (value - before[index]!) / routerSeconds) as [number, number, number, number]
  return { corePercent, peerBytesPerSecond, platformBytesPerSecond, allBytesPerSecond }
}

function sumOverRouters (fleet: Fleet, read: (processId: number) => number): number {
  return fleet.routers.reduce((total, router) => total + read(router.process.processId), 0)
}
