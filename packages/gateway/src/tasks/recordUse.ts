import type { GatewayContext } from './gatewayContext.js'
import type { RequestState } from './requestTask.js'

/** Records that a request has used at least `tokens`, before it is settled. */
export function recordUse ({ tokens: accounts }: GatewayContext, state: RequestState, tokens: number): void {
  if (state.account === undefined || tokens <= state.recordedUse) return
  accounts.recordUse(state.account.name, tokens - state.recordedUse)
  state.recordedUse = tokens
}
