#!/usr/bin/env node
import { defineCommand, runMain } from 'citty'
import { existsSync } from 'node:fs'
import { defaultAccounts, type Organisation } from '../fleet/fleetOptions.js'
import { bearerKeyOf } from '../fleet/fleetSheet.js'
import { OPERATOR_KEY } from '../fleet/memberSettings.js'
import { startFleet, type Fleet } from '../fleet/startFleet.js'
import { binaryPath } from '../launcher/binaries.js'
import { terminate } from '../launcher/startProcess.js'
import { runDemoChecks, SMALL_ACCOUNT, SMALL_BUDGET_TOKENS } from './demoChecks.js'

const ROUTER_STOP_TIMEOUT_MS = 30_000

const command = defineCommand({
  meta: { name: 'quinceshunt-demo', description: 'Runs a fleet with stand-ins for the platform and the backend servers' },
  args: {
    once: { type: 'boolean', default: false, description: 'Send a few requests, print the check results as JSON and exit with 0 only if all passed' },
    organisation: { type: 'enum', options: ['taller', 'fundacion'], default: 'taller', description: 'Organisation whose services and preferences are used' },
    routers: { type: 'string', default: '3', description: 'Number of routers, 1 to 9' },
    engines: { type: 'string', default: '2', description: 'Number of engines, 1 to 9' }
  },
  run: async ({ args }) => {
    const fleet = await startFleet({
      organisation: args.organisation as Organisation,
      routers: parseProcessCount('routers', args.routers),
      engines: parseProcessCount('engines', args.engines),
      plainServices: 1,
      administrations: existsSync(binaryPath('administration')) ? 1 : 0,
      accounts: [...defaultAccounts, { id: SMALL_ACCOUNT, budgetTokens: SMALL_BUDGET_TOKENS }]
    })
    if (args.once) return await runChecksAndExit(fleet)
    printFleet(fleet)
    process.once('SIGINT', () => { stopFleet(fleet).then(() => process.exit(0), () => process.exit(1)) })
    process.once('SIGTERM', () => { stopFleet(fleet).then(() => process.exit(0), () => process.exit(1)) })
  }
})

const MAX_PROCESS_COUNT = 9

function parseProcessCount (name: string, value: string): number {
  const count = Number(value)
  if (Number.isInteger(count) && count >= 1 && count <= MAX_PROCESS_COUNT) return count
  process.stderr.write(`--${name}: ${value} is not allowed; expected a whole number from 1 to ${MAX_PROCESS_COUNT}\n`)
  process.exit(2)
}

async function runChecksAndExit (fleet: Fleet): Promise<void> {
  const results = await runDemoChecks(fleet)
  await fleet.stop()
  process.stdout.write(`${JSON.stringify(results, null, 2)}\n`)
  process.exitCode = Object.values(results).every((result) => result.right) ? 0 : 1
}

function printFleet (fleet: Fleet): void {
  const account = fleet.accounts[0]!.id
  const body = JSON.stringify({ model: fleet.names.model, stream: true, messages: [{ role: 'user', content: 'Which red for a tiled roof?' }] })
  const lines = [
    ...fleet.routers.map((router) => `callers ${router.id}: ${router.address()}/v1  operations: ${router.address('operations')}`),
    ...fleet.engines.map((engine) => `engine ${engine.id}: ${engine.address()}`),
    ...fleet.plainServices.map((service) => `plain service ${service.id}: ${service.address()}`),
    ...fleet.administrations.map((administration) => `administration: ${administration.address()}  operator key: ${OPERATOR_KEY}`),
    `client account ${account}, key: ${bearerKeyOf(account)}`,
    `client account ${SMALL_ACCOUNT} (${SMALL_BUDGET_TOKENS} tokens), key: ${bearerKeyOf(SMALL_ACCOUNT)}`,
    'Try:',
    `curl -N ${fleet.routers[0]!.address()}/v1/chat/completions -H 'Authorization: Bearer ${bearerKeyOf(account)}' -H 'Content-Type: application/json' -d '${body}'`,
    'Ctrl-C stops the fleet.'
  ]
  process.stdout.write(`${lines.join('\n')}\n`)
}

/** Stops the routers gracefully first, while the platform still accepts their bills. */
async function stopFleet (fleet: Fleet): Promise<void> {
  await Promise.all(fleet.routers.map((router) => terminate(router.process, ROUTER_STOP_TIMEOUT_MS)))
  await fleet.stop()
}

await runMain(command)
