import { spawn } from 'node:child_process'
import { mkdtempSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { OPERATOR_KEY } from '../fleet/memberSettings.js'

const COMMAND_LINE_BINARY = fileURLToPath(new URL('../../../cli/lib/bin/quinceshunt.js', import.meta.url))
/** Exceeds the longest wait of any command. */
const COMMAND_TIMEOUT_MS = 90_000

/** Exit code and output of a command. */
export interface CommandResult {
  readonly code: number
  readonly stdout: string
  readonly stderr: string
}

/** Working directory and environment of a command. */
export interface CommandOptions {
  readonly directory?: string
  readonly environment?: Readonly<Record<string, string>>
}

/** Runs the command line tool, or another binary, in a child process. */
export async function runCommand (commandArguments: readonly string[], options: CommandOptions = {}, binary = COMMAND_LINE_BINARY): Promise<CommandResult> {
  const environment = { PATH: process.env['PATH'], ...options.environment }
  const child = spawn(process.execPath, [binary, ...commandArguments], { cwd: options.directory, env: environment, timeout: COMMAND_TIMEOUT_MS, stdio: ['ignore', 'pipe', 'pipe'] })
  let [stdout, stderr] = ['', '']
  child.stdout.setEncoding('utf8').on('data', (text: string) => { stdout += text })
  child.stderr.setEncoding('utf8').on('data', (text: string) => { stderr += text })
  const code = await new Promise<number>((resolve, reject) => {
    child.once('error', reject)
    child.once('close', (exitCode) => resolve(exitCode ?? -1))
  })
  return { code, stdout, stderr }
}

/** Runs a command against an administration process as the fixture's operator. */
export async function runOperatorCommand (address: string, commandArguments: readonly string[]): Promise<CommandResult> {
  return await runCommand([...commandArguments, '--address', address], { environment: { QUINCESHUNT_OPERATOR_KEY: OPERATOR_KEY } })
}

/** Writes a file into a new temporary directory. */
export function writeTemporaryFile (name: string, content: string): string {
  const file = join(mkdtempSync(join(tmpdir(), 'quinceshunt-')), name)
  writeFileSync(file, content)
  return file
}
