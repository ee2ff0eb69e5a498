import { Given, Then, When } from '@cucumber/cucumber'
import assert from 'node:assert/strict'
import { cpSync, mkdtempSync, readdirSync, readFileSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { parse, stringify } from 'yaml'
import { callService } from '../callers/callService.js'
import { createPrompt } from '../callers/findResponseFault.js'
import { sendChat } from '../callers/sendChat.js'
import type { Fleet } from '../fleet/startFleet.js'
import { binaryPath } from '../launcher/binaries.js'
import { runOperatorCommand, runCommand, type CommandResult } from './runCommand.js'
import { readDocumentedCommands, splitWords, type DocumentedCommand } from './readDocumentedCommands.js'
import { eventually } from './eventually.js'
import { FleetWorld } from './world.js'

const ACCOUNT_ID = 'colegio-santa-ines'
const BEARER_KEY = `key-${ACCOUNT_ID}.example-secret-key-${ACCOUNT_ID}`
const BUDGET_ID = `${ACCOUNT_ID}-2026`
const OPERATOR_ENVIRONMENT = { QUINCESHUNT_SETTINGS: 'examples/command-line.settings.yaml' }
const PREPARATION_TIMEOUT_MS = 20_000
const SHORT_ANSWER_TOKENS = 8

interface ExecutedCommand { readonly command: DocumentedCommand, readonly result: CommandResult }
type OperationsPageWorld = FleetWorld & { directory?: string, executed?: ExecutedCommand[] }

Given('a copy of the example files in a temporary directory', function (this: OperationsPageWorld) {
  this.directory = mkdtempSync(join(tmpdir(), 'quinceshunt-page-'))
  cpSync('examples', join(this.directory, 'examples'), { recursive: true })
})

Given('a fleet for the example sheet with 3 routers and 1 administration process', async function (this: OperationsPageWorld) {
  const { operators } = parse(readFileSync('examples/administration.settings.yaml', 'utf8')) as { operators: unknown }
  this.configure({ routers: 3, engines: 2, plainServices: 1, administrations: 1, applySheet: false, administrationSettings: { operators }, routerSettings: { budget: { leaseMilliseconds: 2000 } } })
  const fleet = await this.fleet()
  const folder = join(this.directory!, 'examples')
  // Replaces the example's backend servers by the stand-ins of this fleet.
  const addresses: Readonly<Record<string, string>> = { 9101: fleet.engines[0]!.address(), 9102: fleet.engines[1]!.address(), 9201: fleet.plainServices[0]!.address() }
  for (const name of readdirSync(folder).filter((file) => file.includes('.sheet.'))) {
    const text = readFileSync(join(folder, name), 'utf8')
    writeFileSync(join(folder, name), text.replace(/http:\/\/127\.0\.0\.1:(9101|9102|9201)\b/g, (_, port: string) => addresses[port]!))
  }
  const file = join(folder, 'command-line.settings.yaml')
  writeFileSync(file, stringify({ ...parse(readFileSync(file, 'utf8')) as object, address: fleet.administrations[0]!.address() }))
})

When('the documented commands are run in order', async function (this: OperationsPageWorld) {
  const fleet = await this.fleet()
  const environment: Record<string, string> = {}
  const executed: ExecutedCommand[] = []
  for (const command of readDocumentedCommands()) {
    const [program, ...words] = command.words
    if (program === 'export') {
      const [name, value] = words[0]!.split('=')
      environment[name!] = value!
      continue
    }
    await createPrecondition(this, fleet, command.line)
    const resolvedArguments = await Promise.all(words.map(async (word) => word === 'INCARNATION' ? await requireWithheldIncarnation(this) : word))
    const binary = program === 'quinceshunt' ? undefined : binaryPath(program === 'quinceshunt-router' ? 'router' : 'administration')
    executed.push({ command, result: await runCommand(resolvedArguments, { directory: this.directory!, environment }, binary) })
  }
  this.executed = executed
})

Then('each command ends with its documented exit code and prints output', function (this: OperationsPageWorld) {
  assert.ok(this.executed!.length > 0)
  const faults = this.executed!.filter(({ command, result }) => result.code !== command.exitCode || result.stdout + result.stderr === '')
    .map(({ command, result }) => `${command.line}\n  exit code ${result.code}, expected ${command.exitCode}: ${result.stderr}${result.stdout}`)
  assert.deepEqual(faults.join('\n'), '')
})

Then('every command of the command line was run', async function (this: OperationsPageWorld) {
  const { stdout } = await runCommand(['--help'])
  const names = [...stdout.matchAll(/^ {2}([a-z]+ [a-z-]+) {2}/gm)].map((match) => match[1]!)
  assert.ok(names.length > 0)
  assert.deepEqual(names.filter((name) => !this.executed!.some(({ command }) => command.line.startsWith(`quinceshunt ${name} `) || command.line === `quinceshunt ${name}`)), [])
})

Then('{string} ends with exit code {int} and the message {string}', async function (this: OperationsPageWorld, line: string, exitCode: number, message: string) {
  const fleet = await this.fleet()
  const result = await runOperatorCommand(fleet.administrations[0]!.address(), splitWords(line))
  assert.equal(result.code, exitCode, result.stderr)
  assert.ok(result.stderr.includes(message), result.stderr)
})

/** Creates the state that the operations page assumes before a command. */
async function createPrecondition (world: OperationsPageWorld, fleet: Fleet, line: string): Promise<void> {
  if (line.includes('budget resolve') && line.includes('--charge')) await causeWithheldTokens(world, fleet)
  const claim = /claim resolve .*--key (\S+)/.exec(line)
  if (claim !== null) await causeClaimWithUnknownOutcome(fleet, claim[1]!)
}

async function causeWithheldTokens (world: OperationsPageWorld, fleet: Fleet): Promise<void> {
  const router = fleet.member('router-1')
  await eventually(PREPARATION_TIMEOUT_MS, async () => {
    const response = await sendChat({ address: router.address(), key: BEARER_KEY, model: fleet.names.model, messages: createPrompt('hello', SHORT_ANSWER_TOKENS), maxTokens: SHORT_ANSWER_TOKENS })
    return response.complete ? undefined : `the response is ${response.status} ${response.error?.code ?? ''}`
  })
  await router.kill()
  await eventually(PREPARATION_TIMEOUT_MS, async () => await findWithheldIncarnation(world) === undefined ? 'no tokens are withheld' : undefined)
}

async function findWithheldIncarnation (world: OperationsPageWorld): Promise<string | undefined> {
  const result = await runCommand(['budget', 'show', BUDGET_ID, '--json'], { directory: world.directory!, environment: OPERATOR_ENVIRONMENT })
  const { leases } = JSON.parse(result.stdout) as { leases: { lease: { incarnation: string }, withheld: boolean }[] }
  return leases.find(({ withheld }) => withheld)?.lease.incarnation
}

async function requireWithheldIncarnation (world: OperationsPageWorld): Promise<string> {
  const incarnation = await findWithheldIncarnation(world)
  assert.ok(incarnation !== undefined, 'no tokens are withheld')
  return incarnation
}

/** The service crashes on the request, so it is unknown whether the request took effect. */
async function causeClaimWithUnknownOutcome (fleet: Fleet, idempotencyKey: string): Promise<void> {
  const service = fleet.plainServices[0]!
  if (service.process.hasExited()) await service.restart()
  await eventually(PREPARATION_TIMEOUT_MS, async () => {
    const response = await callService({ address: fleet.member('router-2').address(), key: BEARER_KEY, service: fleet.names.service, method: 'POST', path: fleet.names.actionPath, body: `${idempotencyKey} [crash]`, idempotencyKey })
    return response.error?.run === 'unknown' ? undefined : `the response is ${response.status} ${response.error?.code ?? ''}`
  })
}
