/** Figures of a load report. */
export interface LoadFigures {
  readonly running: number
  readonly queued: number
}

/** Load figures that readers see one lag late. */
export interface LoadHistory {
  note (figures: LoadFigures, now: number): void
  read (now: number): LoadFigures & { readonly asOf: number }
}

/** Creates a history that starts idle. */
export function createLoadHistory (lagMilliseconds: number): LoadHistory {
  let entries: (LoadFigures & { readonly at: number })[] = [{ at: 0, running: 0, queued: 0 }]

  function forgetBefore (time: number): void {
    const visible = entries.findLastIndex((entry) => entry.at <= time)
    if (visible > 0) entries = entries.slice(visible)
  }

  return {
    note: (figures, now) => {
      entries.push({ ...figures, at: now })
      forgetBefore(now - lagMilliseconds)
    },
    read: (now) => {
      const asOf = now - lagMilliseconds
      forgetBefore(asOf)
      const { running, queued } = entries[0]!
      return { running, queued, asOf }
    }
  }
}
