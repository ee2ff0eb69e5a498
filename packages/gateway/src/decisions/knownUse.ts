import * as v from 'valibot'

const tokenCount = v.pipe(v.number(), v.minValue(0))

/** What a process knows of the use of one client account; sent with each message about its tokens. */
export const reportedUseSchema = v.object({
  /** ID of the process (incarnation). */
  process: v.string(),
  /** Tokens that callers of this process have used. */
  own: tokenCount,
  /** Lower bound of the tokens that callers of all processes have used. */
  total: tokenCount
})

/** What a process knows of the use of one client account. */
export type ReportedUse = v.InferOutput<typeof reportedUseSchema>

/**
 * Lower bound of the tokens of one client account that all instances have used for their callers.
 *
 * It shows when the balance can't cover a request any more. Tokens that are granted or reserved don't show that: they may come
 * back. Those of a process that ended without a report are not counted, so that a loss never makes an account look used up.
 */
export interface KnownUse {
  /** Adds use by callers of this process. */
  add (tokens: number): void
  /** Takes over what another process knows. */
  receive (report: ReportedUse): void
  /** Returns what this process knows. */
  report (): ReportedUse
  /** Lower bound of the use by callers of all processes. */
  readonly total: number
}

/** Reports of older processes are dropped beyond this number; the bound is lower then, and still true. */
const MAX_REPORTING_PROCESSES = 1000

/** Creates the knowledge of a process that has used nothing and was told nothing. */
export function createKnownUse (process: string): KnownUse {
  const reported = new Map<string, number>()
  let own = 0
  let reportedTotal = 0
  let raisedTotal = 0

  const total = (): number => Math.max(raisedTotal, own + reportedTotal)

  return {
    add: (tokens) => { own += tokens },
    receive: (report) => {
      raisedTotal = Math.max(raisedTotal, report.total)
      const known = reported.get(report.process) ?? 0
      if (report.own <= known) return
      reported.delete(report.process)
      reported.set(report.process, report.own)
      reportedTotal += report.own - known
      if (reported.size <= MAX_REPORTING_PROCESSES) return
      const [oldest, oldestTokens] = reported.entries().next().value ?? ['', 0]
      reported.delete(oldest)
      reportedTotal -= oldestTokens
    },
    report: () => ({ process, own, total: total() }),
    get total () { return total() }
  }
}
