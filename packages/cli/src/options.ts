import { CommandLineSettingsSchema } from '@quinceshunt/schemas'
import { loadSettings, type SettingsRule } from '@quinceshunt/settings'
import { CommandError, exitCodes } from './exitCodes.js'
import type { CommandIo } from './io.js'

/** Environment variable that names the settings file. */
export const SETTINGS_VARIABLE = 'QUINCESHUNT_SETTINGS'
/** Environment variable that holds the operator's key. A key on the command line would show in process lists. */
export const KEY_VARIABLE = 'QUINCESHUNT_OPERATOR_KEY'

const ADDRESS = /^https?:\/\/[^/\s]+:\d{1,5}$/

/** Bounds of the command line's settings. */
export const commandLineRules: readonly SettingsRule[] = [
  { kind: 'pattern', key: 'address', pattern: ADDRESS, allowed: 'expected http://IP:PORT of an administration process', optional: true }
]

/** Options of every command that calls the administration API. */
export const connectionArgs = {
  settings: { type: 'string', description: `Settings file (YAML); default: ${SETTINGS_VARIABLE} of the environment`, valueHint: 'FILE' },
  address: { type: 'string', description: 'http://IP:PORT of an administration process; overrides the settings', valueHint: 'ADDRESS' }
} as const

/** How to reach the administration API. */
export interface ConnectionOptions {
  readonly address: string
  readonly operatorKey: string
  /** Empty for the system's certificate authorities. */
  readonly authorityFile: string
}

/** Puts options, settings file and environment together. */
export function resolveConnection (io: CommandIo, args: { readonly settings?: string | undefined, readonly address?: string | undefined }): ConnectionOptions {
  const file = args.settings ?? io.environment[SETTINGS_VARIABLE]
  const settings = file === undefined ? undefined : loadSettings(file, CommandLineSettingsSchema, commandLineRules)
  const address = args.address ?? settings?.address ?? ''
  const operatorKey = io.environment[KEY_VARIABLE] ?? settings?.operatorKey ?? ''
  if (!ADDRESS.test(address)) throw new CommandError(exitCodes.usage, `address "${address}" is not allowed; give --address http://IP:PORT of an administration process, or --settings FILE with "address"`)
  if (operatorKey === '') throw new CommandError(exitCodes.usage, `there is no operator key; set ${KEY_VARIABLE}, or "operatorKey" in the settings file`)
  return { address, operatorKey, authorityFile: settings?.authorityFile ?? '' }
}

/** Reads a whole number from an option. */
export function parseWholeNumber (name: string, text: string, minimum: number, maximum: number): number {
  const value = /^\d{1,16}$/.test(text) ? Number(text) : Number.NaN
  if (value >= minimum && value <= maximum) return value
  throw new CommandError(exitCodes.usage, `--${name} "${text}" is not allowed; use a whole number from ${minimum} to ${maximum}`)
}

/** Which of two options was given; exactly one must be. */
export function chooseOne (first: string, firstGiven: boolean, second: string, secondGiven: boolean): boolean {
  if (firstGiven !== secondGiven) return firstGiven
  throw new CommandError(exitCodes.usage, `give either --${first} or --${second}`)
}
