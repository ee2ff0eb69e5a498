import { PlatformFaultKind, PlatformServiceName, type SetFaultRequest } from '@quinceshunt/schemas'
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'

/** What happens to one call. */
export interface CallFate {
  /** Refuse the call before it takes effect. */
  readonly refuse: boolean
  /** Milliseconds to wait before the call takes effect. */
  readonly delayMilliseconds: number
  /** Apply the call, then drop the connection. */
  readonly loseReply: boolean
}

/** Faults in force, by service, instance and kind. */
export interface FaultTable {
  /** Sets a fault; the kind `NONE` clears all faults of that service and instance. */
  set (fault: SetFaultRequest): void
  /** Fate of one call of an instance to a service. */
  decide (service: PlatformServiceName, instanceId: string): CallFate
}

type Fault = Pick<SetFaultRequest, 'service' | 'kind' | 'instanceId' | 'delayMilliseconds' | 'probability'>

/** Creates an empty fault table; the seed decides which replies are lost. */
export function createFaultTable (seed: number): FaultTable {
  const random = xoroshiro128plus(seed)
  let faults: Fault[] = []

  function sameTarget (fault: Fault, other: Fault): boolean {
    const allServices = other.service === PlatformServiceName.UNSPECIFIED
    return (allServices || fault.service === other.service) && fault.instanceId === other.instanceId
  }

  function set (fault: Fault): void {
    const clearsAll = fault.kind === PlatformFaultKind.NONE
    faults = faults.filter((other) => !sameTarget(other, fault) || (!clearsAll && other.kind !== fault.kind))
    if (!clearsAll) faults.push(fault)
  }

  function decide (service: PlatformServiceName, instanceId: string): CallFate {
    const matching = faults.filter((fault) =>
      (fault.service === PlatformServiceName.UNSPECIFIED || fault.service === service) &&
      (fault.instanceId === '' || fault.instanceId === instanceId))
    const ofKind = (kind: PlatformFaultKind): Fault[] => matching.filter((fault) => fault.kind === kind)
    return {
      refuse: ofKind(PlatformFaultKind.DOWN).length > 0,
      delayMilliseconds: Math.max(0, ...ofKind(PlatformFaultKind.SLOW).map((fault) => fault.delayMilliseconds)),
      loseReply: ofKind(PlatformFaultKind.LOSE_REPLIES).some((fault) => uniformFloat64(random) < fault.probability)
    }
  }

  return { set, decide }
}
