import { After, setDefaultTimeout, setWorldConstructor, Status, World } from '@cucumber/cucumber'
import type { ServiceResponse } from '../callers/callService.js'
import type { ChatResponse, ChatCall } from '../callers/sendChat.js'
import { startFleet, type Fleet } from '../fleet/startFleet.js'
import type { FleetOptions } from '../fleet/fleetOptions.js'

const STEP_TIMEOUT_MS = 120_000
/** Log lines per router that are shown if a scenario fails. */
const MAX_SHOWN_LOG_LINES = 40

/** State of one scenario: the fleet, which is stopped at the end, and the responses to callers. */
export class FleetWorld extends World {
  #fleet: Fleet | undefined
  /** Options collected by Given steps; the fleet starts on first use. */
  fleetOptions: FleetOptions = {}
  readonly chats: { readonly call: ChatCall, readonly response: ChatResponse }[] = []
  readonly serviceResponses: ServiceResponse[] = []

  /** Changes the fleet's options before it starts. */
  configure (options: FleetOptions): void {
    if (this.#fleet !== undefined) throw new Error('the fleet has already started')
    this.fleetOptions = { ...this.fleetOptions, ...options }
  }

  /** The fleet, started on first use. */
  async fleet (): Promise<Fleet> {
    this.#fleet ??= await startFleet(this.fleetOptions)
    return this.#fleet
  }

  /** Stops the fleet and returns the last log lines of its routers. */
  async stopFleet (): Promise<string> {
    if (this.#fleet === undefined) return ''
    const logs = this.#fleet.routers.flatMap((router) => router.process.log().slice(-MAX_SHOWN_LOG_LINES))
    await this.#fleet.stop()
    this.#fleet = undefined
    return logs.join('\n')
  }
}

setWorldConstructor(FleetWorld)
setDefaultTimeout(STEP_TIMEOUT_MS)

After(async function (this: FleetWorld, { result }) {
  const logs = await this.stopFleet()
  if (result?.status === Status.FAILED) this.log(logs)
})
