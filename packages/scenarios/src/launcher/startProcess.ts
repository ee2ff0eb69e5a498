import { InternalError } from '@quinceshunt/telemetry'
import { spawn, type ChildProcess } from 'node:child_process'
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { createInterface } from 'node:readline'
import { stringify } from 'yaml'
import { binaryPath, type BinaryName } from './binaries.js'

const START_TIMEOUT_MS = 20_000
/** Limits the standard error output that is kept for error messages. */
const MAX_LOG_LINES = 400

/** Exit code of the launcher after a signal. */
const SIGNAL_EXIT_CODE = 130

/** Options for starting a process. */
export interface ProcessOptions {
  readonly binary: BinaryName
  /** Instance ID, used in messages and file names. */
  readonly name: string
  /** Content of the settings file. */
  readonly settings: Record<string, unknown>
}

/** Exit status of a process. */
export interface ProcessExit {
  /** Exit code; null after a signal. */
  readonly code: number | null
  readonly signal: NodeJS.Signals | null
}

/** Running process of the fleet. */
export interface FleetProcess {
  readonly name: string
  readonly processId: number
  /** Fields of the line that the process prints once it listens. */
  readonly listening: Readonly<Record<string, string>>
  /** Resolves when the process has exited. */
  readonly exited: Promise<ProcessExit>
  hasExited (): boolean
  /** Last lines of the log. */
  log (): readonly string[]
  /** Sends a signal; no-op if the process has exited. */
  signal (signal: NodeJS.Signals): void
}

const runningChildren = new Set<ChildProcess>()
process.once('exit', () => {
  for (const child of runningChildren) child.kill('SIGKILL')
})
// Without a listener, these signals would terminate the launcher before its children are killed.
for (const signal of ['SIGINT', 'SIGTERM', 'SIGHUP'] as const) {
  process.on(signal, () => {
    if (process.listenerCount(signal) === 1) process.exit(SIGNAL_EXIT_CODE)
  })
}

/** Writes the settings file, starts a process and waits until it listens. */
export async function startProcess (options: ProcessOptions): Promise<FleetProcess> {
  const folder = mkdtempSync(join(tmpdir(), 'quinceshunt-'))
  const file = join(folder, `${options.name}.yaml`)
  writeFileSync(file, stringify(options.settings))
  // A separate process group, so that Ctrl-C reaches only the launcher, which then stops its children in order.
  const child = spawn(process.execPath, [binaryPath(options.binary), '--settings', file], { stdio: ['ignore', 'pipe', 'pipe'], detached: true })
  runningChildren.add(child)
  const logLines: string[] = []
  createInterface({ input: child.stderr! }).on('line', (line) => {
    logLines.push(line)
    if (logLines.length > MAX_LOG_LINES) logLines.shift()
  })
  const exited = new Promise<ProcessExit>((resolve) => {
    child.once('exit', (code, signal) => {
      runningChildren.delete(child)
      rmSync(folder, { recursive: true, force: true })
      resolve({ code, signal })
    })
  })
  const listening = await waitForListeningLine(options.name, child, exited, logLines)
  return {
    name: options.name,
    processId: child.pid!,
    listening,
    exited,
    hasExited: () => child.exitCode !== null || child.signalCode !== null,
    log: () => logLines,
    signal: (signal) => { child.kill(signal) }
  }
}

async function waitForListeningLine (name: string, child: ChildProcess, exited: Promise<ProcessExit>, logLines: readonly string[]): Promise<Record<string, string>> {
  const killChildAndCreateError = (reason: string): Error => {
    child.kill('SIGKILL')
    return new InternalError(`${name} did not start: ${reason}\n${logLines.join('\n')}`, { props: { step: 'start process', peer: name } })
  }
  const lines = createInterface({ input: child.stdout! })
  return await new Promise((resolve, reject) => {
    const timer = setTimeout(() => reject(killChildAndCreateError(`no listening line was printed within ${START_TIMEOUT_MS} ms`)), START_TIMEOUT_MS)
    exited.then(({ code, signal }) => reject(killChildAndCreateError(`the process exited with ${code ?? signal}`)), reject).finally(() => clearTimeout(timer))
    lines.on('line', (line) => {
      if (!line.startsWith('{"event":"listening"')) return
      clearTimeout(timer)
      resolve(JSON.parse(line) as Record<string, string>)
    })
  })
}

/** Sends SIGTERM and resolves with the exit status; kills the process after the timeout. */
export async function terminate (target: FleetProcess, timeoutMilliseconds: number): Promise<ProcessExit> {
  target.signal('SIGTERM')
  const timer = setTimeout(() => target.signal('SIGKILL'), timeoutMilliseconds)
  const exit = await target.exited
  clearTimeout(timer)
  return exit
}
