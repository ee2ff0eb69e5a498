/**
 * Measures what an instance's callers have needed of one client account lately. Counted when a request comes, as its use is
 * settled only at the end of its answer, seconds later.
 */
export interface RecentDemand {
  add (tokens: number, now: number): void
  /** Tokens and requests of the last second. */
  sum (now: number): { readonly tokens: number, readonly requests: number }
}

const SLICE_MS = 100
const SLICES = 10

interface Slice { index: number, tokens: number, requests: number }

/** Creates a measure without requests. */
export function createRecentDemand (): RecentDemand {
  const slices: Slice[] = Array.from({ length: SLICES }, () => ({ index: -1, tokens: 0, requests: 0 }))
  return {
    add: (tokens, now) => {
      const index = Math.floor(now / SLICE_MS)
      const slice = slices[index % SLICES]
      if (slice === undefined) return
      if (slice.index !== index) Object.assign(slice, { index, tokens: 0, requests: 0 })
      slice.tokens += tokens
      slice.requests++
    },
    sum: (now) => {
      const oldest = Math.floor(now / SLICE_MS) - SLICES + 1
      const recent = slices.filter(({ index }) => index >= oldest)
      return { tokens: recent.reduce((sum, { tokens }) => sum + tokens, 0), requests: recent.reduce((sum, { requests }) => sum + requests, 0) }
    }
  }
}
