import type { RunResult } from './experiment.js'

/** Median and range of a set of values. */
export interface Spread {
  readonly median: number
  readonly lowest: number
  readonly highest: number
}

/** One measure under one policy. */
export interface PolicySummary extends Spread {
  readonly policy: string
  /** Values by repetition. */
  readonly values: readonly number[]
  /** Ratio to the baseline's value of the same repetition; undefined for the baseline and where the baseline is 0. */
  readonly ratio: Spread | undefined
}

/** One measure under all policies. */
export interface MeasureSummary {
  readonly measure: string
  readonly policies: readonly PolicySummary[]
}

/** Median, lowest and highest value; all NaN when there is none. */
export function computeSpread (values: readonly number[]): Spread {
  const sorted = values.toSorted((one, other) => one - other)
  const middleIndex = Math.floor(sorted.length / 2)
  const median = sorted.length % 2 === 1 ? sorted[middleIndex] : ((sorted[middleIndex - 1] ?? NaN) + (sorted[middleIndex] ?? NaN)) / 2
  return { median: median ?? NaN, lowest: sorted[0] ?? NaN, highest: sorted.at(-1) ?? NaN }
}

/** Summarises every measure by policy; the first policy is the baseline. */
export function summariseMeasures (policies: readonly string[], runs: readonly RunResult[]): MeasureSummary[] {
  const measures = [...new Set(runs.flatMap((run) => Object.keys(run.measurements)))]
  return measures.map((measure) => ({ measure, policies: policies.map((policy) => summarisePolicy(measure, policy, policies[0]!, runs)) }))
}

function summarisePolicy (measure: string, policy: string, baseline: string, runs: readonly RunResult[]): PolicySummary {
  const valueOf = (name: string, repetition: number): number | undefined =>
    runs.find((run) => run.policy === name && run.repetition === repetition)?.measurements[measure]
  const repetitions = [...new Set(runs.map((run) => run.repetition))]
  const values = repetitions.map((repetition) => valueOf(policy, repetition)).filter((value) => value !== undefined)
  const ratios = policy === baseline
    ? []
    : repetitions.map((repetition) => (valueOf(policy, repetition) ?? NaN) / (valueOf(baseline, repetition) ?? NaN)).filter(Number.isFinite)
  return { policy, values, ...computeSpread(values), ratio: ratios.length === 0 ? undefined : computeSpread(ratios) }
}
