import { PlatformFaultKind, PlatformServiceName, type SetFaultRequest } from '@quinceshunt/schemas'
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'

/** Faults to inject into one call. */
export interface CallFaults {
  /** Whether to refuse the call before it takes effect. */
  readonly refuse: boolean
  /** Delay before the call takes effect. */
  readonly delayMilliseconds: number
  /** Whether to apply the call and then drop the connection without a reply. */
  readonly loseReply: boolean
}

/** Active faults by service, instance and kind. */
export interface FaultTable {
  /** Sets a fault; the kind `NONE` clears all faults of that service and instance. */
  set (fault: SetFaultRequest): void
  /** Selects the faults of one call of an instance to a service; draws at random whether its reply is lost. */
  selectCallFaults (service: PlatformServiceName, instanceId: string): CallFaults
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

  function selectCallFaults (service: PlatformServiceName, instanceId: string): CallFaults {
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

  return { set, selectCallFaults }
}
