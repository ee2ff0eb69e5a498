import { startFleet, type Fleet } from '@quinceshunt/scenarios'
import type { Measurements } from '../experiment/experiment.js'
import { mixes } from '../load/mixes.js'
import { planRequests } from '../load/planRequests.js'
import { sendPlan } from '../load/sendPlan.js'
import { pause, type Measurement } from './measurement.js'
import { ioBytes, processorSeconds } from './processUsage.js'

const FLEET_SIZES = [3, 6, 9]
const SETTLE_MILLISECONDS = 8000
const IDLE_MILLISECONDS = 10_000
const LOADED_MILLISECONDS = 10_000
const REQUESTS_PER_SECOND = 20
const SEED = 1

/** Mean cost of one router for control: processor time, and bytes sent and received to and from peers and platform. */
export const controlCost: Measurement = {
  name: 'controlCost',
  description: `mean of a router with ${FLEET_SIZES.join(', ')} routers, idle and at ${REQUESTS_PER_SECOND} requests/s; loaded processor time includes the requests`,
  run: async (note) => {
    const figures: Record<string, number> = {}
    for (const size of FLEET_SIZES) {
      note(`controlCost: ${size} routers`)
      Object.assign(figures, await measureSize(size))
    }
    return figures
  }
}

async function measureSize (size: number): Promise<Measurements> {
  const fleet = await startFleet({ routers: size, engines: 6, plainServices: 3, meterPlatform: true, routerSettings: { log: { level: 'error' } } })
  try {
    await pause(SETTLE_MILLISECONDS)
    const idle = await measureWhile(fleet, () => pause(IDLE_MILLISECONDS))
    const plan = planRequests({ seed: SEED, durationMilliseconds: LOADED_MILLISECONDS, requestsPerSecond: REQUESTS_PER_SECOND, mix: mixes.taller, accounts: fleet.accounts.map(({ id }) => ({ id, share: 1 })) })
    const loaded = await measureWhile(fleet, async () => { await sendPlan(plan, { fleet, pickRouter: (share) => fleet.routers[Math.floor(share * size)]! }) })
    return {
      [`idle${size}RoutersCorePercent`]: idle.corePercent,
      [`idle${size}RoutersPeerBytesPerSecond`]: idle.peerBytes,
      [`idle${size}RoutersPlatformBytesPerSecond`]: idle.platformBytes,
      [`idle${size}RoutersAllBytesPerSecond`]: idle.allBytes,
      [`loaded${size}RoutersCorePercent`]: loaded.corePercent,
      [`loaded${size}RoutersPeerBytesPerSecond`]: loaded.peerBytes,
      [`loaded${size}RoutersPlatformBytesPerSecond`]: loaded.platformBytes
    }
  } finally {
    await fleet.stop()
  }
}

interface Cost {
  readonly corePercent: number
  /** Each link between two routers counts for both of them. */
  readonly peerBytes: number
  readonly platformBytes: number
  /** All that the process reads and writes, the load reports of backend servers and the log included. */
  readonly allBytes: number
}

async function measureWhile (fleet: Fleet, work: () => Promise<void>): Promise<Cost> {
  const read = (): number[] => [
    sum(fleet, processorSeconds) * 100,
    2 * fleet.network.bytes(),
    fleet.platformBytes(),
    sum(fleet, ioBytes)
  ]
  const startedAt = Date.now()
  const before = read()
  await work()
  const after = read()
  const routerSeconds = fleet.routers.length * (Date.now() - startedAt) / 1000
  const [corePercent, peerBytes, platformBytes, allBytes] = after.map((value, index) => (value - before[index]!) / routerSeconds) as [number, number, number, number]
  return { corePercent, peerBytes, platformBytes, allBytes }
}

function sum (fleet: Fleet, read: (processId: number) => number): number {
  return fleet.routers.reduce((total, router) => total + read(router.process.processId), 0)
}
