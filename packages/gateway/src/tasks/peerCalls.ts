/** Messages to peers of one path since the last sample. */
export interface PeerCallCounts { sent: number, failed: number }

/** Counts the messages that this process sends to its peers. */
export interface PeerCalls {
  /** Notes that a message is sent; call the result once with its outcome. */
  begin (path: string): (outcome: 'answered' | 'failed') => void
  /** Returns the counts since the last call, by path. */
  sample (): ReadonlyMap<string, PeerCallCounts>
  /** Messages without an outcome. */
  readonly inProgress: number
}

/** Creates counts of no message. */
export function createPeerCalls (): PeerCalls {
  let counts = new Map<string, PeerCallCounts>()
  let inProgress = 0

  function countsOf (path: string): PeerCallCounts {
    const known = counts.get(path)
    if (known !== undefined) return known
    const created = { sent: 0, failed: 0 }
    counts.set(path, created)
    return created
  }

  return {
    begin: (path) => {
      inProgress++
      countsOf(path).sent++
      return (outcome) => {
        inProgress--
        if (outcome === 'failed') countsOf(path).failed++
      }
    },
    sample: () => {
      const sampled = counts
      counts = new Map()
      return sampled
    },
    get inProgress () { return inProgress }
  }
}
