const SAMPLE_INTERVAL_MS = 500

/** Delay of the process against its timers: how long events wait before they are handled. */
export interface EventLoopDelay {
  /** Delay of the last sample, milliseconds. */
  readonly milliseconds: number
}

/** Starts to sample the delay of this process; `onSample` gets each sample, in milliseconds. */
export function sampleEventLoopDelay (onSample: (milliseconds: number) => void): EventLoopDelay {
  let dueAt = performance.now() + SAMPLE_INTERVAL_MS
  let milliseconds = 0
  const timer = setInterval(() => {
    const now = performance.now()
    milliseconds = Math.max(0, Math.round(now - dueAt))
    dueAt = now + SAMPLE_INTERVAL_MS
    onSample(milliseconds)
  }, SAMPLE_INTERVAL_MS)
  timer.unref()
  return { get milliseconds () { return milliseconds } }
}
