import type { SettingsRule } from '@quinceshunt/settings'

const MAX_PORT = 65_535
const MAX_SLOTS = 1024
const MAX_LAG_MILLISECONDS = 600_000
/** Shorter steps would load the simulated engine's timer loop without benefit. */
const MIN_TOKEN_MILLISECONDS = 0.05
const MAX_DURATION_MILLISECONDS = 60_000
const MAX_CACHE_BLOCKS = 10_000_000
const MAX_SEED = 4_294_967_295

/** Validation rules and defaults for the backend server stand-in's settings. */
export const backendStandinRules: SettingsRule[] = [
  { kind: 'required', key: 'id' },
  { kind: 'required', key: 'kind' },
  { kind: 'required', key: 'target' },
  { kind: 'pattern', key: 'listen.host', pattern: /^[0-9a-f.:]+$/i, allowed: 'expected an IP number such as 127.0.0.1' },
  { kind: 'range', key: 'listen.port', minimum: 0, maximum: MAX_PORT, fallback: 0 },
  { kind: 'pattern', key: 'log.level', pattern: /^(trace|debug|info|warn|error)$/, allowed: 'expected trace, debug, info, warn or error', optional: true },
  { kind: 'range', key: 'slots', minimum: 1, maximum: MAX_SLOTS, fallback: 8 },
  { kind: 'range', key: 'tokenMilliseconds', minimum: MIN_TOKEN_MILLISECONDS, maximum: MAX_DURATION_MILLISECONDS, fallback: 5 },
  { kind: 'range', key: 'prefillMilliseconds', minimum: 0, maximum: MAX_DURATION_MILLISECONDS, fallback: 50 },
  { kind: 'range', key: 'cacheBlocks', minimum: 0, maximum: MAX_CACHE_BLOCKS, fallback: 4096 },
  { kind: 'range', key: 'loadReportLagMilliseconds', minimum: 0, maximum: MAX_LAG_MILLISECONDS, fallback: 0 },
  { kind: 'range', key: 'cacheEventLagMilliseconds', minimum: 0, maximum: MAX_LAG_MILLISECONDS, fallback: 0 },
  { kind: 'range', key: 'cacheEventLoss', minimum: 0, maximum: 1, fallback: 0 },
  { kind: 'range', key: 'seed', minimum: 0, maximum: MAX_SEED, fallback: 1 }
]
