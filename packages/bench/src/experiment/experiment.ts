import { summariseMeasures, type MeasureSummary } from './statistics.js'

/** Named values measured in one run; each name ends with its unit, for example `ttftP95Milliseconds`. */
export type Measurements = Readonly<Record<string, number>>

/** Inputs of one run. */
export interface RunContext {
  /** Seed of this repetition, shared by all policies so that they get the same load. */
  readonly seed: number
  /** Index of the repetition, from 0. */
  readonly repetition: number
  /** Prints a progress message. */
  readonly reportProgress: (text: string) => void
}

/** Compares the same run under two or more policies; the first policy is the baseline. */
export interface ExperimentDefinition {
  /** Base name of the result files: lower case letters, digits and hyphens. */
  readonly name: string
  /** Description for the report: what is compared and why. */
  readonly description: string
  readonly policies: readonly string[]
  readonly repetitions: number
  readonly seed: number
  /** Runs one policy once, on a simulation or a started fleet. All randomness must come from the seed. */
  run (policy: string, context: RunContext): Promise<Measurements>
}

/** Measurements of one run. */
export interface RunResult {
  readonly policy: string
  readonly repetition: number
  readonly measurements: Measurements
}

/** Result of an experiment. */
export interface ExperimentResult {
  readonly name: string
  readonly description: string
  readonly policies: readonly string[]
  readonly repetitions: number
  readonly seed: number
  /** Unix milliseconds. */
  readonly startedAt: number
  readonly runs: readonly RunResult[]
  readonly measures: readonly MeasureSummary[]
}

/** Runs all policies in each repetition, in alternating order, so that performance drift of the machine affects all policies equally. */
export async function runExperiment (definition: ExperimentDefinition, reportProgress: (text: string) => void = () => undefined): Promise<ExperimentResult> {
  const startedAt = Date.now()
  const runs: RunResult[] = []
  for (let repetition = 0; repetition < definition.repetitions; repetition++) {
    const policyOrder = repetition % 2 === 0 ? definition.policies : definition.policies.toReversed()
    for (const policy of policyOrder) {
      reportProgress(`${definition.name}: repetition ${repetition + 1} of ${definition.repetitions}, ${policy}`)
      const measurements = await definition.run(policy, { seed: definition.seed + repetition, repetition, reportProgress })
      runs.push({ policy, repetition, measurements })
    }
  }
  const { name, description, policies, repetitions, seed } = definition
  return { name, description, policies, repetitions, seed, startedAt, runs, measures: summariseMeasures(policies, runs) }
}
