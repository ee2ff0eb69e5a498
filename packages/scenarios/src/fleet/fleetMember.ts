import type { BinaryName } from '../launcher/binaries.js'
import { startProcess, terminate, type FleetProcess, type ProcessExit } from '../launcher/startProcess.js'
import type { ListedInstance, PlatformMember } from './platformMember.js'

/** Longer than any router's stop deadline in fixtures. */
const STOP_MILLISECONDS = 40_000

/** How a member of the fleet is started. */
export interface MemberOptions {
  readonly id: string
  readonly binary: BinaryName
  readonly settings: Record<string, unknown>
  /** Settings keys of its listeners, with the field of the listening line that holds each address. */
  readonly listeners: Readonly<Record<string, string>>
  readonly platform: PlatformMember
  /** Entry of the instance list for a running process; undefined for members that are not listed. */
  readonly listEntry?: (process: FleetProcess) => Promise<ListedInstance>
  readonly onStarted?: (process: FleetProcess) => void
}

/** A process of the fleet that can be ended and started again. */
export interface FleetMember {
  readonly id: string
  /** The current process. */
  readonly process: FleetProcess
  /** Address by its field in the listening line. */
  address (field?: string): string
  /** Ends it at once (SIGKILL) and takes it off the instance list. */
  kill (): Promise<ProcessExit>
  /** Stops and continues it without its knowledge (SIGSTOP, SIGCONT). */
  pause (): void
  resume (): void
  /** Marks it as leaving in the instance list and sends SIGTERM; resolves when it has ended. */
  terminate (withinMilliseconds?: number): Promise<ProcessExit>
  /** Starts a new incarnation, on the same ports unless told otherwise. */
  restart (options?: { readonly newPorts?: boolean }): Promise<void>
}

/** Starts a member and lists it. */
export async function startMember (options: MemberOptions): Promise<FleetMember> {
  let current = await launch(options.settings)

  async function launch (settings: Record<string, unknown>): Promise<FleetProcess> {
    const started = await startProcess({ binary: options.binary, name: options.id, settings })
    options.onStarted?.(started)
    if (options.listEntry !== undefined) await options.platform.list(await options.listEntry(started))
    started.exited.then(() => unlist(started)).catch(() => undefined)
    return started
  }

  /** A process that has ended leaves the list, as the platform's own checks would see to. */
  async function unlist (ended: FleetProcess): Promise<void> {
    if (options.listEntry !== undefined && ended === current && !options.platform.process.hasExited()) await options.platform.unlist(options.id)
  }

  function settingsWithPorts (): Record<string, unknown> {
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
    terminate: async (withinMilliseconds = STOP_MILLISECONDS) => {
      if (current.hasExited()) return await current.exited
      if (options.listEntry !== undefined) await options.platform.list({ ...await options.listEntry(current), leaving: true })
      return await terminate(current, withinMilliseconds)
    },
    restart: async ({ newPorts = false } = {}) => {
      if (!current.hasExited()) {
        current.signal('SIGKILL')
        await current.exited
      }
      current = await launch(newPorts ? options.settings : settingsWithPorts())
    }
  }
}
