import { destination, pino, type Logger } from 'pino'

export type { Logger }

/** Fields that never reach a log line: credentials, and callers' content. */
const REDACTED_PATHS = ['key', 'authorization', 'body', 'headers.authorization', '*.authorization', '*.body', 'operatorKey', 'fleetKey']

/** Settings of a process's log. */
export interface LoggerOptions {
  /** Name of the process, for example `router`. */
  readonly name: string
  /** Instance ID from the settings. */
  readonly instanceId: string
  /** Lowest level written: trace, debug, info, warn or error. */
  readonly level: string
}

/** Creates the structured log of a process, written to standard error so that standard output stays free for results. */
export function createLogger (options: LoggerOptions): Logger {
  return pino({
    name: options.name,
    level: options.level === '' ? 'info' : options.level,
    base: { instanceId: options.instanceId, processId: process.pid },
    redact: { paths: REDACTED_PATHS, censor: '[redacted]' }
  }, destination({ dest: 2, sync: true }))
}
