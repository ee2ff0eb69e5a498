/** Crashes of at least this many backend servers of a failure domain are attributed to the domain instead of to requests. */
const MIN_CORRELATED_BACKEND_SERVERS = 3
export const CORRELATION_WINDOW_MS = 1000

/** Crash of a backend server as observed by this instance. */
export interface ObservedCrash {
  readonly backendServer: string
  readonly failureDomain: string
  readonly fingerprints: readonly string[]
  /** Unix milliseconds. */
  readonly observedAt: number
}

/**
 * Returns the fingerprints of a crash that are exempted because of a correlated failure: at least 3 backend servers of one
 * failure domain crashed within 1 s, and the fingerprint was in flight on only one of them. A fingerprint in flight on
 * several of them may be the common cause.
 */
export function exemptedFingerprints (crash: ObservedCrash, crashes: readonly ObservedCrash[]): readonly string[] {
  if (crash.failureDomain === '') return []
  const correlated = crashes.filter((other) => other.failureDomain === crash.failureDomain && Math.abs(other.observedAt - crash.observedAt) <= CORRELATION_WINDOW_MS)
  if (new Set(correlated.map(({ backendServer }) => backendServer)).size < MIN_CORRELATED_BACKEND_SERVERS) return []
  const onOtherServers = new Set(correlated.filter((other) => other.backendServer !== crash.backendServer).flatMap(({ fingerprints }) => fingerprints))
  return crash.fingerprints.filter((fingerprint) => !onOtherServers.has(fingerprint))
}
