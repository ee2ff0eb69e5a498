#!/usr/bin/env node
import { defineCommand, runMain } from 'citty'
import { existsSync } from 'node:fs'
import { defaultAccounts, type Organisation } from '../fleet/fleetOptions.js'
import { keyOf } from '../fleet/fleetSheet.js'
import { OPERATOR_KEY } from '../fleet/memberSettings.js'
import { startFleet, type Fleet } from '../fleet/startFleet.js'
import { binaryFile } from '../launcher/binaries.js'
import { terminate } from '../launcher/startProcess.js'
import { runDemoChecks, SMALL_ACCOUNT, SMALL_BUDGET_TOKENS } from './demoChecks.js'

const STOP_MILLISECONDS = 30_000

const command = defineCommand({
  meta: { name: 'quinceshunt-demo', description: 'Runs a fleet with stand-ins of the platform and the backend servers' },
  args: {
    once: { type: 'boolean', default: false, description: 'Send a few calls, print their results as JSON and exit with 0 only if each was right' },
    organisation: { type: 'enum', options: ['taller', 'fundacion'], default: 'taller', description: 'Whose services and preferences' },
    routers: { type: 'string', default: '3', description: 'Number of routers, 1 to 9' },
    engines: { type: 'string', default: '2', description: 'Number of engines, 1 to 9' }
  },
  run: async ({ args }) => {
    const fleet = await startFleet({
      organisation: args.organisation as Organisation,
      routers: readCount('routers', args.routers),
      engines: readCount('engines', args.engines),
      plainServices: 1,
      administrations: existsSync(binaryFile('administration')) ? 1 : 0,
      accounts: [...defaultAccounts, { id: SMALL_ACCOUNT, budgetTokens: SMALL_BUDGET_TOKENS }]
    })
    if (args.once) return await runOnce(fleet)
    describe(fleet)
    process.once('SIGINT', () => { stop(fleet).then(() => process.exit(0), () => process.exit(1)) })
    process.once('SIGTERM', () => { stop(fleet).then(() => process.exit(0), () => process.exit(1)) })
  }
})

const LARGEST_COUNT = 9

function readCount (name: string, value: string): number {
  const count = Number(value)
  if (Number.isInteger(count) && count >= 1 && count <= LARGEST_COUNT) return count
  process.stderr.write(`--${name}: ${value} is not allowed; expected a whole number from 1 to ${LARGEST_COUNT}\n`)
  process.exit(2)
}

async function runOnce (fleet: Fleet): Promise<void> {
  const results = await runDemoChecks(fleet)
  await fleet.stop()
  process.stdout.write(`${JSON.stringify(results, null, 2)}\n`)
  process.exitCode = Object.values(results).every((result) => result.right) ? 0 : 1
}

function describe (fleet: Fleet): void {
  const account = fleet.accounts[0]!.id
  const body = JSON.stringify({ model: fleet.names.model, stream: true, messages: [{ role: 'user', content: 'Which red for a tiled roof?' }] })
  const lines = [
    ...fleet.routers.map((router) => `callers ${router.id}: ${router.address()}/v1  operations: ${router.address('operations')}`),
    ...fleet.engines.map((engine) => `engine ${engine.id}: ${engine.address()}`),
    ...fleet.plainServices.map((service) => `plain service ${service.id}: ${service.address()}`),
    ...fleet.administrations.map((administration) => `administration: ${administration.address()}  operator key: ${OPERATOR_KEY}`),
    `client account ${account}, key: ${keyOf(account)}`,
    `client account ${SMALL_ACCOUNT} (${SMALL_BUDGET_TOKENS} tokens), key: ${keyOf(SMALL_ACCOUNT)}`,
    'Try:',
    `curl -N ${fleet.routers[0]!.address()}/v1/chat/completions -H 'Authorization: Bearer ${keyOf(account)}' -H 'Content-Type: application/json' -d '${body}'`,
    'Ctrl-C stops the fleet.'
  ]
  process.stdout.write(`${lines.join('\n')}\n`)
}

/** Routers stop first and gracefully, while the platform still takes their bills. */
async function stop (fleet: Fleet): Promise<void> {
  await Promise.all(fleet.routers.map((router) => terminate(router.process, STOP_MILLISECONDS)))
  await fleet.stop()
}

await runMain(command)
