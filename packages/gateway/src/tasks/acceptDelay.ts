import type { Metrics } from '@quinceshunt/telemetry'
import { connect, type Socket } from 'node:net'
import { steadyNow } from '../clock.js'
import type { DecisionLog } from './decisionLog.js'
import type { ProcessUsage } from './processUsage.js'

const CHECK_INTERVAL_MS = 1000
/** A quarter of the time within which callers expect an established connection. */
const REPORTED_DELAY_MS = 250

/** How long new connections of callers wait until this process accepts them. */
export interface AcceptDelay {
  /** Milliseconds for which the connection of the last check waited, or for which no connection of a check has been accepted. */
  readonly milliseconds: number
  /** To be called for each accepted connection; returns true for that of a check, which is closed. */
  claim (socket: Socket): boolean
  stop (): void
}

/** Dependencies of the checks. */
export interface AcceptDelayOptions {
  /** At which callers connect, HOST:PORT. */
  readonly callersAddress: string
  readonly usage: ProcessUsage
  readonly metrics: Metrics
  readonly log: DecisionLog
}

/**
 * Starts to connect to the callers' listener at an interval: each connection waits in the same queue as those of callers.
 * The readiness listener has a queue of its own, so that its answers don't tell. Records `accept_delay` and logs long ones.
 */
export function startAcceptDelay ({ callersAddress, usage, metrics, log }: AcceptDelayOptions): AcceptDelay {
  const [host = '', port = ''] = callersAddress.split(':')
  let milliseconds = 0
  /** Start of the first check since the last one that was accepted. */
  let waitingSince: number | undefined
  let isReported = false
  let open: Socket | undefined

  function check (): void {
    const now = steadyNow()
    if (open === undefined) openConnection(now)
    if (waitingSince !== undefined && now - waitingSince >= REPORTED_DELAY_MS) report(now - waitingSince, true)
  }

  function openConnection (now: number): void {
    waitingSince ??= now
    const socket = connect(Number(port), host)
    open = socket
    socket.on('error', (error: NodeJS.ErrnoException) => log.decision('ownConnectionFailed', { address: callersAddress, reason: error.code ?? error.message }))
    socket.on('close', () => { if (open === socket) open = undefined })
  }

  function report (delay: number, isWaiting: boolean): void {
    if (delay < REPORTED_DELAY_MS && !isReported) return
    isReported = delay >= REPORTED_DELAY_MS
    log.decision(isReported ? 'connectionsDelayed' : 'connectionsPrompt', { milliseconds: delay, isWaiting, ...usage.sample() })
  }

  function claim (socket: Socket): boolean {
    if (open === undefined || socket.remotePort !== open.localPort || socket.remotePort === undefined) return false
    const now = steadyNow()
    milliseconds = now - (waitingSince ?? now)
    waitingSince = undefined
    metrics.record('accept_delay', milliseconds)
    report(milliseconds, false)
    open.destroy()
    open = undefined
    socket.destroy()
    return true
  }

  const timer = setInterval(check, CHECK_INTERVAL_MS)
  timer.unref()
  return {
    get milliseconds () { return waitingSince === undefined ? milliseconds : Math.max(milliseconds, steadyNow() - waitingSince) },
    claim,
    stop: () => {
      clearInterval(timer)
      open?.destroy()
    }
  }
}
