import type { Metrics } from '@quinceshunt/telemetry'
import { steadyNow } from '../clock.js'
import type { DecisionLog } from './decisionLog.js'
import type { ProcessUsage } from './processUsage.js'

const SAMPLE_INTERVAL_MS = 500
/** Half the time within which a backend server must be free of a departed caller's work. */
const REPORTED_DELAY_MS = 250

/** Delay of the process against its timers: how long events wait before they are handled. */
export interface EventLoopDelay {
  /** Delay of the last sample, milliseconds. */
  readonly milliseconds: number
}

/** Starts to sample the delay, to record it as the metric `event_loop_delay`, and to log long ones. */
export function startEventLoopDelay (metrics: Metrics, log: DecisionLog, usage: ProcessUsage): EventLoopDelay {
  let dueAt = steadyNow() + SAMPLE_INTERVAL_MS
  let milliseconds = 0
  const timer = setInterval(() => {
    const now = steadyNow()
    milliseconds = Math.max(0, Math.round(now - dueAt))
    dueAt = now + SAMPLE_INTERVAL_MS
    metrics.record('event_loop_delay', milliseconds)
    if (milliseconds >= REPORTED_DELAY_MS) log.decision('processBehind', { milliseconds, ...usage.sample() })
  }, SAMPLE_INTERVAL_MS)
  timer.unref()
  return { get milliseconds () { return milliseconds } }
}
