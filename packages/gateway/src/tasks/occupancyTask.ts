import type { Metrics } from '@quinceshunt/telemetry'
import { steadyNow } from '../clock.js'
import { sentPerSecond, type FleetLoads } from '../decisions/fleetLoads.js'
import { nextOccupancy, shareToMove, type Occupancy } from '../decisions/occupancy.js'
import type { GatewaySettings } from '../settings.js'
import type { DecisionLog } from './decisionLog.js'
import type { Peer } from './fleetTask.js'
import { BYTES_PER_MEGABIT, type MeasuredUse } from './measuredUse.js'

/** Whether this instance has more callers than it can serve, and what it does about it. */
export interface OccupancyTask {
  /** Takes what was used in the last second. */
  note (use: MeasuredUse): void
  /** True when a caller's connection is to end with a response, as other instances have room. */
  shouldMoveCaller (): boolean
  /** True while new connections should go to other instances. */
  readonly isFull: boolean
}

/** Dependencies of the task. */
export interface OccupancyTaskOptions {
  readonly settings: Pick<GatewaySettings, 'failureDomain' | 'linkMegabitsPerSecond' | 'processorShare' | 'processorCores'>
  readonly loads: FleetLoads
  readonly services: () => readonly { readonly name: string }[]
  /** Instances of which `loads` tells, this one included: during a partition those on this side. */
  readonly instances: () => number
  /** The other instances. */
  readonly peers: () => readonly Peer[]
  readonly log: DecisionLog
  readonly metrics: Metrics
}

/** Starts with room. Without the capacities among the settings the instance is never full. */
export function createOccupancyTask ({ settings, loads, services, instances, peers, log, metrics }: OccupancyTaskOptions): OccupancyTask {
  let occupancy: Occupancy = { kind: 'room' }

  function part (used: number, available: number | undefined): number {
    return available === undefined ? 0 : used / available
  }

  return {
    note: ({ sampledMilliseconds, requests, forwarded, receivedBytes, sentBytes, processorMilliseconds }) => {
      const seconds = sampledMilliseconds / 1000
      const { linkMegabitsPerSecond, processorShare, processorCores } = settings
      const fleetRate = sentPerSecond(loads, services(), steadyNow())
      const use = {
        link: part(Math.max(receivedBytes, sentBytes) / seconds / BYTES_PER_MEGABIT, linkMegabitsPerSecond),
        processor: part(processorMilliseconds / sampledMilliseconds / processorCores, processorShare),
        timesMean: fleetRate === undefined || fleetRate === 0 ? undefined : (requests + forwarded) / seconds * instances() / fleetRate,
        othersInDomain: peers().filter(({ failureDomain }) => failureDomain === settings.failureDomain).length
      }
      const before = occupancy
      occupancy = nextOccupancy(before, use, steadyNow())
      metrics.gauge('instance_full', occupancy.kind === 'full' ? 1 : 0)
      if (before.kind !== occupancy.kind) log.event('occupancyChanged', { kind: occupancy.kind, link: use.link.toFixed(2), processor: use.processor.toFixed(2), timesMean: use.timesMean?.toFixed(1) })
    },
    shouldMoveCaller: () => Math.random() < shareToMove(occupancy, steadyNow()),
    get isFull () { return occupancy.kind === 'full' }
  }
}
