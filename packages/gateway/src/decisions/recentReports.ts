/** Row of a report, without its table. */
export interface ReportRow {
  readonly key: string
  readonly value: string
}

/** Reports that were learned lately: a store that is restored from an older copy may lack them, and their writer may have ended. */
export interface RecentReports {
  add (report: ReportRow, now: number): void
  /** Returns the reports that are not among the rows with these keys. */
  missingIn (keys: ReadonlySet<string>, now: number): readonly ReportRow[]
}

/** Longer than the age of a copy from which the store is restored. */
const MAX_AGE_MS = 60_000
const MAX_REPORTS = 2000

/** Creates an empty record. */
export function createRecentReports (): RecentReports {
  const reports = new Map<string, { readonly report: ReportRow, readonly forgetAt: number }>()

  function forgetOld (now: number): void {
    for (const [key, { forgetAt }] of reports) {
      if (forgetAt > now && reports.size <= MAX_REPORTS) return
      reports.delete(key)
    }
  }

  return {
    add: (report, now) => {
      reports.delete(report.key)
      reports.set(report.key, { report, forgetAt: now + MAX_AGE_MS })
      forgetOld(now)
    },
    missingIn: (keys, now) => {
      forgetOld(now)
      return [...reports.values()].map(({ report }) => report).filter(({ key }) => !keys.has(key))
    }
  }
}
