/** So little that a gateway always has more to do than it can. */
const NO_PROCESSOR_SHARE = 0.0001

/** Options of a run. */
export interface SoakOptions {
  /** The first gateway has hardly any processor time, and forwards the connections of its callers to those with room. */
  readonly hasFullGateway?: boolean
}

/** Returns settings of a gateway. */
export function capacitySettings (index: number, { hasFullGateway = false }: SoakOptions): Record<string, unknown> {
  return hasFullGateway ? { processorShare: index === 0 ? NO_PROCESSOR_SHARE : 1 } : {}
}
