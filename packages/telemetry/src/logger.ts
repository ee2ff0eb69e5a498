import { destination, pino, type Logger } from 'pino'

export type { Logger }

/** Fields redacted from log lines: credentials and callers' content. */
const REDACTED_PATHS = ['key', 'authorization', 'body', 'headers.authorization', '*.authorization', '*.body', 'operatorKey', 'fleetKey']

/** Logger options of a process. */
export interface LoggerOptions {
  /** Name of the process, for example `router`. */
  readonly name: string
  /** Instance ID from the settings. */
  readonly instanceId: string
  /** Minimum level: trace, debug, info, warn or error; empty for info. */
  readonly level: string
}

/** Creates a structured logger that writes to standard error, so that standard output stays free for results. */
export function createLogger (options: LoggerOptions): Logger {
  return pino({
    name: options.name,
    level: options.level === '' ? 'info' : options.level,
    base: { instanceId: options.instanceId, processId: process.pid },
    redact: { paths: REDACTED_PATHS, censor: '[redacted]' }
  }, destination({ dest: 2, sync: true }))
}
