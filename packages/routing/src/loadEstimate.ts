/** A backend server's own report of its load. */
export interface LoadReport {
  /** Unix time in milliseconds at which the figures were true; earlier than the report's arrival. */
  readonly asOf: number
  /** Requests running, from all instances. */
  readonly running: number
  /** Requests waiting inside the backend server. */
  readonly queued: number
  /** Requests that it runs at once. */
  readonly slots: number
}

/** How long changes are remembered, milliseconds; reports older than this are not corrected. */
const HISTORY_MILLISECONDS = 10_000
/** Changes remembered at most, which bounds memory when requests are very short. */
const HISTORY_LIMIT = 4096
/** Weight of the newest report in the estimate of other instances' load; damps the herd that a plain copy causes. */
const NEWEST_REPORT_WEIGHT = 0.5

/** Number of this instance's requests at a backend server over the last seconds. */
export class OutstandingHistory {
  #changes: { readonly at: number, readonly outstanding: number }[] = []
  #outstanding = 0

  /** Requests outstanding now. */
  get outstanding (): number {
    return this.#outstanding
  }

  /** Records a start (+1) or an end (-1) at a Unix time in milliseconds. */
  change (by: 1 | -1, at: number): void {
    this.#outstanding += by
    this.#changes.push({ at, outstanding: this.#outstanding })
    const oldestKept = at - HISTORY_MILLISECONDS
    const stale = this.#changes.findIndex((change) => change.at >= oldestKept)
    // One change before the window is kept: it tells the count at the window's start.
    const surplus = Math.max(stale - 1, this.#changes.length - HISTORY_LIMIT)
    if (surplus > 0) this.#changes = this.#changes.slice(surplus)
  }

  /** Requests outstanding at a past Unix time in milliseconds. */
  at (time: number): number {
    const change = this.#changes.findLast((candidate) => candidate.at <= time)
    return change?.outstanding ?? 0
  }
}

/** Estimate of the load that other instances put on a backend server. */
export interface OthersEstimate {
  /** `asOf` of the newest report used. */
  readonly asOf: number
  /** Requests of other instances, running or queued there; smoothed over reports. */
  readonly outstanding: number
  /** The same from the newest report alone. */
  readonly observed: number
}

/**
 * Updates the estimate of other instances' load. The reported total contains this instance's requests as they were at
 * the report's as-of time, so these are subtracted; reports that are not newer are ignored.
 */
export function estimateOthers (previous: OthersEstimate | undefined, report: LoadReport, ownAtReport: number): OthersEstimate {
  if (previous !== undefined && report.asOf <= previous.asOf) return previous
  const observed = Math.max(0, report.running + report.queued - ownAtReport)
  if (previous === undefined) return { asOf: report.asOf, outstanding: observed, observed }
  const outstanding = previous.outstanding + NEWEST_REPORT_WEIGHT * (observed - previous.outstanding)
  return { asOf: report.asOf, outstanding, observed }
}

/**
 * Requests that this instance may have running at a backend server: what others leave idle, and never less than its
 * share of the slots, so that instances under overload settle at equal shares. Slots that come free are used from the next
 * report on; a growing load of others takes them back gradually.
 */
export function slotWindow (slots: number, others: OthersEstimate | undefined, sharingInstances: number): number {
  const share = Math.max(1, Math.ceil(slots / Math.max(1, sharingInstances)))
  const idle = slots - Math.round(others === undefined ? 0 : Math.min(others.outstanding, others.observed))
  return Math.min(slots, Math.max(share, idle))
}
