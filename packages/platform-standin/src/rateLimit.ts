/** Spaces calls evenly; a rate of 0 is no limit. Returns the Unix milliseconds at which a call may take effect. */
export function createRateLimit (callsPerSecond: number): (now: number) => number {
  let freeAt = 0
  return (now) => {
    if (callsPerSecond === 0) return now
    const startsAt = Math.max(now, freeAt)
    freeAt = startsAt + 1000 / callsPerSecond
    return startsAt
  }
}
