import type { ReportedLoad } from '../ports.js'

/** What the other instances of the fleet have at one process of a backend server. */
export interface OthersLoad {
  /** Requests in progress. */
  readonly requests: number
  /** Prompt tokens of requests that have no response yet. */
  readonly unansweredTokens: number
  /** Mean of the natural logarithm of observed by expected time to the first byte, over `ratioCount` responses of the last seconds. */
  readonly logRatio: number
  readonly ratioCount: number
  /** The newest load report that any of them received. */
  readonly report: (ReportedLoad & { readonly receivedAt: number }) | undefined
  /** Time, by `steadyNow`, for which the figures hold. */
  readonly asOf: number
}

/** What all instances together, this one included, have at the backend servers of one service. */
export interface ServiceLoad {
  /** Mean for each listed process. */
  readonly requests: number
  readonly unansweredTokens: number
  /** Requests sent to the service in a second, and those that were rejected for lack of capacity. */
  readonly sentPerSecond: number
  readonly rejectedPerSecond: number
  /** Instances that have reported. */
  readonly instances: number
  readonly asOf: number
}

/** Load figures shared between instances; undefined where none are known. */
export interface FleetLoads {
  othersAt (backendProcess: string, now: number): OthersLoad | undefined
  service (name: string, now: number): ServiceLoad | undefined
}

/** Returns the requests that all instances together send in a second; undefined when that is not known of any service. */
export function sentPerSecond (loads: FleetLoads, services: readonly { readonly name: string }[], now: number): number | undefined {
  const known = services.flatMap(({ name }) => loads.service(name, now) ?? [])
  return known.length === 0 ? undefined : known.reduce((sum, service) => sum + service.sentPerSecond, 0)
}

/** For instances that don't share load figures. */
export const noFleetLoads: FleetLoads = { othersAt: () => undefined, service: () => undefined }
