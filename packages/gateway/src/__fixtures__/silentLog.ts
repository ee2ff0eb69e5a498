import type { DecisionLog, LogFields } from '../tasks/decisionLog.js'

/** A log that keeps its lines. */
export interface KeptLog extends DecisionLog {
  readonly lines: readonly { readonly name: string, readonly fields: LogFields }[]
}

/** Creates a log that keeps its lines for a test. */
export function createKeptLog (): KeptLog {
  const lines: { name: string, fields: LogFields }[] = []
  const keep = (name: string, fields: LogFields): void => { lines.push({ name, fields }) }
  return { lines, event: keep, decision: keep, warning: keep, flush: () => {} }
}
