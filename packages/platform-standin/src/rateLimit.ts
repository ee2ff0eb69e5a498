/** Creates a rate limit that spaces calls evenly; 0 disables it. It returns the Unix milliseconds at which a call may take effect. */
export function createRateLimit (callsPerSecond: number): (now: number) => number {
  let nextStartAt = 0
  return (now) => {
    if (callsPerSecond === 0) return now
    const startsAt = Math.max(now, nextStartAt)
    nextStartAt = startsAt + 1000 / callsPerSecond
    return startsAt
  }
}
