import type { EventLoopDelay } from '@quinceshunt/caller-connections'
import { processorTime } from '@quinceshunt/caller-connections'
import type { Metrics } from '@quinceshunt/telemetry'
import { steadyNow } from '../clock.js'
import type { DecisionLog, LogFields } from './decisionLog.js'
import type { LinkBytes, LinkUsage } from './linkUsage.js'
import type { MeasuredUse } from './measuredUse.js'
import type { PeerCalls } from './peerCalls.js'

const REPORT_INTERVAL_MS = 1000

/** How a request of a caller ended. `late`: its answer began after the latency target. */
export type CallerOutcome = 'served' | 'late' | 'refused' | 'exhausted' | 'failed' | 'callerLeft'

/** What the callers of this instance got, and what it used for that. One log line a second, while there are callers. */
export interface InstanceReport {
  noteRequest (request: { readonly account: string | undefined, readonly outcome: CallerOutcome, readonly milliseconds: number }): void
  /** A request waited for tokens. */
  noteTokenWait (milliseconds: number, isReserved: boolean): void
  /** The body of a request arrived this long after its headers were read. */
  noteBody (milliseconds: number): void
  stop (): void
}

/** What the listener for callers counts. */
export interface CallerCounts {
  readonly activeRequests: number
  readonly openConnections: number
  /** Since the process started. */
  readonly acceptedConnections: number
  /** Of these, those that were forwarded to peers. */
  readonly forwardedConnections: number
  /** Connections that peers forwarded, since the process started. */
  readonly receivedConnections: number
}

/** Dependencies of the report. */
export interface InstanceReportOptions {
  readonly failureDomain: string
  readonly log: DecisionLog
  readonly metrics: Metrics
  readonly link: LinkUsage
  readonly peerCalls: PeerCalls
  readonly eventLoopDelay: EventLoopDelay
  readonly callers: () => CallerCounts
  /** Receives what was used in the last second. */
  readonly onUse: (use: MeasuredUse) => void
}

interface Window {
  readonly outcomes: Map<CallerOutcome, number>
  readonly accounts: Map<string, number>
  requests: number
  milliseconds: number
  tokenWaits: number
  tokenWaitMilliseconds: number
  tokenRefusals: number
  bodyMilliseconds: number
}

function emptyWindow (): Window {
  return { outcomes: new Map(), accounts: new Map(), requests: 0, milliseconds: 0, tokenWaits: 0, tokenWaitMilliseconds: 0, tokenRefusals: 0, bodyMilliseconds: 0 }
}

function increment<Key> (counts: Map<Key, number>, key: Key): void {
  counts.set(key, (counts.get(key) ?? 0) + 1)
}

function totalOf (usage: Readonly<Record<string, LinkBytes>>): { readonly receivedBytes: number, readonly sentBytes: number } {
  const all = Object.values(usage)
  return { receivedBytes: all.reduce((sum, { received }) => sum + received, 0), sentBytes: all.reduce((sum, { sent }) => sum + sent, 0) }
}

/** Starts to report. */
export function startInstanceReport ({ failureDomain, log, metrics, link, peerCalls, eventLoopDelay, callers, onUse }: InstanceReportOptions): InstanceReport {
  let window = emptyWindow()
  let processorBefore = processorTime()
  let reportedAt = steadyNow()
  let countsBefore = { acceptedConnections: 0, forwardedConnections: 0, receivedConnections: 0 }

  function linkFields (usage: Readonly<Record<string, LinkBytes>>): LogFields {
    const fields: Record<string, number> = {}
    for (const [purpose, { received, sent }] of Object.entries(usage)) {
      metrics.count('link_bytes_total', { purpose, direction: 'received' }, received)
      metrics.count('link_bytes_total', { purpose, direction: 'sent' }, sent)
      fields[`${purpose}In`] = received
      fields[`${purpose}Out`] = sent
    }
    return fields
  }

  function peerCallFields (): LogFields {
    const fields: Record<string, string | number> = { peerCallsInProgress: peerCalls.inProgress }
    const calls = [...peerCalls.sample()]
    for (const [path, { sent, failed }] of calls) {
      metrics.count('peer_calls_total', { path, outcome: 'failed' }, failed)
      metrics.count('peer_calls_total', { path, outcome: 'sent' }, sent)
    }
    fields['peerCalls'] = calls.map(([path, { sent, failed }]) => `${path}:${sent}/${failed}`).join(' ')
    return fields
  }

  function report (): void {
    const now = steadyNow()
    const usage = link.sample()
    const [linkUse, calls, processor] = [linkFields(usage), peerCallFields(), processorTime()]
    const ended = window
    window = emptyWindow()
    const processorMilliseconds = Math.round(processor - processorBefore)
    const sampledMilliseconds = Math.round(now - reportedAt)
    processorBefore = processor
    reportedAt = now
    const { activeRequests, openConnections, ...counts } = callers()
    const newConnections = counts.acceptedConnections - countsBefore.acceptedConnections
    const forwarded = counts.forwardedConnections - countsBefore.forwardedConnections
    const received = counts.receivedConnections - countsBefore.receivedConnections
    countsBefore = counts
    metrics.gauge('peer_calls_in_progress', peerCalls.inProgress)
    onUse({ sampledMilliseconds, requests: ended.requests, forwarded, processorMilliseconds, ...totalOf(usage) })
    if (ended.requests + activeRequests + forwarded === 0) return
    const [topAccount, topAccountRequests] = [...ended.accounts].sort(([, left], [, right]) => right - left)[0] ?? []
    log.decision('instanceReport', {
      failureDomain,
      sampledMilliseconds,
      requests: ended.requests,
      ...Object.fromEntries(ended.outcomes),
      active: activeRequests,
      openConnections,
      newConnections,
      forwarded,
      received,
      meanMilliseconds: ended.requests === 0 ? undefined : Math.round(ended.milliseconds / ended.requests),
      topAccount,
      topAccountRequests,
      tokenWaits: ended.tokenWaits,
      tokenWaitMilliseconds: Math.round(ended.tokenWaitMilliseconds),
      tokenRefusals: ended.tokenRefusals,
      bodyMilliseconds: Math.round(ended.bodyMilliseconds),
      ...linkUse,
      ...calls,
      eventLoopDelayMilliseconds: eventLoopDelay.milliseconds,
      processorMilliseconds
    })
  }

  const timer = setInterval(report, REPORT_INTERVAL_MS)
  timer.unref()
  return {
    noteRequest: ({ account, outcome, milliseconds }) => {
      metrics.count('caller_requests_total', { failure_domain: failureDomain, outcome })
      window.requests++
      window.milliseconds += milliseconds
      increment(window.outcomes, outcome)
      if (account !== undefined) increment(window.accounts, account)
    },
    noteTokenWait: (milliseconds, isReserved) => {
      window.tokenWaits++
      window.tokenWaitMilliseconds += milliseconds
      if (!isReserved) window.tokenRefusals++
    },
    noteBody: (milliseconds) => { window.bodyMilliseconds += milliseconds },
    stop: () => {
      clearInterval(timer)
      link.stop()
    }
  }
}
