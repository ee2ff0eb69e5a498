export interface LoadFigures {
  readonly running: number
  readonly queued: number
}

/** Load figures that readers see with a fixed lag. */
export interface LoadHistory {
  record (figures: LoadFigures, now: number): void
  /** Returns the figures as of one lag before `now`. */
  read (now: number): LoadFigures & { readonly asOf: number }
}

/** Creates a history whose first entry has no running or queued requests. */
export function createLoadHistory (lagMilliseconds: number): LoadHistory {
  let entries: (LoadFigures & { readonly at: number })[] = [{ at: 0, running: 0, queued: 0 }]

  function dropSuperseded (time: number): void {
    const visibleIndex = entries.findLastIndex((entry) => entry.at <= time)
    if (visibleIndex > 0) entries = entries.slice(visibleIndex)
  }

  return {
    record: (figures, now) => {
      entries.push({ ...figures, at: now })
      dropSuperseded(now - lagMilliseconds)
    },
    read: (now) => {
      const asOf = now - lagMilliseconds
      dropSuperseded(asOf)
      const { running, queued } = entries[0]!
      return { running, queued, asOf }
    }
  }
}
