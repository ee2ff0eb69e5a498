import type { DecisionLog, LogFields } from '../tasks/decisionLog.js'

/** A log that records its lines. */
export interface RecordingLog extends DecisionLog {
  readonly lines: readonly { readonly name: string, readonly fields: LogFields }[]
}

/** Creates a log that records its lines instead of writing them. */
export function createRecordingLog (): RecordingLog {
  const lines: { name: string, fields: LogFields }[] = []
  const record = (name: string, fields: LogFields): void => { lines.push({ name, fields }) }
  return { lines, event: record, decision: record, warning: record, flush: async () => true }
}
