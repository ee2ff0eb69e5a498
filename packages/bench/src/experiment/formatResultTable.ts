import Table from 'cli-table3'
import type { ExperimentResult } from './experiment.js'

const SIGNIFICANT_DIGITS = 4

/** Formats a number with at most four significant digits; integers keep all digits. */
export function formatNumber (value: number): string {
  if (!Number.isFinite(value)) return '-'
  return Number.isInteger(value) ? String(value) : String(Number(value.toPrecision(SIGNIFICANT_DIGITS)))
}

/** Formats a table of medians, with the ratios to the baseline and their ranges. */
export function formatResultTable (result: ExperimentResult): string {
  const [baseline, ...others] = result.policies
  const table = new Table({ head: ['measure', `${baseline} (baseline)`, ...others.flatMap((policy) => [policy, 'ratio (range)'])], style: { head: [], border: [] } })
  for (const { measure, policies } of result.measures) {
    const [baselineSummary, ...otherSummaries] = policies
    table.push([measure, formatNumber(baselineSummary!.median), ...otherSummaries.flatMap(({ median, ratio }) => [
      formatNumber(median),
      ratio === undefined ? '-' : `${formatNumber(ratio.median)} (${formatNumber(ratio.lowest)} to ${formatNumber(ratio.highest)})`
    ])])
  }
  return table.toString()
}
