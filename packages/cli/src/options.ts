import { CommandLineSettingsSchema } from '@quinceshunt/schemas'
import { loadSettings, type SettingsRule } from '@quinceshunt/settings'
import { CommandError, exitCodes } from './exitCodes.js'
import type { CommandIo } from './io.js'

/** Environment variable that names the settings file. */
export const SETTINGS_VARIABLE = 'QUINCESHUNT_SETTINGS'
/** Environment variable that holds the operator's key. It is not an option, because process lists show command lines. */
export const OPERATOR_KEY_VARIABLE = 'QUINCESHUNT_OPERATOR_KEY'

const ADDRESS_PATTERN = /^https?:\/\/[^/\s]+:\d{1,5}$/

/** Validation rules for the command line's settings. */
export const commandLineRules: readonly SettingsRule[] = [
  { kind: 'pattern', key: 'address', pattern: ADDRESS_PATTERN, allowed: 'expected http://IP:PORT of an administration process', optional: true }
]

/** Options of every command that calls the administration API. */
export const connectionArgs = {
  settings: { type: 'string', description: `Settings file (YAML); default: ${SETTINGS_VARIABLE} of the environment`, valueHint: 'FILE' },
  address: { type: 'string', description: 'http://IP:PORT of an administration process; overrides the settings', valueHint: 'ADDRESS' }
} as const

/** Address and credentials for the administration API. */
export interface ConnectionOptions {
  readonly address: string
  readonly operatorKey: string
  /** Certificate authority file; empty selects the system's certificate authorities. */
  readonly authorityFile: string
}

/** Merges options, environment and settings file; the file has the lowest precedence. */
export function resolveConnection (io: CommandIo, args: { readonly settings?: string | undefined, readonly address?: string | undefined }): ConnectionOptions {
  const file = args.settings ?? io.environment[SETTINGS_VARIABLE]
  const settings = file === undefined ? undefined : loadSettings(file, CommandLineSettingsSchema, commandLineRules)
  const address = args.address ?? settings?.address ?? ''
  const operatorKey = io.environment[OPERATOR_KEY_VARIABLE] ?? settings?.operatorKey ?? ''
  if (!ADDRESS_PATTERN.test(address)) throw new CommandError(exitCodes.usage, `address "${address}" is not allowed; give --address http://IP:PORT of an administration process, or --settings FILE with "address"`)
  if (operatorKey === '') throw new CommandError(exitCodes.usage, `no operator key is configured; set ${OPERATOR_KEY_VARIABLE}, or "operatorKey" in the settings file`)
  return { address, operatorKey, authorityFile: settings?.authorityFile ?? '' }
}

/** Parses an option as a whole number between inclusive bounds. */
export function parseWholeNumber (name: string, text: string, minimum: number, maximum: number): number {
  const value = /^\d{1,16}$/.test(text) ? Number(text) : Number.NaN
  if (value >= minimum && value <= maximum) return value
  throw new CommandError(exitCodes.usage, `--${name} "${text}" is not allowed; use a whole number from ${minimum} to ${maximum}`)
}

/** Requires exactly one of two options; returns whether it is the first. */
export function requireExactlyOne (first: string, firstGiven: boolean, second: string, secondGiven: boolean): boolean {
  if (firstGiven !== secondGiven) return firstGiven
  throw new CommandError(exitCodes.usage, `give either --${first} or --${second}`)
}
