import { Given, Then, When } from '@cucumber/cucumber'
import assert from 'node:assert/strict'
import { cpSync, mkdtempSync, readdirSync, readFileSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { parse, stringify } from 'yaml'
import { callService } from '../callers/callService.js'
import { promptOf } from '../callers/checkAnswer.js'
import { sendChat } from '../callers/sendChat.js'
import type { Fleet } from '../fleet/startFleet.js'
import { binaryFile } from '../launcher/binaries.js'
import { runAt, runCommand, type CommandResult } from './administrationCommandLine.js'
import { readPageCommands, splitWords, type PageCommand } from './administrationPage.js'
import { eventually } from './eventually.js'
import { FleetWorld } from './world.js'

const ACCOUNT = 'colegio-santa-ines'
const KEY = `key-${ACCOUNT}.example-secret-key-${ACCOUNT}`
const BUDGET = `${ACCOUNT}-2026`
const OPERATOR = { QUINCESHUNT_SETTINGS: 'examples/command-line.settings.yaml' }
const PREPARED_MILLISECONDS = 20_000
const SHORT_TOKENS = 8

interface Ran { readonly command: PageCommand, readonly result: CommandResult }
type PageWorld = FleetWorld & { directory?: string, ran?: Ran[] }

Given('the files of the page in a directory of their own', function (this: PageWorld) {
  this.directory = mkdtempSync(join(tmpdir(), 'quinceshunt-page-'))
  cpSync('examples', join(this.directory, 'examples'), { recursive: true })
})

Given('a fleet for the example sheet with 3 routers and 1 administration process', async function (this: PageWorld) {
  const { operators } = parse(readFileSync('examples/administration.settings.yaml', 'utf8')) as { operators: unknown }
  this.configure({ routers: 3, engines: 2, plainServices: 1, administrations: 1, applySheet: false, administrationSettings: { operators }, routerSettings: { budget: { leaseMilliseconds: 2000 } } })
  const fleet = await this.fleet()
  const folder = join(this.directory!, 'examples')
  // The example's backend servers are the stand-ins of this fleet.
  const addresses: Readonly<Record<string, string>> = { 9101: fleet.engines[0]!.address(), 9102: fleet.engines[1]!.address(), 9201: fleet.plainServices[0]!.address() }
  for (const name of readdirSync(folder).filter((file) => file.includes('.sheet.'))) {
    const text = readFileSync(join(folder, name), 'utf8')
    writeFileSync(join(folder, name), text.replace(/http:\/\/127\.0\.0\.1:(9101|9102|9201)\b/g, (_, port: string) => addresses[port]!))
  }
  const file = join(folder, 'command-line.settings.yaml')
  writeFileSync(file, stringify({ ...parse(readFileSync(file, 'utf8')) as object, address: fleet.administrations[0]!.address() }))
})

When('the commands of the page are run in order', async function (this: PageWorld) {
  const fleet = await this.fleet()
  const environment: Record<string, string> = {}
  const ran: Ran[] = []
  for (const command of readPageCommands()) {
    const [program, ...words] = command.words
    if (program === 'export') {
      const [name, value] = words[0]!.split('=')
      environment[name!] = value!
      continue
    }
    await prepare(this, fleet, command.line)
    const filled = await Promise.all(words.map(async (word) => word === 'INCARNATION' ? await withheldIncarnation(this) : word))
    const binary = program === 'quinceshunt' ? undefined : binaryFile(program === 'quinceshunt-router' ? 'router' : 'administration')
    ran.push({ command, result: await runCommand(filled, { directory: this.directory!, environment }, binary) })
  }
  this.ran = ran
})

Then('each ended as the page says', function (this: PageWorld) {
  assert.ok(this.ran!.length > 0)
  const faults = this.ran!.filter(({ command, result }) => result.code !== command.exitCode || result.out + result.error === '')
    .map(({ command, result }) => `${command.line}\n  exit code ${result.code}, not ${command.exitCode}: ${result.error}${result.out}`)
  assert.deepEqual(faults.join('\n'), '')
})

Then('every command of the command line was run', async function (this: PageWorld) {
  const { out } = await runCommand(['--help'])
  const names = [...out.matchAll(/^ {2}([a-z]+ [a-z-]+) {2}/gm)].map((match) => match[1]!)
  assert.ok(names.length > 0)
  assert.deepEqual(names.filter((name) => !this.ran!.some(({ command }) => command.line.startsWith(`quinceshunt ${name} `) || command.line === `quinceshunt ${name}`)), [])
})

Then('{string} ends with exit code {int} and the message {string}', async function (this: PageWorld, line: string, exitCode: number, message: string) {
  const fleet = await this.fleet()
  const result = await runAt(fleet.administrations[0]!.address(), splitWords(line))
  assert.equal(result.code, exitCode, result.error)
  assert.ok(result.error.includes(message), result.error)
})

/** Brings about what the page says has happened before a command. */
async function prepare (world: PageWorld, fleet: Fleet, line: string): Promise<void> {
  if (line.includes('budget resolve') && line.includes('--charge')) await leaveTokensWithheld(world, fleet)
  const claim = /claim resolve .*--key (\S+)/.exec(line)
  if (claim !== null) await leaveClaimUnknown(fleet, claim[1]!)
}

async function leaveTokensWithheld (world: PageWorld, fleet: Fleet): Promise<void> {
  const router = fleet.member('router-1')
  await eventually(PREPARED_MILLISECONDS, async () => {
    const answer = await sendChat({ address: router.address(), key: KEY, model: fleet.names.model, messages: promptOf('hello', SHORT_TOKENS), maxTokens: SHORT_TOKENS })
    return answer.ended ? undefined : `the answer is ${answer.status} ${answer.error?.code ?? ''}`
  })
  await router.kill()
  await eventually(PREPARED_MILLISECONDS, async () => await findWithheld(world) === undefined ? 'nothing is withheld' : undefined)
}

async function findWithheld (world: PageWorld): Promise<string | undefined> {
  const result = await runCommand(['budget', 'show', BUDGET, '--json'], { directory: world.directory!, environment: OPERATOR })
  const { leases } = JSON.parse(result.out) as { leases: { lease: { incarnation: string }, withheld: boolean }[] }
  return leases.find(({ withheld }) => withheld)?.lease.incarnation
}

async function withheldIncarnation (world: PageWorld): Promise<string> {
  const incarnation = await findWithheld(world)
  assert.ok(incarnation !== undefined, 'nothing is withheld')
  return incarnation
}

/** The service crashes on the request; whether it took effect is not known. */
async function leaveClaimUnknown (fleet: Fleet, idempotencyKey: string): Promise<void> {
  const service = fleet.plainServices[0]!
  if (service.process.hasExited()) await service.restart()
  await eventually(PREPARED_MILLISECONDS, async () => {
    const answer = await callService({ address: fleet.member('router-2').address(), key: KEY, service: fleet.names.service, method: 'POST', path: fleet.names.actionPath, body: `${idempotencyKey} [crash]`, idempotencyKey })
    return answer.error?.run === 'unknown' ? undefined : `the answer is ${answer.status} ${answer.error?.code ?? ''}`
  })
}
