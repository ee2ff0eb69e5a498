import type { SettingsRule } from '@quinceshunt/settings'

const MAX_PORT = 65_535
const MAX_LAG_MILLISECONDS = 600_000
const MAX_CALLS_PER_SECOND = 1_000_000

/** Validation rules and defaults for the platform stand-in's settings. */
export const platformStandinRules: SettingsRule[] = [
  { kind: 'pattern', key: 'listen.host', pattern: /^[0-9a-f.:]+$/i, allowed: 'expected an IP number such as 127.0.0.1' },
  { kind: 'range', key: 'listen.port', minimum: 0, maximum: MAX_PORT, fallback: 0 },
  { kind: 'pattern', key: 'log.level', pattern: /^(trace|debug|info|warn|error)$/, allowed: 'expected trace, debug, info, warn or error', optional: true },
  { kind: 'range', key: 'instanceListLagMilliseconds', minimum: 0, maximum: MAX_LAG_MILLISECONDS, fallback: 0 },
  { kind: 'range', key: 'writesPerSecond', minimum: 0, maximum: MAX_CALLS_PER_SECOND, fallback: 0 },
  { kind: 'range', key: 'readsPerSecond', minimum: 0, maximum: MAX_CALLS_PER_SECOND, fallback: 0 }
]
