import { spawn } from 'node:child_process'
import { mkdtempSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { OPERATOR_KEY } from '../fleet/memberSettings.js'

const BINARY = fileURLToPath(new URL('../../../cli/lib/bin/quinceshunt.js', import.meta.url))
/** Above the longest wait of a command. */
const COMMAND_MILLISECONDS = 90_000

/** How a command line ended. */
export interface CommandResult {
  readonly code: number
  readonly out: string
  readonly error: string
}

/** Where and with which environment a command is run. */
export interface CommandPlace {
  readonly directory?: string
  readonly environment?: Readonly<Record<string, string>>
}

/** Runs the command line, or another binary, as a process of its own. */
export async function runCommand (words: readonly string[], place: CommandPlace = {}, binary = BINARY): Promise<CommandResult> {
  const environment = { PATH: process.env['PATH'], ...place.environment }
  const child = spawn(process.execPath, [binary, ...words], { cwd: place.directory, env: environment, timeout: COMMAND_MILLISECONDS, stdio: ['ignore', 'pipe', 'pipe'] })
  let [out, error] = ['', '']
  child.stdout.setEncoding('utf8').on('data', (text: string) => { out += text })
  child.stderr.setEncoding('utf8').on('data', (text: string) => { error += text })
  const code = await new Promise<number>((resolve, reject) => {
    child.once('error', reject)
    child.once('close', (exitCode) => resolve(exitCode ?? -1))
  })
  return { code, out, error }
}

/** Runs a command as the fixture's operator against an administration process. */
export async function runAt (address: string, words: readonly string[]): Promise<CommandResult> {
  return await runCommand([...words, '--address', address], { environment: { QUINCESHUNT_OPERATOR_KEY: OPERATOR_KEY } })
}

/** Writes a file into a directory of its own. */
export function writeTemporary (name: string, content: string): string {
  const file = join(mkdtempSync(join(tmpdir(), 'quinceshunt-')), name)
  writeFileSync(file, content)
  return file
}
