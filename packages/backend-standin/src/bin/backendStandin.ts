#!/usr/bin/env node
import { BackendStandinSettingsSchema } from '@quinceshunt/schemas'
import { loadSettingsOrExit } from '@quinceshunt/settings'
import { createLogger } from '@quinceshunt/telemetry'
import { defineCommand, runMain } from 'citty'
import { CRASH_EXIT_CODE, startBackendServer } from '../backendServer.js'
import { backendStandinRules } from '../options.js'

const command = defineCommand({
  meta: { name: 'quinceshunt-backend-standin', description: 'Stand-in of a backend server: model engine or plain service' },
  args: {
    settings: { type: 'string', required: true, description: 'YAML settings file' },
    check: { type: 'boolean', default: false, description: 'Check the settings and exit' }
  },
  run: async ({ args }) => {
    const settings = loadSettingsOrExit(args.settings, BackendStandinSettingsSchema, backendStandinRules)
    if (args.check) return
    const logger = createLogger({ name: 'backend-standin', instanceId: settings.id, level: settings.log?.level ?? '' })
    const server = await startBackendServer(settings, () => process.exit(CRASH_EXIT_CODE))
    process.on('SIGUSR1', () => server.markLeaving())
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
