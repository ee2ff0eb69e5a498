import { AdministrationSettingsSchema, OperatorRole, type AdministrationSettings, type OperatorSettings } from '@quinceshunt/schemas'
import { loadSettings, type SettingsRule } from '@quinceshunt/settings'
import { isAddress } from '@quinceshunt/sheet'
import { SettingsError } from '@quinceshunt/telemetry'

const LARGEST_PORT = 65_535
const SHORTEST_FLEET_KEY = 16
const SMALLEST_TIMEOUT_MILLISECONDS = 100
const LARGEST_TIMEOUT_MILLISECONDS = 60_000
const DEFAULT_TIMEOUT_MILLISECONDS = 2000
const HASH = /^[0-9a-f]{64}$/
const OPERATOR_NAME = /^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$/

/** Bounds and fallbacks of the administration process's settings. */
export const administrationRules: readonly SettingsRule[] = [
  { kind: 'required', key: 'instanceId' },
  { kind: 'pattern', key: 'listen.host', pattern: /^[0-9a-f.:]+$/i, allowed: 'expected an IP number such as 127.0.0.1' },
  { kind: 'range', key: 'listen.port', minimum: 0, maximum: LARGEST_PORT, fallback: 0 },
  { kind: 'pattern', key: 'platform.address', pattern: /^https?:\/\/\S+:\d+$/, allowed: 'expected http://IP:PORT of the platform' },
  { kind: 'range', key: 'platform.timeoutMilliseconds', minimum: SMALLEST_TIMEOUT_MILLISECONDS, maximum: LARGEST_TIMEOUT_MILLISECONDS, fallback: DEFAULT_TIMEOUT_MILLISECONDS },
  { kind: 'pattern', key: 'log.level', pattern: /^(trace|debug|info|warn|error)$/, allowed: 'expected trace, debug, info, warn or error', optional: true }
]

/** Loads and checks the settings; throws a `SettingsError` that names every problem. */
export function loadAdministrationSettings (file: string): AdministrationSettings {
  const settings = loadSettings(file, AdministrationSettingsSchema, administrationRules)
  const problems = [...checkFleetKey(settings.fleetKey), ...settings.routerAddresses.flatMap(checkRouterAddress), ...checkOperators(settings.operators)]
  if (problems.length > 0) throw new SettingsError(problems.map((problem) => `${file}: ${problem}`).join('\n'), { props: { step: 'check settings', peer: file } })
  return settings
}

/** The fleet key is a secret and is not shown. */
function checkFleetKey (fleetKey: string): string[] {
  if (fleetKey.length >= SHORTEST_FLEET_KEY) return []
  return [`fleetKey: a text of ${fleetKey.length} characters is not allowed; expected at least ${SHORTEST_FLEET_KEY} characters, the same as in the routers' settings`]
}

function checkRouterAddress (address: string, index: number): string[] {
  return isAddress(address) ? [] : [`routerAddresses[${index}]: "${address}" is not allowed; expected http://IP:PORT of a router's peer listener`]
}

function checkOperators (operators: readonly OperatorSettings[]): string[] {
  if (operators.length === 0) return ['operators: nothing is not allowed; expected at least one operator']
  return operators.flatMap((operator, index) => {
    const key = `operators[${index}]`
    const problems: string[] = []
    if (!OPERATOR_NAME.test(operator.name)) problems.push(`${key}.name: "${operator.name}" is not allowed; expected letters, digits, ".", "_" or "-"`)
    if (operators.findIndex((other) => other.name === operator.name) !== index) problems.push(`${key}.name: "${operator.name}" is not allowed; the name is used already`)
    if (operator.role === OperatorRole.UNSPECIFIED) problems.push(`${key}.role: nothing is not allowed; expected OPERATOR_ROLE_READER, OPERATOR_ROLE_PLANNER or OPERATOR_ROLE_OPERATOR`)
    if (!HASH.test(operator.keySha256)) problems.push(`${key}.keySha256: a text of ${operator.keySha256.length} characters is not allowed; expected the 64 hexadecimal digits of the key's SHA-256`)
    return problems
  })
}
