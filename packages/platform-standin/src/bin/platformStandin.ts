#!/usr/bin/env node
import { PlatformStandinSettingsSchema } from '@quinceshunt/schemas'
import { loadSettingsOrExit } from '@quinceshunt/settings'
import { createLogger } from '@quinceshunt/telemetry'
import { defineCommand, runMain } from 'citty'
import { platformStandinRules } from '../options.js'
import { startPlatformServer } from '../platformServer.js'

const command = defineCommand({
  meta: { name: 'quinceshunt-platform-standin', description: 'Stand-in of the platform: table service, object store, instance list' },
  args: {
    settings: { type: 'string', required: true, description: 'YAML settings file' },
    check: { type: 'boolean', default: false, description: 'Check the settings and exit' }
  },
  run: async ({ args }) => {
    const settings = loadSettingsOrExit(args.settings, PlatformStandinSettingsSchema, platformStandinRules)
    if (args.check) return
    const logger = createLogger({ name: 'platform-standin', instanceId: 'platform', level: settings.log?.level ?? '' })
    const server = await startPlatformServer(settings)
    process.once('SIGTERM', () => {
      server.stop().then(() => process.exit(0), (error: unknown) => {
        logger.error({ error }, 'stopping failed')
        process.exit(1)
      })
    })
    process.stdout.write(`${JSON.stringify({ event: 'listening', address: server.address })}\n`)
  }
})

await runMain(command)
