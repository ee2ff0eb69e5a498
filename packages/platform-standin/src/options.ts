import type { SettingsRule } from '@quinceshunt/settings'

const LARGEST_PORT = 65_535
const LARGEST_LAG_MILLISECONDS = 600_000
const LARGEST_RATE = 1_000_000

/** Bounds and fallbacks of the platform stand-in's settings. */
export const platformStandinRules: SettingsRule[] = [
  { kind: 'pattern', key: 'listen.host', pattern: /^[0-9a-f.:]+$/i, allowed: 'expected an IP number such as 127.0.0.1' },
  { kind: 'range', key: 'listen.port', minimum: 0, maximum: LARGEST_PORT, fallback: 0 },
  { kind: 'pattern', key: 'log.level', pattern: /^(trace|debug|info|warn|error)$/, allowed: 'expected trace, debug, info, warn or error', optional: true },
  { kind: 'range', key: 'instanceListLagMilliseconds', minimum: 0, maximum: LARGEST_LAG_MILLISECONDS, fallback: 0 },
  { kind: 'range', key: 'writesPerSecond', minimum: 0, maximum: LARGEST_RATE, fallback: 0 },
  { kind: 'range', key: 'readsPerSecond', minimum: 0, maximum: LARGEST_RATE, fallback: 0 }
]
