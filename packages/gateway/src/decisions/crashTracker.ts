/** Crashes after which a request is quarantined. */
const QUARANTINE_CRASH_COUNT = 3
/** Time without a further crash after which a suspect is cleared; callers resend a crashing request within seconds. */
const SUSPECT_TTL_MS = 120_000
/** The oldest fingerprints are evicted first. */
const MAX_FINGERPRINTS = 2000

/** Counts crashes by request fingerprint, from this instance's own attempts and the reports of other instances. */
export interface CrashTracker {
  /** Counts each `reportId` once; IDs are unique in the fleet. */
  recordCrash (fingerprint: string, reportId: string, now: number): void
  /** Clears a request that was answered: the crashes were caused by other requests on the same backend servers. */
  recordResponse (fingerprint: string): void
  /** Time until which the request is quarantined; undefined when it is not. */
  quarantinedUntil (fingerprint: string, now: number): number | undefined
  crashCount (fingerprint: string): number
  /** When false, callers can skip computing fingerprints. */
  readonly hasSuspects: boolean
}

/** Creates a tracker without suspects. */
export function createCrashTracker (): CrashTracker {
  const suspects = new Map<string, { readonly reports: Set<string>, until: number }>()
  const answered = new Set<string>()

  function trim (collection: Map<string, unknown> | Set<string>): void {
    while (collection.size > MAX_FINGERPRINTS) {
      const oldest = collection.keys().next().value
      if (oldest === undefined) return
      collection.delete(oldest)
    }
  }

  return {
    recordCrash: (fingerprint, reportId, now) => {
      const suspect = suspects.get(fingerprint) ?? { reports: new Set<string>(), until: 0 }
      suspect.reports.add(reportId)
      suspect.until = now + SUSPECT_TTL_MS
      suspects.set(fingerprint, suspect)
      trim(suspects)
    },
    recordResponse: (fingerprint) => {
      suspects.delete(fingerprint)
      answered.add(fingerprint)
      trim(answered)
    },
    quarantinedUntil: (fingerprint, now) => {
      const suspect = suspects.get(fingerprint)
      const isQuarantined = suspect !== undefined && suspect.until > now && suspect.reports.size >= QUARANTINE_CRASH_COUNT && !answered.has(fingerprint)
      return isQuarantined ? suspect.until : undefined
    },
    crashCount: (fingerprint) => suspects.get(fingerprint)?.reports.size ?? 0,
    get hasSuspects () { return suspects.size > 0 }
  }
}
