import type { FleetMember } from '../fleet/fleetMember.js'
import { isReady } from '../fleet/startFleet.js'

const DEFAULT_POLL_MILLISECONDS = 500

/** Stand-in of the platform's load balancer: sends to routers that were ready at the last poll. */
export interface Balancer {
  /** Router for a draw from 0 up to but without 1; any router when none is ready. */
  pick (share: number): FleetMember
  stop (): void
}

/** Starts polling readiness. `routers` is read at each poll, so that added routers are found. */
export function startBalancer (routers: () => readonly FleetMember[], pollMilliseconds = DEFAULT_POLL_MILLISECONDS): Balancer {
  let ready: readonly FleetMember[] = routers()
  let polling = false
  const timer = setInterval(() => {
    if (polling) return
    polling = true
    poll().finally(() => { polling = false })
  }, pollMilliseconds)

  async function poll (): Promise<void> {
    const checked = await Promise.all(routers().map(async (router) => ({ router, ready: await isReady(router) })))
    ready = checked.filter((entry) => entry.ready).map((entry) => entry.router)
  }

  return {
    pick: (share) => {
      // A process that has ended refuses connections, so a balancer tries the next one at once.
      const live = ready.filter((router) => !router.process.hasExited())
      const candidates = live.length === 0 ? routers() : live
      return candidates[Math.floor(share * candidates.length)]!
    },
    stop: () => clearInterval(timer)
  }
}
