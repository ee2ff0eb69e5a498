import type { BinaryName } from '../launcher/binaries.js'
import { startProcess, terminate, type FleetProcess, type ProcessExit } from '../launcher/startProcess.js'
import type { InstanceListEntry, PlatformMember } from './platformMember.js'

/** Exceeds the stop deadline of every router in fixtures. */
const STOP_TIMEOUT_MS = 40_000

/** Options for starting a member of the fleet. */
export interface MemberOptions {
  readonly id: string
  readonly binary: BinaryName
  readonly settings: Record<string, unknown>
  /** Settings key of each listener, mapped to the field of the listening line with its address. */
  readonly listeners: Readonly<Record<string, string>>
  readonly platform: PlatformMember
  /** Builds the instance list entry of a running process; undefined for members that are not listed. */
  readonly buildListEntry?: (process: FleetProcess) => Promise<InstanceListEntry>
  readonly onStarted?: (process: FleetProcess) => void
}

/** Process of the fleet that can be stopped and restarted. */
export interface FleetMember {
  readonly id: string
  /** The current process. */
  readonly process: FleetProcess
  /** Address from a field of the listening line. */
  address (field?: string): string
  /** Kills the process (SIGKILL) and removes it from the instance list. */
  kill (): Promise<ProcessExit>
  /** Suspends and resumes the process without notifying it (SIGSTOP, SIGCONT). */
  pause (): void
  resume (): void
  /** Marks it as leaving in the instance list and sends SIGTERM; resolves when it has exited. */
  terminate (timeoutMilliseconds?: number): Promise<ProcessExit>
  /** Starts a new incarnation, on the same ports unless `newPorts` is set. */
  restart (options?: { readonly newPorts?: boolean }): Promise<void>
}

/** Starts a member and adds it to the instance list. */
export async function startMember (options: MemberOptions): Promise<FleetMember> {
  let current = await launch(options.settings)

  async function launch (settings: Record<string, unknown>): Promise<FleetProcess> {
    const started = await startProcess({ binary: options.binary, name: options.id, settings })
    options.onStarted?.(started)
    if (options.buildListEntry !== undefined) await options.platform.putInstance(await options.buildListEntry(started))
    started.exited.then(() => removeFromInstanceList(started)).catch(() => undefined)
    return started
  }

  /** Removes an exited process from the instance list, as the platform's health checks would. */
  async function removeFromInstanceList (exitedProcess: FleetProcess): Promise<void> {
    if (options.buildListEntry !== undefined && exitedProcess === current && !options.platform.process.hasExited()) await options.platform.removeInstance(options.id)
  }

  function settingsWithCurrentPorts (): Record<string, unknown> {
    const settings = { ...options.settings }
    for (const [key, field] of Object.entries(options.listeners)) {
      const { hostname, port } = new URL(current.listening[field]!)
      settings[key] = { host: hostname, port: Number(port) }
    }
    return settings
  }

  return {
    id: options.id,
    get process () { return current },
    address: (field = 'address') => current.listening[field]!,
    kill: async () => {
      current.signal('SIGKILL')
      return await current.exited
    },
    pause: () => current.signal('SIGSTOP'),
    resume: () => current.signal('SIGCONT'),
    terminate: async (timeoutMilliseconds = STOP_TIMEOUT_MS) => {
      if (current.hasExited()) return await current.exited
      if (options.buildListEntry !== undefined) await options.platform.putInstance({ ...await options.buildListEntry(current), leaving: true })
      return await terminate(current, timeoutMilliseconds)
    },
    restart: async ({ newPorts = false } = {}) => {
      if (!current.hasExited()) {
        current.signal('SIGKILL')
        await current.exited
      }
      current = await launch(newPorts ? options.settings : settingsWithCurrentPorts())
    }
  }
}
