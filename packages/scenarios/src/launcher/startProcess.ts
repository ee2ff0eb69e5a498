import { InternalError } from '@quinceshunt/telemetry'
import { spawn, type ChildProcess } from 'node:child_process'
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { createInterface } from 'node:readline'
import { stringify } from 'yaml'
import { binaryFile, type BinaryName } from './binaries.js'

const START_MILLISECONDS = 20_000
/** Lines of standard error kept for messages about failed starts. */
const KEPT_LOG_LINES = 400

/** Exit code of a launcher ended by a signal. */
const SIGNAL_EXIT_CODE = 130

/** What to start. */
export interface ProcessOptions {
  readonly binary: BinaryName
  /** Instance ID, for messages and file names. */
  readonly name: string
  /** Content of the settings file. */
  readonly settings: Record<string, unknown>
}

/** How a process ended. */
export interface ProcessExit {
  /** Exit code; null after a signal. */
  readonly code: number | null
  readonly signal: NodeJS.Signals | null
}

/** A running process of the fleet. */
export interface FleetProcess {
  readonly name: string
  readonly processId: number
  /** Fields of the line that it printed when it listened. */
  readonly listening: Readonly<Record<string, string>>
  /** Resolves when it has ended. */
  readonly exited: Promise<ProcessExit>
  hasExited (): boolean
  /** Last lines of its log. */
  log (): readonly string[]
  /** Sends a signal; nothing when it has ended. */
  signal (signal: NodeJS.Signals): void
}

const running = new Set<ChildProcess>()
process.once('exit', () => {
  for (const child of running) child.kill('SIGKILL')
})
// Without a listener, these signals would end the launcher before its children are ended.
for (const signal of ['SIGINT', 'SIGTERM', 'SIGHUP'] as const) {
  process.on(signal, () => {
    if (process.listenerCount(signal) === 1) process.exit(SIGNAL_EXIT_CODE)
  })
}

/** Starts a process with a settings file of its own and waits until it listens. */
export async function startProcess (options: ProcessOptions): Promise<FleetProcess> {
  const folder = mkdtempSync(join(tmpdir(), 'quinceshunt-'))
  const file = join(folder, `${options.name}.yaml`)
  writeFileSync(file, stringify(options.settings))
  // A process group of its own, so that Ctrl-C reaches only the launcher, which then stops its children in order.
  const child = spawn(process.execPath, [binaryFile(options.binary), '--settings', file], { stdio: ['ignore', 'pipe', 'pipe'], detached: true })
  running.add(child)
  const logLines: string[] = []
  createInterface({ input: child.stderr! }).on('line', (line) => {
    logLines.push(line)
    if (logLines.length > KEPT_LOG_LINES) logLines.shift()
  })
  const exited = new Promise<ProcessExit>((resolve) => {
    child.once('exit', (code, signal) => {
      running.delete(child)
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
  const fail = (reason: string): Error => {
    child.kill('SIGKILL')
    return new InternalError(`${name} did not start: ${reason}\n${logLines.join('\n')}`, { props: { step: 'start process', peer: name } })
  }
  const lines = createInterface({ input: child.stdout! })
  return await new Promise((resolve, reject) => {
    const timer = setTimeout(() => reject(fail(`no listening line within ${START_MILLISECONDS} ms`)), START_MILLISECONDS)
    exited.then(({ code, signal }) => reject(fail(`it ended with ${code ?? signal}`)), reject).finally(() => clearTimeout(timer))
    lines.on('line', (line) => {
      if (!line.startsWith('{"event":"listening"')) return
      clearTimeout(timer)
      resolve(JSON.parse(line) as Record<string, string>)
    })
  })
}

/** Sends SIGTERM and resolves with how the process ended; after the deadline (milliseconds from now) it is killed. */
export async function terminate (target: FleetProcess, withinMilliseconds: number): Promise<ProcessExit> {
  target.signal('SIGTERM')
  const timer = setTimeout(() => target.signal('SIGKILL'), withinMilliseconds)
  const exit = await target.exited
  clearTimeout(timer)
  return exit
}
