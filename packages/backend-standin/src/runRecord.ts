/** What became of one run. */
export type RunOutcome = 'running' | 'complete' | 'aborted'

/** One request as it reached this process. */
export interface Run {
  readonly requestId: string
  /** Idempotency-Key header, plain services only. */
  readonly idempotencyKey?: string
  /** Path, plain services only. */
  readonly path?: string
  readonly priority: string
  /** How many times this process has now been sent this request: 1 for the first. */
  readonly count: number
  /** Place in the order of arrival, from 1. */
  readonly order: number
  /** Unix milliseconds. */
  readonly arrivedAt: number
  /** Unix milliseconds; undefined while it waits. */
  startedAt?: number
  /** Unix milliseconds. */
  endedAt?: number
  promptTokens: number
  completionTokens: number
  outcome: RunOutcome
}

/** Runs kept for `/record`; the oldest are dropped first. */
const LARGEST_RECORD_RUNS = 200_000

/** Record of all runs, in the order of arrival. */
export interface RunRecord {
  /** Adds a run; `identity` is what makes two requests the same. */
  add (identity: string, run: Pick<Run, 'requestId' | 'idempotencyKey' | 'path' | 'priority' | 'promptTokens'>, now: number): Run
  readonly runs: readonly Run[]
}

/** Creates an empty record. */
export function createRunRecord (): RunRecord {
  const runs: Run[] = []
  const counts = new Map<string, number>()
  let order = 0
  return {
    runs,
    add: (identity, fields, now) => {
      const count = (counts.get(identity) ?? 0) + 1
      counts.set(identity, count)
      order++
      const run: Run = { ...fields, count, order, arrivedAt: now, completionTokens: 0, outcome: 'running' }
      runs.push(run)
      if (runs.length > LARGEST_RECORD_RUNS) runs.shift()
      return run
    }
  }
}
