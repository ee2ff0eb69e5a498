import { summarise, type MeasureSummary } from './statistics.js'

/** Named figures of one run; the unit is the end of the name, for example `ttftP95Milliseconds`. */
export type Measurements = Readonly<Record<string, number>>

/** What one run is given. */
export interface RunContext {
  /** Seed of this repetition: the same for all policies, so that they meet the same load. */
  readonly seed: number
  /** Repetition, from 0. */
  readonly repetition: number
  /** Prints progress for people. */
  readonly note: (text: string) => void
}

/** An experiment: the same run under two or more policies, the first of which is the baseline. */
export interface ExperimentDefinition {
  /** File name of the results: lower case letters, digits and hyphens. */
  readonly name: string
  /** What is compared and why, for the report. */
  readonly description: string
  readonly policies: readonly string[]
  readonly repetitions: number
  readonly seed: number
  /** Runs one policy once. It may simulate or start a fleet; all randomness comes from the seed. */
  run (policy: string, context: RunContext): Promise<Measurements>
}

/** One run and what it measured. */
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

/** Runs all policies in each repetition, in an order that alternates, so that drift of the machine hits all alike. */
export async function runExperiment (definition: ExperimentDefinition, note: (text: string) => void = () => undefined): Promise<ExperimentResult> {
  const startedAt = Date.now()
  const runs: RunResult[] = []
  for (let repetition = 0; repetition < definition.repetitions; repetition++) {
    const order = repetition % 2 === 0 ? definition.policies : definition.policies.toReversed()
    for (const policy of order) {
      note(`${definition.name}: repetition ${repetition + 1} of ${definition.repetitions}, ${policy}`)
      const measurements = await definition.run(policy, { seed: definition.seed + repetition, repetition, note })
      runs.push({ policy, repetition, measurements })
    }
  }
  const { name, description, policies, repetitions, seed } = definition
  return { name, description, policies, repetitions, seed, startedAt, runs, measures: summarise(policies, runs) }
}
