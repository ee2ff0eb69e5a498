const TICK_INTERVAL_MS = 10
/** Shorter delays are far below the bounds of all checks, and count in full as delays of the gateways. */
const MIN_STALL_MS = 50

/** Period in which this process did not run its event loop; times are Unix milliseconds. */
export interface EventLoopStall {
  readonly from: number
  readonly to: number
}

/** Recorder of this process's stalls. */
export interface StallRecorder {
  readonly stalls: readonly EventLoopStall[]
  stop (): void
}

/** Starts to record the periods in which this process gets no processor time or is busy, and thus sends, receives and closes nothing. */
export function recordStalls (): StallRecorder {
  const stalls: EventLoopStall[] = []
  let expectedAt = Date.now() + TICK_INTERVAL_MS
  const timer = setInterval(() => {
    const now = Date.now()
    if (now - expectedAt >= MIN_STALL_MS) stalls.push({ from: expectedAt, to: now })
    expectedAt = now + TICK_INTERVAL_MS
  }, TICK_INTERVAL_MS)
  return { stalls, stop: () => clearInterval(timer) }
}

/** Time of a period in which this process was stalled. */
export function stalledMilliseconds (stalls: readonly EventLoopStall[], from: number, to: number): number {
  return stalls.reduce((sum, stall) => sum + Math.max(0, Math.min(to, stall.to) - Math.max(from, stall.from)), 0)
}
