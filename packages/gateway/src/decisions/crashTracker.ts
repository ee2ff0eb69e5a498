/** Crashes after which a request is no longer sent. */
const QUARANTINE_CRASH_COUNT = 3
/** Time after which an unconfirmed suspicion ends, milliseconds; a crashing request is sent again within seconds. */
const SUSPECT_TTL_MS = 120_000
/** Fingerprints kept; the oldest are dropped first. */
const MAX_FINGERPRINTS = 2000

/** Counts crashes by request fingerprint, from this instance's own sends and the reports of others. */
export interface CrashTracker {
  /** Counts one report once; `reportId` is unique in the fleet. */
  recordCrash (fingerprint: string, reportId: string, now: number): void
  /** A request that was answered is no crashing one, whatever broke beside it. */
  recordAnswer (fingerprint: string): void
  isQuarantined (fingerprint: string, now: number): boolean
  crashCount (fingerprint: string): number
  /** False when no fingerprint needs to be worked out. */
  readonly hasSuspects: boolean
}

/** Creates an empty watch. */
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
    recordAnswer: (fingerprint) => {
      suspects.delete(fingerprint)
      answered.add(fingerprint)
      trim(answered)
    },
    isQuarantined: (fingerprint, now) => {
      const suspect = suspects.get(fingerprint)
      return suspect !== undefined && suspect.until > now && suspect.reports.size >= QUARANTINE_CRASH_COUNT && !answered.has(fingerprint)
    },
    crashCount: (fingerprint) => suspects.get(fingerprint)?.reports.size ?? 0,
    get hasSuspects () { return suspects.size > 0 }
  }
}
