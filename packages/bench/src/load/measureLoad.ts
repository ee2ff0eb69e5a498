import { build, type Histogram } from 'hdr-histogram-js'
import type { Measurements } from '../experiment/experiment.js'
import type { SentRequest } from './sendPlan.js'

const MAX_TRACKABLE_MICROSECONDS = 600_000_000
const MICROSECONDS_PER_MILLISECOND = 1000
const PERCENTILES = [50, 95, 99] as const

/** Counts requests by result and measures latencies by request class; requests planned during the warm-up don't count. */
export function measureLoad (sent: readonly SentRequest[], warmupMilliseconds: number): Measurements {
  const counted = sent.filter((request) => request.planned.arrivalMilliseconds >= warmupMilliseconds)
  const count = (result: SentRequest['result']): number => counted.filter((request) => request.result === result).length
  return {
    requests: counted.length,
    answered: count('answered'),
    refused: count('refused'),
    broken: count('broken'),
    wrong: count('wrong'),
    ...countRefusals(counted),
    ...measureLatencies(counted),
    sendDelayP99Milliseconds: createLatencyHistogram(counted.map((request) => request.sendDelayMilliseconds)).getValueAtPercentile(99) / MICROSECONDS_PER_MILLISECOND
  }
}

function countRefusals (sent: readonly SentRequest[]): Measurements {
  const counts: Record<string, number> = {}
  for (const { detail } of sent.filter((request) => request.result === 'refused')) counts[`refused.${detail}`] = (counts[`refused.${detail}`] ?? 0) + 1
  return counts
}

function measureLatencies (sent: readonly SentRequest[]): Measurements {
  const measurements: Record<string, number> = {}
  const classNames = [...new Set(sent.map((request) => request.planned.requestClass.name))].sort()
  for (const name of classNames) {
    const classRequests = sent.filter((request) => request.planned.requestClass.name === name)
    const kind = classRequests[0]!.planned.requestClass.kind
    addPercentiles(measurements, `${name}.${kind === 'chat' ? 'firstToken' : 'answer'}`, classRequests.map((request) => request.firstTokenMilliseconds).filter((value) => value !== undefined))
    if (kind === 'chat') addPercentiles(measurements, `${name}.betweenTokens`, classRequests.flatMap((request) => request.betweenTokensMilliseconds))
  }
  return measurements
}

function addPercentiles (measurements: Record<string, number>, name: string, milliseconds: readonly number[]): void {
  if (milliseconds.length === 0) return
  const histogram = createLatencyHistogram(milliseconds)
  for (const percentile of PERCENTILES) measurements[`${name}P${percentile}Milliseconds`] = histogram.getValueAtPercentile(percentile) / MICROSECONDS_PER_MILLISECOND
}

/** Creates a histogram, with microsecond resolution, from values in milliseconds. */
export function createLatencyHistogram (milliseconds: readonly number[]): Histogram {
  const histogram = build({ highestTrackableValue: MAX_TRACKABLE_MICROSECONDS, numberOfSignificantValueDigits: 3, useWebAssembly: false })
  for (const value of milliseconds) histogram.recordValue(Math.min(MAX_TRACKABLE_MICROSECONDS, Math.max(0, Math.round(value * MICROSECONDS_PER_MILLISECOND))))
  return histogram
}
