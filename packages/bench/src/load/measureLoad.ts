import { build, type Histogram } from 'hdr-histogram-js'
import type { Measurements } from '../experiment/experiment.js'
import type { SentRequest } from './sendPlan.js'

const HIGHEST_MICROSECONDS = 600_000_000
const MICROSECONDS = 1000
const PERCENTILES = [50, 95, 99] as const

/** Figures of the requests planned from `fromMilliseconds` on: counts by result, and latencies by class of request. */
export function measureLoad (sent: readonly SentRequest[], fromMilliseconds: number): Measurements {
  const counted = sent.filter((request) => request.planned.atMilliseconds >= fromMilliseconds)
  const count = (result: SentRequest['result']): number => counted.filter((request) => request.result === result).length
  return {
    requests: counted.length,
    answered: count('answered'),
    refused: count('refused'),
    broken: count('broken'),
    wrong: count('wrong'),
    ...countRefusals(counted),
    ...measureLatencies(counted),
    sendDelayP99Milliseconds: percentiles(counted.map((request) => request.sendDelayMilliseconds)).getValueAtPercentile(99) / MICROSECONDS
  }
}

function countRefusals (sent: readonly SentRequest[]): Measurements {
  const counts: Record<string, number> = {}
  for (const { detail } of sent.filter((request) => request.result === 'refused')) counts[`refused.${detail}`] = (counts[`refused.${detail}`] ?? 0) + 1
  return counts
}

function measureLatencies (sent: readonly SentRequest[]): Measurements {
  const figures: Record<string, number> = {}
  const names = [...new Set(sent.map((request) => request.planned.requestClass.name))].sort()
  for (const name of names) {
    const ofClass = sent.filter((request) => request.planned.requestClass.name === name)
    const kind = ofClass[0]!.planned.requestClass.kind
    addPercentiles(figures, `${name}.${kind === 'chat' ? 'firstToken' : 'answer'}`, ofClass.map((request) => request.firstTokenMilliseconds).filter((value) => value !== undefined))
    if (kind === 'chat') addPercentiles(figures, `${name}.betweenTokens`, ofClass.flatMap((request) => request.betweenTokensMilliseconds))
  }
  return figures
}

function addPercentiles (figures: Record<string, number>, name: string, milliseconds: readonly number[]): void {
  if (milliseconds.length === 0) return
  const histogram = percentiles(milliseconds)
  for (const percentile of PERCENTILES) figures[`${name}P${percentile}Milliseconds`] = histogram.getValueAtPercentile(percentile) / MICROSECONDS
}

/** Histogram of values in milliseconds, kept in microseconds. */
export function percentiles (milliseconds: readonly number[]): Histogram {
  const histogram = build({ highestTrackableValue: HIGHEST_MICROSECONDS, numberOfSignificantValueDigits: 3, useWebAssembly: false })
  for (const value of milliseconds) histogram.recordValue(Math.min(HIGHEST_MICROSECONDS, Math.max(0, Math.round(value * MICROSECONDS))))
  return histogram
}
