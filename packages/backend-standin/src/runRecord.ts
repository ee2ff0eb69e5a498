export type RunOutcome = 'running' | 'complete' | 'aborted'

/** One request that this process received. */
export interface Run {
  readonly requestId: string
  /** Idempotency-Key header, plain services only. */
  readonly idempotencyKey?: string
  /** Path, plain services only. */
  readonly path?: string
  readonly priority: string
  /** Number of times that this process has received the request, including this one. */
  readonly count: number
  /** Position in order of arrival, from 1. */
  readonly order: number
  /** Unix milliseconds. */
  readonly arrivedAt: number
  /** Unix milliseconds; undefined while queued. */
  startedAt?: number
  /** Unix milliseconds; undefined until the run ends. */
  endedAt?: number
  promptTokens: number
  completionTokens: number
  outcome: RunOutcome
}

/** Runs kept for `/record`; the oldest are dropped first. */
const MAX_RECORDED_RUNS = 200_000

/** Record of runs in order of arrival. */
export interface RunRecord {
  /** Adds a run; requests with equal `identity` are counted as repetitions of one request. */
  add (identity: string, run: Pick<Run, 'requestId' | 'idempotencyKey' | 'path' | 'priority' | 'promptTokens'>, now: number): Run
  readonly runs: readonly Run[]
}

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
      if (runs.length > MAX_RECORDED_RUNS) runs.shift()
      return run
    }
  }
}
