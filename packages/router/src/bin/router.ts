#!/usr/bin/env node
import { RouterSettingsSchema } from '@quinceshunt/schemas'
import { loadSettingsOrExit } from '@quinceshunt/settings'
import { defineCommand, runMain } from 'citty'
import { routerRules } from '../options.js'
import { startRouter } from '../router.js'

/** EX_TEMPFAIL: bills or claims could neither be written nor handed over. */
const LOST_RECORDS_EXIT_CODE = 75

const command = defineCommand({
  meta: { name: 'quinceshunt-router', description: 'Routes callers to backend servers against prepaid token budgets' },
  args: {
    settings: { type: 'string', description: 'settings file (YAML)', required: true },
    check: { type: 'boolean', description: 'check the settings file and do nothing else' }
  },
  run: async ({ args }) => {
    const settings = loadSettingsOrExit(args.settings, RouterSettingsSchema, routerRules)
    if (args.check === true) {
      process.stdout.write(`${args.settings}: valid\n`)
      return
    }
    const router = await startRouter(settings)
    process.stdout.write(`${JSON.stringify({ event: 'listening', ...router.addresses })}\n`)
    let stopping = false
    const stop = (): void => {
      if (stopping) return
      stopping = true
      router.stop().then(({ lostRecords }) => process.exit(lostRecords === 0 ? 0 : LOST_RECORDS_EXIT_CODE))
    }
    process.on('SIGTERM', stop)
    process.on('SIGINT', stop)
  }
})

runMain(command)
