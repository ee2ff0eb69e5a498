/** Load as reported by a backend server. */
export interface LoadReport {
  /** Unix time in milliseconds at which the report was created; earlier than its arrival. */
  readonly asOf: number
  /** Running requests of all instances. */
  readonly running: number
  /** Requests in the backend server's own queue. */
  readonly queued: number
  /** Requests that it can run concurrently. */
  readonly slots: number
}

/** Time for which changes are kept; older reports are not corrected for this instance's requests. */
const HISTORY_RETENTION_MS = 10_000
/** Bounds memory when requests are very short. */
const MAX_HISTORY_ENTRIES = 4096
/** Weight of the newest report in the estimate of other instances' load; smoothing damps the herd effect of raw reports. */
const NEWEST_REPORT_WEIGHT = 0.5

/** Recent history of the number of this instance's requests outstanding at a backend server. */
export class OutstandingHistory {
  #changes: { readonly at: number, readonly outstanding: number }[] = []
  #outstanding = 0

  /** Requests outstanding now. */
  get outstanding (): number {
    return this.#outstanding
  }

  /** Unix time in milliseconds of the last start or end of a request; 0 for none. */
  get changedAt (): number {
    return this.#changes.at(-1)?.at ?? 0
  }

  /** Records the start (+1) or end (-1) of a request at a Unix time in milliseconds. */
  recordChange (delta: 1 | -1, at: number): void {
    this.#outstanding += delta
    this.#changes.push({ at, outstanding: this.#outstanding })
    const cutoff = at - HISTORY_RETENTION_MS
    const firstInWindow = this.#changes.findIndex((change) => change.at >= cutoff)
    // One change before the window is kept, as it holds the count at the start of the window.
    const dropCount = Math.max(firstInWindow - 1, this.#changes.length - MAX_HISTORY_ENTRIES)
    if (dropCount > 0) this.#changes = this.#changes.slice(dropCount)
  }

  /** Requests outstanding at a past Unix time in milliseconds. */
  outstandingAt (time: number): number {
    const change = this.#changes.findLast((candidate) => candidate.at <= time)
    return change?.outstanding ?? 0
  }
}

/** Estimated load of a backend server from other instances. */
export interface OtherInstancesLoad {
  /** `asOf` of the newest report used. */
  readonly asOf: number
  /** Requests running or queued there, smoothed over reports. */
  readonly outstanding: number
  /** Requests running or queued there according to the newest report alone. */
  readonly observed: number
}

/**
 * Updates the estimate of other instances' load. The reported total includes this instance's requests, so
 * `ownOutstanding`, their number at the report's `asOf`, is subtracted. Reports that are not newer are ignored.
 */
export function estimateOtherInstancesLoad (previous: OtherInstancesLoad | undefined, report: LoadReport, ownOutstanding: number): OtherInstancesLoad {
  if (previous !== undefined && report.asOf <= previous.asOf) return previous
  const observed = Math.max(0, report.running + report.queued - ownOutstanding)
  if (previous === undefined) return { asOf: report.asOf, outstanding: observed, observed }
  const outstanding = previous.outstanding + NEWEST_REPORT_WEIGHT * (observed - previous.outstanding)
  return { asOf: report.asOf, outstanding, observed }
}

/**
 * Concurrency limit of this instance at a backend server: the slots that other instances leave idle, but at least its
 * equal share, so that instances converge on equal shares under overload. Freed slots are used from the next report on;
 * growing load from other instances reduces the limit gradually.
 */
export function slotWindow (slots: number, others: OtherInstancesLoad | undefined, sharingInstances: number): number {
  const share = Math.max(1, Math.ceil(slots / Math.max(1, sharingInstances)))
  const idle = slots - Math.round(others === undefined ? 0 : Math.min(others.outstanding, others.observed))
  return Math.min(slots, Math.max(share, idle))
}
