import { steadyNow } from '../clock.js'
import type { RelayEnvelope } from '../decisions/relayEnvelope.js'
import type { RetryKind } from '../decisions/relayedRetries.js'
import type { GatewayContext } from './gatewayContext.js'
import type { AdmittedRequest, RequestState } from './requestTask.js'

/** Counts a request for the budgets of its service, unless the instance that relayed it has. */
export function recordRequest (context: GatewayContext, service: string, { relay, receivedAt }: AdmittedRequest): void {
  if (isCountedElsewhere(relay)) return
  context.retryShares.recordRequest(service, receivedAt)
  context.secondSends.tokens.recordRequest(service, receivedAt)
}

/** Whether another instance pays for the retries of a request from its retry budget. */
function isCountedElsewhere (relay: RelayEnvelope | undefined): boolean {
  return relay !== undefined && (relay.furtherAttempts !== undefined || relay.isRepeat)
}

/** A request that has a return reserved already needs no second one. That of a relayed request is asked for when it is needed. */
export async function acquireRetryWithReturn (context: GatewayContext, state: RequestState): Promise<boolean> {
  if (state.relay?.furtherAttempts !== undefined) return await context.relayedRetries.ask(state.relay, 'attempt')
  if (state.reservedReturn !== undefined) return context.retryShares.tryAcquireRetry(state.service, steadyNow())
  state.reservedReturn = context.retryShares.tryAcquireWithReturn(state.service, steadyNow())
  return state.reservedReturn !== undefined
}

/** Consumes the retry that is reserved for a return, or else one of the budget: that of the instance that relayed the request, if any. */
export async function acquireRetry (context: GatewayContext, state: RequestState, kind: RetryKind): Promise<boolean> {
  if (state.relay?.furtherAttempts !== undefined) return await context.relayedRetries.ask(state.relay, kind)
  if (state.reservedReturn === undefined) return context.retryShares.tryAcquireRetry(state.service, steadyNow())
  state.reservedReturn.consume()
  state.reservedReturn = undefined
  return true
}
