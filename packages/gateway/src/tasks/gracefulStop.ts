import { handleArrivedEvents } from '@quinceshunt/caller-connections'
import { steadyNow } from '../clock.js'
import type { StopPlan } from '../decisions/stopPlan.js'
import type { CallersListener } from './callersListener.js'
import type { GatewayContext } from './gatewayContext.js'

/** New connections are accepted for this time after SIGTERM: the load balancer removes an instance after two failed checks. */
const LISTEN_AFTER_STOP_MS = 2600
/** The process exits this long before SIGKILL, whatever is still in progress. */
export const FORCED_EXIT_MARGIN_MS = 150
const STOP_CHECK_INTERVAL_MS = 50
export const MAX_QUEUED_CONNECTIONS = 511
/** An accepted connection has this long, from the end of listening, to send its first request. */
const FIRST_REQUEST_WAIT_MS = 1000

/** Serves what callers send until their connections have ended, at the latest until requests are abandoned. */
export async function stopGracefully (callers: CallersListener, { abandonedAt }: StopPlan): Promise<void> {
  const listenUntil = steadyNow() + LISTEN_AFTER_STOP_MS
  while (steadyNow() < abandonedAt) {
    if (steadyNow() >= listenUntil) {
      if (callers.server.listening) {
        await acceptQueuedConnections(callers)
        callers.stopListening()
      }
      await handleArrivedEvents()
      callers.closeIdleConnections()
      const hasOpenConnections = callers.openConnections > 0 && steadyNow() < listenUntil + FIRST_REQUEST_WAIT_MS
      if (callers.activeRequests === 0 && !hasOpenConnections) return
    }
    await pauseUntil(steadyNow() + STOP_CHECK_INTERVAL_MS)
  }
}

/** Waits until requests that came during the last steps are refused, and their callers have the responses. */
export async function finishRefusals (context: GatewayContext, callers: CallersListener, killedAt: number): Promise<void> {
  await handleArrivedEvents()
  while ((callers.activeRequests > 0 || context.openResponses.hasUnwritten) && steadyNow() < killedAt - FORCED_EXIT_MARGIN_MS) {
    await pauseUntil(steadyNow() + STOP_CHECK_INTERVAL_MS)
  }
}

/** Accepts the connections that wait in the system's queue, which closing the listener would reset: one in each pass of the event loop. */
async function acceptQueuedConnections (callers: CallersListener): Promise<void> {
  for (let pass = 0; pass < MAX_QUEUED_CONNECTIONS; pass++) {
    const accepted = callers.acceptedConnections
    await new Promise((resolve) => setImmediate(resolve))
    if (callers.acceptedConnections === accepted) return
  }
}

/** Resolves at a time by `steadyNow`. */
export function pauseUntil (at: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, Math.max(0, at - steadyNow())))
}
