/** Backend servers of one failure domain whose crashes together are put down to the domain and not to requests. */
const BURST_BACKEND_SERVERS = 3
/** Time within which they crash, milliseconds. */
export const BURST_MILLISECONDS = 1000

/** A crash as this instance saw it. */
export interface SeenCrash {
  readonly backendServer: string
  readonly failureDomain: string
  readonly fingerprints: readonly string[]
  /** Unix milliseconds. */
  readonly at: number
}

/**
 * Fingerprints of a crash that a correlated failure exempts: at least 3 backend servers of one failure domain crashed
 * within 1 s, and the fingerprint was in flight on only one of them. What several of them ran may be the common cause.
 */
export function exemptedFingerprints (crash: SeenCrash, crashes: readonly SeenCrash[]): readonly string[] {
  if (crash.failureDomain === '') return []
  const burst = crashes.filter((other) => other.failureDomain === crash.failureDomain && Math.abs(other.at - crash.at) <= BURST_MILLISECONDS)
  if (new Set(burst.map(({ backendServer }) => backendServer)).size < BURST_BACKEND_SERVERS) return []
  const elsewhere = new Set(burst.filter((other) => other.backendServer !== crash.backendServer).flatMap(({ fingerprints }) => fingerprints))
  return crash.fingerprints.filter((fingerprint) => !elsewhere.has(fingerprint))
}
