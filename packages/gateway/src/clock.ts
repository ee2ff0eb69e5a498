/** Wall-clock time at the start of the process, so that readings look like Unix milliseconds in logs. */
const startedAt = Date.now() - performance.now()

/** Milliseconds of the steady clock, offset to the Unix time at start. The time of day may jump; deadlines must not. */
export function steadyNow (): number {
  return Math.floor(startedAt + performance.now())
}
