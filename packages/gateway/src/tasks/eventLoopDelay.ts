import { sampleEventLoopDelay, type EventLoopDelay } from '@quinceshunt/caller-connections'
import type { Metrics } from '@quinceshunt/telemetry'
import type { DecisionLog } from './decisionLog.js'
import type { ProcessUsage } from './processUsage.js'

/** Half the time within which a backend server must be free of a departed caller's work. */
const REPORTED_DELAY_MS = 250

/** Starts to sample the delay, to record it as the metric `event_loop_delay`, and to log long ones. */
export function startEventLoopDelay (metrics: Metrics, log: DecisionLog, usage: ProcessUsage): EventLoopDelay {
  return sampleEventLoopDelay((milliseconds) => {
    metrics.record('event_loop_delay', milliseconds)
    if (milliseconds >= REPORTED_DELAY_MS) log.decision('processBehind', { milliseconds, ...usage.sample() })
  })
}
