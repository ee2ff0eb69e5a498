/** Unix time at the start of the process, added so that readings resemble Unix milliseconds in logs. */
const startedAt = Date.now() - performance.now()

/** Returns milliseconds of the monotonic clock, offset by the Unix time at start. Wall-clock time may jump; deadlines must not. */
export function steadyNow (): number {
  return Math.floor(startedAt + performance.now())
}
