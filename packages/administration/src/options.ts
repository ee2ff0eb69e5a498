import { AdministrationSettingsSchema, OperatorRole, type AdministrationSettings, type OperatorSettings } from '@quinceshunt/schemas'
import { loadSettings, type SettingsRule } from '@quinceshunt/settings'
import { isAddress } from '@quinceshunt/sheet'
import { SettingsError } from '@quinceshunt/telemetry'

const MAX_PORT = 65_535
const MIN_FLEET_KEY_CHARACTERS = 16
const MIN_PLATFORM_TIMEOUT_MS = 100
const MAX_PLATFORM_TIMEOUT_MS = 60_000
const DEFAULT_PLATFORM_TIMEOUT_MS = 2000
const SHA256_PATTERN = /^[0-9a-f]{64}$/
const OPERATOR_NAME_PATTERN = /^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$/

/** Validation rules and defaults of the administration process's settings. */
export const administrationRules: readonly SettingsRule[] = [
  { kind: 'required', key: 'instanceId' },
  { kind: 'pattern', key: 'listen.host', pattern: /^[0-9a-f.:]+$/i, allowed: 'expected an IP number such as 127.0.0.1' },
  { kind: 'range', key: 'listen.port', minimum: 0, maximum: MAX_PORT, fallback: 0 },
  { kind: 'pattern', key: 'platform.address', pattern: /^https?:\/\/\S+:\d+$/, allowed: 'expected http://IP:PORT of the platform' },
  { kind: 'range', key: 'platform.timeoutMilliseconds', minimum: MIN_PLATFORM_TIMEOUT_MS, maximum: MAX_PLATFORM_TIMEOUT_MS, fallback: DEFAULT_PLATFORM_TIMEOUT_MS },
  { kind: 'pattern', key: 'log.level', pattern: /^(trace|debug|info|warn|error)$/, allowed: 'expected trace, debug, info, warn or error', optional: true }
]

/** Loads and validates the settings; throws a `SettingsError` that lists every problem. */
export function loadAdministrationSettings (file: string): AdministrationSettings {
  const settings = loadSettings(file, AdministrationSettingsSchema, administrationRules)
  const problems = [...checkFleetKey(settings.fleetKey), ...settings.routerAddresses.flatMap(checkRouterAddress), ...checkOperators(settings.operators)]
  if (problems.length > 0) throw new SettingsError(problems.map((problem) => `${file}: ${problem}`).join('\n'), { props: { step: 'check settings', peer: file } })
  return settings
}

/** Messages don't contain the fleet key, because it is a secret. */
function checkFleetKey (fleetKey: string): string[] {
  if (fleetKey.length >= MIN_FLEET_KEY_CHARACTERS) return []
  return [`fleetKey: a text of ${fleetKey.length} characters is not allowed; expected at least ${MIN_FLEET_KEY_CHARACTERS} characters, the same as in the routers' settings`]
}

function checkRouterAddress (address: string, index: number): string[] {
  return isAddress(address) ? [] : [`routerAddresses[${index}]: "${address}" is not allowed; expected http://IP:PORT of a router's peer listener`]
}

function checkOperators (operators: readonly OperatorSettings[]): string[] {
  if (operators.length === 0) return ['operators: nothing is not allowed; expected at least one operator']
  return operators.flatMap((operator, index) => {
    const path = `operators[${index}]`
    const problems: string[] = []
    if (!OPERATOR_NAME_PATTERN.test(operator.name)) problems.push(`${path}.name: "${operator.name}" is not allowed; expected letters, digits, ".", "_" or "-"`)
    if (operators.findIndex((other) => other.name === operator.name) !== index) problems.push(`${path}.name: "${operator.name}" is not allowed; the name is used already`)
    if (operator.role === OperatorRole.UNSPECIFIED) problems.push(`${path}.role: nothing is not allowed; expected OPERATOR_ROLE_READER, OPERATOR_ROLE_PLANNER or OPERATOR_ROLE_OPERATOR`)
    if (!SHA256_PATTERN.test(operator.keySha256)) problems.push(`${path}.keySha256: a text of ${operator.keySha256.length} characters is not allowed; expected the 64 hexadecimal digits of the key's SHA-256`)
    return problems
  })
}
