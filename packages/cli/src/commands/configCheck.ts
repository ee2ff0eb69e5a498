import type { DescMessage } from '@bufbuild/protobuf'
import { AdministrationSettingsSchema, BackendStandinSettingsSchema, CommandLineSettingsSchema, PlatformStandinSettingsSchema, RouterSettingsSchema } from '@quinceshunt/schemas'
import { loadSettings, type SettingsRule } from '@quinceshunt/settings'
import { exitCodes } from '../exitCodes.js'
import { defineOperation } from '../operation.js'
import { commandLineRules } from '../options.js'

interface SettingsKind {
  readonly schema: DescMessage
  readonly rules: readonly SettingsRule[]
}

const SETTINGS_KINDS: Readonly<Record<string, SettingsKind>> = {
  router: { schema: RouterSettingsSchema, rules: [] },
  administration: { schema: AdministrationSettingsSchema, rules: [] },
  'command-line': { schema: CommandLineSettingsSchema, rules: commandLineRules },
  'platform-standin': { schema: PlatformStandinSettingsSchema, rules: [] },
  'backend-standin': { schema: BackendStandinSettingsSchema, rules: [] }
}

export const configCheck = defineOperation({
  description: 'Check keys and types of a settings file; the process\'s own --check also checks its bounds',
  examples: ['config check --kind command-line examples/command-line.settings.yaml', 'config check --kind administration examples/administration.settings.yaml'],
  args: {
    file: { type: 'positional', required: true, description: 'Settings file (YAML)' },
    kind: { type: 'enum', options: Object.keys(SETTINGS_KINDS), required: true, description: 'Process that reads it' }
  },
  run: async (io, args) => {
    const settingsKind = SETTINGS_KINDS[args.kind]!
    loadSettings(args.file, settingsKind.schema, settingsKind.rules)
    io.writeOut(args.json ? `${JSON.stringify({ file: args.file, valid: true })}\n` : `${args.file}: keys and types are valid\n`)
    return exitCodes.done
  }
})
