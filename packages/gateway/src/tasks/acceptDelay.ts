import { startAcceptQueue, type AcceptQueue } from '@quinceshunt/caller-connections'
import type { Metrics } from '@quinceshunt/telemetry'
import { steadyNow } from '../clock.js'
import type { DecisionLog } from './decisionLog.js'
import type { ProcessUsage } from './processUsage.js'

/** A quarter of the time within which callers expect an established connection. */
const REPORTED_DELAY_MS = 250
/** Between lines about the same long wait. */
const REPORT_INTERVAL_MS = 1000

/** Dependencies of the reports. */
export interface AcceptDelayOptions {
  /** At which callers connect, HOST:PORT. */
  readonly callersAddress: string
  readonly usage: ProcessUsage
  readonly metrics: Metrics
  readonly log: DecisionLog
}

/**
 * Starts to observe how long new connections of callers wait until this process accepts them; records `accept_delay` and logs
 * long ones. The readiness listener has a queue of its own, so that its answers don't tell.
 */
export function startAcceptDelay ({ callersAddress, usage, metrics, log }: AcceptDelayOptions): AcceptQueue {
  let isReported = false
  let reportsAgainAt = 0

  function report (milliseconds: number, isWaiting: boolean): void {
    const isLong = milliseconds >= REPORTED_DELAY_MS
    if (isLong ? steadyNow() < reportsAgainAt : isWaiting || !isReported) return
    isReported = isLong
    if (isLong) reportsAgainAt = steadyNow() + REPORT_INTERVAL_MS
    log.decision(isLong ? 'connectionsDelayed' : 'connectionsPrompt', { milliseconds, isWaiting, ...usage.sample() })
  }

  const [host = '', port = ''] = callersAddress.split(':')
  return startAcceptQueue({
    address: { host, port: Number(port) },
    now: steadyNow,
    onWait: (milliseconds, isWaiting) => {
      if (!isWaiting) metrics.record('accept_delay', milliseconds)
      report(milliseconds, isWaiting)
    },
    onError: (error) => log.decision('ownConnectionFailed', { address: callersAddress, reason: error.code ?? error.message })
  })
}
