import { destination, pino } from 'pino'
import { steadyNow } from '../clock.js'

/** Per event name; further lines are counted, and their count is logged. */
const MAX_LINES_PER_SECOND = 40
/** Lines are buffered, so that each one doesn't cost a system call. */
const WRITE_BUFFER_BYTES = 8192
/** Buffer for a slow reader of standard output; lines beyond it are dropped, as logging must not block. */
const MAX_BACKLOG_BYTES = 1_000_000
/** Interval at which buffered lines and the counts of dropped lines are written. */
const FLUSH_INTERVAL_MS = 1000

/** Fields of a log line. Must not contain keys or bodies. */
export type LogFields = Readonly<Record<string, string | number | boolean | undefined>>

/** Structured, rate-limited, non-blocking log on standard output, with one line per decision. */
export interface DecisionLog {
  /** Always written: start, stop, reload, lost and regained dependencies, other state changes. */
  event (name: string, fields: LogFields): void
  /** Rate-limited; dropped lines are counted by `name`. */
  decision (name: string, fields: LogFields): void
  warning (name: string, fields: LogFields): void
  /**
   * Writes the buffered lines; resolves with false when the reader of standard output has not taken them by the deadline. `process.exit`
   * then waits for that reader too.
   */
  flush (deadline: number): Promise<boolean>
}

/** Options of a log. */
export interface DecisionLogOptions {
  readonly instanceId: string
  readonly level: string
  /** Receives each line; defaults to standard output. */
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
    flush: async (deadline) => {
      if (sink === undefined) return true
      // The first flush ends with a write that was in progress, the second one writes the lines after it.
      const written = flushOnce(sink).then(async () => await flushOnce(sink)).then(() => true)
      return await Promise.race([written, pauseUntil(deadline).then(() => false)])
    }
  }
}

/** Settles also when standard output is closed; there is nobody for the lines then. */
function flushOnce (sink: ReturnType<typeof destination>): Promise<void> {
  return new Promise((resolve) => sink.flush(() => resolve()))
}

function pauseUntil (at: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, Math.max(0, at - steadyNow())))
}
