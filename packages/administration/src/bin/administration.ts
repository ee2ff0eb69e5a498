#!/usr/bin/env node
import { systemClock } from '@quinceshunt/effects'
import { connectPlatform } from '@quinceshunt/table-store'
import { SETTINGS_EXIT_CODE } from '@quinceshunt/settings'
import type { AdministrationSettings } from '@quinceshunt/schemas'
import { createLogger, SettingsError } from '@quinceshunt/telemetry'
import { defineCommand, runMain } from 'citty'
import { startAdministrationServer } from '../administrationServer.js'
import { loadAdministrationSettings } from '../options.js'
import { createRouterFleet } from '../routerFleet.js'

function loadOrExit (file: string): AdministrationSettings {
  try {
    return loadAdministrationSettings(file)
  } catch (error) {
    if (!(error instanceof SettingsError)) throw error
    process.stderr.write(`${error.message}\n`)
    process.exit(SETTINGS_EXIT_CODE)
  }
}

const command = defineCommand({
  meta: { name: 'quinceshunt-administration', description: 'Administration API of a router fleet' },
  args: {
    settings: { type: 'string', required: true, description: 'YAML settings file' },
    check: { type: 'boolean', default: false, description: 'Check the settings and exit' }
  },
  run: async ({ args }) => {
    const settings = loadOrExit(args.settings)
    if (args.check) {
      process.stdout.write(`${args.settings}: valid\n`)
      return
    }
    const { instanceId } = settings
    const logger = createLogger({ name: 'administration', instanceId, level: settings.log?.level ?? '' })
    const platform = connectPlatform({ address: settings.platform!.address, timeoutMilliseconds: settings.platform!.timeoutMilliseconds, instanceId })
    const fleet = createRouterFleet({ instances: platform.instances, addresses: settings.routerAddresses, tls: settings.peersTls, clock: systemClock, logger })
    const server = await startAdministrationServer(settings, { platform, fleet, fleetKey: settings.fleetKey, clock: systemClock, logger })
    process.once('SIGTERM', () => {
      server.stop().then(() => process.exit(0), (error: unknown) => {
        logger.error({ err: error, step: 'stop' }, 'shutdown failed')
        process.exit(1)
      })
    })
    process.stdout.write(`${JSON.stringify({ event: 'listening', address: server.address })}\n`)
  }
})

await runMain(command)
