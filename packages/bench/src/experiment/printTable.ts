import Table from 'cli-table3'
import type { ExperimentResult } from './experiment.js'

const SIGNIFICANT_DIGITS = 4

/** Short form of a figure for people. */
export function formatFigure (value: number): string {
  if (!Number.isFinite(value)) return '-'
  return Number.isInteger(value) ? String(value) : String(Number(value.toPrecision(SIGNIFICANT_DIGITS)))
}

/** Table of medians, with ratios to the baseline and their range. */
export function formatResultTable (result: ExperimentResult): string {
  const [baseline, ...others] = result.policies
  const table = new Table({ head: ['measure', `${baseline} (baseline)`, ...others.flatMap((policy) => [policy, 'ratio (range)'])], style: { head: [], border: [] } })
  for (const { measure, policies } of result.measures) {
    const [first, ...rest] = policies
    table.push([measure, formatFigure(first!.median), ...rest.flatMap(({ median, ratio }) => [
      formatFigure(median),
      ratio === undefined ? '-' : `${formatFigure(ratio.median)} (${formatFigure(ratio.lowest)} to ${formatFigure(ratio.highest)})`
    ])])
  }
  return table.toString()
}
