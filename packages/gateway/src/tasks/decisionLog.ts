import { destination, pino } from 'pino'

/** Lines of one kind that are written in a second; the rest are counted and the count is written. */
const MAX_LINES_PER_SECOND = 40
/** Bytes gathered before a write, so that a line costs no system call of its own. */
const WRITE_BUFFER_BYTES = 8192
/** Bytes held for a reader of standard output that doesn't keep up; further lines are dropped, never waited for. */
const MAX_BACKLOG_BYTES = 1_000_000
/** Interval at which gathered lines and counts of dropped lines are written, milliseconds. */
const FLUSH_INTERVAL_MS = 1000

/** Fields of a log line. Never a key or a body. */
export type LogFields = Readonly<Record<string, string | number | boolean | undefined>>

/** Structured log on standard output: one line for each decision, bounded in volume, never blocking. */
export interface DecisionLog {
  /** Always written: start, stop, reload, lost and regained dependencies, changes of belief. */
  event (name: string, fields: LogFields): void
  /** Written up to a rate; what is left out is counted by `name`. */
  decision (name: string, fields: LogFields): void
  warning (name: string, fields: LogFields): void
  flush (): void
}

/** What a log needs. */
export interface DecisionLogOptions {
  readonly instanceId: string
  readonly level: string
  /** Where lines go; standard output when absent. */
  readonly write?: (line: string) => void
  readonly now?: () => number
}

/** Creates the log of a process. */
export function createDecisionLog (options: DecisionLogOptions): DecisionLog {
  const now = options.now ?? Date.now
  const sink = options.write === undefined ? destination({ dest: 1, sync: false, minLength: WRITE_BUFFER_BYTES, maxLength: MAX_BACKLOG_BYTES }) : undefined
  const logger = pino(
    { level: options.level, base: { instance: options.instanceId }, timestamp: () => `,"time":${now()}` },
    sink ?? { write: options.write ?? (() => {}) }
  )
  const windows = new Map<string, { startedAt: number, written: number, dropped: number }>()

  function admitLine (name: string): boolean {
    const at = now()
    const window = windows.get(name) ?? { startedAt: at, written: 0, dropped: 0 }
    windows.set(name, window)
    if (at - window.startedAt >= 1000) reportDropped(name, window, at)
    if (window.written < MAX_LINES_PER_SECOND) {
      window.written++
      return true
    }
    window.dropped++
    return false
  }

  function reportDropped (name: string, window: { startedAt: number, written: number, dropped: number }, at: number): void {
    if (window.dropped > 0) logger.info({ event: 'linesDropped', of: name, count: window.dropped, since: window.startedAt })
    window.startedAt = at
    window.written = 0
    window.dropped = 0
  }

  const timer = setInterval(() => {
    const at = now()
    for (const [name, window] of windows) if (at - window.startedAt >= 1000) reportDropped(name, window, at)
    sink?.flush()
  }, FLUSH_INTERVAL_MS)
  timer.unref()

  return {
    event: (name, fields) => logger.info({ event: name, ...fields }),
    decision: (name, fields) => { if (admitLine(name)) logger.info({ event: name, ...fields }) },
    warning: (name, fields) => { if (admitLine(name)) logger.warn({ event: name, ...fields }) },
    flush: () => sink?.flushSync()
  }
}
