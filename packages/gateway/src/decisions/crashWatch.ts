/** Crashes after which a request is no longer sent. */
const CRASH_LIMIT = 3
/** Time after which an unconfirmed suspicion ends, milliseconds; a crashing request is sent again within seconds. */
const SUSPICION_LIFETIME = 120_000
/** Fingerprints kept; the oldest are dropped first. */
const KEPT_FINGERPRINTS = 2000

/** Counts crashes by request fingerprint, from this instance's own sends and the reports of others. */
export interface CrashWatch {
  /** Counts one report once; `reportId` is unique in the fleet. */
  recordCrash (fingerprint: string, reportId: string, now: number): void
  /** A request that was answered is no crashing one, whatever broke beside it. */
  recordAnswer (fingerprint: string): void
  isQuarantined (fingerprint: string, now: number): boolean
  crashes (fingerprint: string): number
  /** False when no fingerprint needs to be worked out. */
  readonly hasSuspects: boolean
}

/** Creates an empty watch. */
export function createCrashWatch (): CrashWatch {
  const suspects = new Map<string, { readonly reports: Set<string>, until: number }>()
  const answered = new Set<string>()

  function trim (collection: Map<string, unknown> | Set<string>): void {
    while (collection.size > KEPT_FINGERPRINTS) {
      const oldest = collection.keys().next().value
      if (oldest === undefined) return
      collection.delete(oldest)
    }
  }

  return {
    recordCrash: (fingerprint, reportId, now) => {
      const suspect = suspects.get(fingerprint) ?? { reports: new Set<string>(), until: 0 }
      suspect.reports.add(reportId)
      suspect.until = now + SUSPICION_LIFETIME
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
      return suspect !== undefined && suspect.until > now && suspect.reports.size >= CRASH_LIMIT && !answered.has(fingerprint)
    },
    crashes: (fingerprint) => suspects.get(fingerprint)?.reports.size ?? 0,
    get hasSuspects () { return suspects.size > 0 }
  }
}
