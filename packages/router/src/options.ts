import type { SettingsRule } from '@quinceshunt/settings'

const IP_PATTERN = /^(\d{1,3}(\.\d{1,3}){3}|[0-9a-f:]*:[0-9a-f:]+)$/i
const ADDRESS_PATTERN = /^https?:\/\/[^/\s]+:\d+$/
const MAX_PORT = 65_535

function listenerRules (prefix: string): SettingsRule[] {
  return [
    { kind: 'pattern', key: `${prefix}.host`, pattern: IP_PATTERN, allowed: 'expected an IP number, for example 127.0.0.1' },
    { kind: 'range', key: `${prefix}.port`, minimum: 0, maximum: MAX_PORT, fallback: 0 }
  ]
}

/** Validation rules and default values of the router settings. */
export const routerRules: readonly SettingsRule[] = [
  { kind: 'pattern', key: 'instanceId', pattern: /^[a-z0-9][a-z0-9-]{0,62}$/, allowed: 'expected 1 to 63 lower case letters, digits and hyphens' },
  { kind: 'required', key: 'failureDomain' },
  ...listenerRules('callers'),
  ...listenerRules('operations'),
  ...listenerRules('peers'),
  { kind: 'pattern', key: 'platform.address', pattern: ADDRESS_PATTERN, allowed: 'expected http://IP:PORT' },
  { kind: 'range', key: 'platform.timeoutMilliseconds', minimum: 50, maximum: 60_000, fallback: 2000 },
  { kind: 'pattern', key: 'advertisedPeerAddress', pattern: ADDRESS_PATTERN, allowed: 'expected http://IP:PORT or https://IP:PORT', optional: true },
  { kind: 'pattern', key: 'log.level', pattern: /^(trace|debug|info|warn|error)$/, allowed: 'expected trace, debug, info, warn or error', optional: true },
  { kind: 'range', key: 'trace.sampleRatio', minimum: 0, maximum: 1, fallback: 1 },
  { kind: 'pattern', key: 'fleetKey', pattern: /^.{16,}$/, allowed: 'expected at least 16 characters, the same for the whole fleet', secret: true },
  { kind: 'range', key: 'requestDeadlineMilliseconds', minimum: 100, maximum: 3_600_000, fallback: 120_000 },
  { kind: 'range', key: 'bodyLimitBytes', minimum: 1024, maximum: 67_108_864, fallback: 4_194_304 },
  { kind: 'range', key: 'stopDeadlineMilliseconds', minimum: 100, maximum: 600_000, fallback: 20_000 },
  { kind: 'range', key: 'isolatedAfterMilliseconds', minimum: 1000, maximum: 86_400_000, fallback: 60_000 },
  { kind: 'range', key: 'gossipIntervalMilliseconds', minimum: 50, maximum: 60_000, fallback: 2000 },
  { kind: 'range', key: 'sheetPollMilliseconds', minimum: 100, maximum: 600_000, fallback: 5000 },
  { kind: 'range', key: 'retryShare', minimum: 0, maximum: 1, fallback: 0.1 },
  // A budget setting of 0 selects the default of the refusal preference.
  { kind: 'range', key: 'budget.leaseMilliseconds', minimum: 1000, maximum: 3_600_000, fallback: 30_000 },
  { kind: 'range', key: 'budget.settleIntervalMilliseconds', minimum: 10, maximum: 60_000, fallback: 100 },
  { kind: 'range', key: 'budget.idleReturnMilliseconds', minimum: 0, maximum: 3_600_000, fallback: 0 },
  { kind: 'range', key: 'budget.allowanceMilliseconds', minimum: 0, maximum: 600_000, fallback: 0 },
  { kind: 'range', key: 'budget.smallestAllowanceTokens', minimum: 1, maximum: 1_000_000, fallback: 500 },
  { kind: 'range', key: 'budget.billWaitMilliseconds', minimum: 0, maximum: 60_000, fallback: 1000 },
  { kind: 'range', key: 'budget.refusalWaitMilliseconds', minimum: 0, maximum: 60_000, fallback: 0 },
  { kind: 'range', key: 'routing.queueLimit', minimum: 1, maximum: 10_000, fallback: 64 },
  { kind: 'range', key: 'routing.loadPollMilliseconds', minimum: 50, maximum: 60_000, fallback: 500 },
  { kind: 'range', key: 'routing.bulkShare', minimum: 0.1, maximum: 1, fallback: 0.5 },
  { kind: 'range', key: 'routing.bulkPromptBytes', minimum: 256, maximum: 67_108_864, fallback: 16_384 }
]
