import { assertNever } from '@quinceshunt/effects'
import type { ReservationOutcome, PlanResult } from '../decisions/requestPlan.js'
import { steadyNow } from '../clock.js'
import type { GatewayContext } from './gatewayContext.js'
import type { CallerOutcome } from './instanceReport.js'
import type { RequestState } from './requestTask.js'

/** Below this a request counts as one that did not wait. */
const MIN_TOKEN_WAIT_MS = 1

/** Reserves tokens for a request and records how long it waited for them. */
export async function reserveTokens (context: GatewayContext, { deadline }: RequestState, account: string, tokens: number): Promise<ReservationOutcome> {
  const startedAt = steadyNow()
  const outcome = await context.tokens.reserve(account, tokens, deadline)
  const milliseconds = steadyNow() - startedAt
  if (milliseconds >= MIN_TOKEN_WAIT_MS || outcome.kind !== 'reserved') context.report.noteTokenWait(milliseconds, outcome.kind === 'reserved')
  return outcome
}

function callerOutcome ({ route, receivedAt, firstByteAt }: RequestState, result: PlanResult, now: number): CallerOutcome {
  switch (result.kind) {
    case 'delivered': return (firstByteAt ?? now) - receivedAt > route.latencyTargetMilliseconds ? 'late' : 'served'
    case 'notRun': return 'refused'
    case 'exhausted': return 'exhausted'
    case 'callerGone': return 'callerLeft'
    case 'passFailure':
    case 'unknown':
    case 'timedOut':
    case 'cutOff': return 'failed'
    default: return assertNever(result)
  }
}

/** Records the result of a request in the metrics and in the instance's report. */
export function recordResult (context: GatewayContext, state: RequestState, result: PlanResult): void {
  const now = steadyNow()
  const milliseconds = now - state.receivedAt
  context.metrics.count('requests_total', { outcome: result.kind })
  context.metrics.record('request', milliseconds)
  if (state.firstByteAt !== undefined) context.metrics.record('first_byte', state.firstByteAt - state.receivedAt)
  context.report.noteRequest({ account: state.account?.name, outcome: callerOutcome(state, result, now), milliseconds })
}
