import type { FleetMember } from '../fleet/fleetMember.js'
import { isReady } from '../fleet/startFleet.js'

const DEFAULT_POLL_INTERVAL_MS = 500

/** Stand-in for the platform's load balancer: selects among routers that were ready at the last poll. */
export interface LoadBalancer {
  /** Selects a router by a fraction in [0, 1); selects among all routers if none is ready. */
  pick (fraction: number): FleetMember
  stop (): void
}

/** Starts polling readiness. `routers` is called at each poll, so that added routers are included. */
export function startLoadBalancer (routers: () => readonly FleetMember[], pollIntervalMilliseconds = DEFAULT_POLL_INTERVAL_MS): LoadBalancer {
  let ready: readonly FleetMember[] = routers()
  let polling = false
  const timer = setInterval(() => {
    if (polling) return
    polling = true
    poll().finally(() => { polling = false })
  }, pollIntervalMilliseconds)

  async function poll (): Promise<void> {
    const readiness = await Promise.all(routers().map(async (router) => ({ router, ready: await isReady(router) })))
    ready = readiness.filter((entry) => entry.ready).map((entry) => entry.router)
  }

  return {
    pick: (fraction) => {
      // An exited process refuses connections, so a load balancer tries the next router immediately.
      const running = ready.filter((router) => !router.process.hasExited())
      const candidates = running.length === 0 ? routers() : running
      return candidates[Math.floor(fraction * candidates.length)]!
    },
    stop: () => clearInterval(timer)
  }
}
