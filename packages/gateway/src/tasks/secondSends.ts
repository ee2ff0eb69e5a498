import { steadyNow } from '../clock.js'
import type { Choice } from '../decisions/backendChoice.js'
import type { BackendState } from '../decisions/backendState.js'
import { hasAttemptLeft } from '../decisions/relayedRetries.js'
import { isRetryable, type RetryReservation } from '../decisions/requestPlan.js'
import { describeRefusal, findSecondTargets, type SecondSendOutcome, type SecondSendRefusal } from '../decisions/secondSends.js'
import { findAvailableBackends } from './availableBackends.js'
import { chooseDestination } from './chooseDestination.js'
import { relayNeed } from './destinations.js'
import type { GatewayContext } from './gatewayContext.js'
import type { RequestState } from './requestTask.js'

/** The first attempt of a request, as watched for a second send. */
export interface WatchedAttempt {
  /** The first byte of the response has arrived. */
  answer (): void
  /** Reserves a second send; refused ones are counted. */
  reserve (): Promise<RetryReservation>
  /** The second send was reserved, and the request has ended it: `won` when the second backend server answered first. */
  settleRace (outcome: Exclude<SecondSendOutcome, 'refused'>): void
  /** The attempt has ended. */
  end (): void
}

/** Watches the first attempt of a request, and calls `onSlow` when its response takes longer than usual; undefined where no second sends are made. */
export function watchFirstAttempt (context: GatewayContext, state: RequestState, { state: backend, prefillTokens }: Choice, onSlow: () => void): WatchedAttempt | undefined {
  const { secondSends: { share, times } } = context
  const { service } = state
  if (share === 0 || state.attempts !== 1) return undefined
  const sentAt = steadyNow()
  const attempt = times.begin(service, prefillTokens, sentAt)
  const slowAfter = mayBeSentTwice(state) ? times.slowAfter(service, prefillTokens, sentAt) : undefined
  const timer = slowAfter === undefined ? undefined : setTimeout(onSlow, slowAfter)
  let nextBackendId: string | undefined
  let isSettled = false

  function report (outcome: SecondSendOutcome, reason?: SecondSendRefusal): void {
    context.metrics.count('second_sends_total', { service, outcome })
    const refusal = reason === undefined ? {} : { reason: describeRefusal(reason) }
    context.log.decision('secondSend', { request: state.fields.attemptId, service, backend: backend.entry.id, nextBackend: nextBackendId, outcome, ...refusal, slowAfterMilliseconds: slowAfter, milliseconds: steadyNow() - sentAt })
  }

  return {
    answer: () => {
      clearTimeout(timer)
      attempt.answer(steadyNow())
    },
    reserve: async () => {
      const now = steadyNow()
      const reserved = await reserveSecondSend(context, state, backend, times.areAllSlow(service, now, attempt))
      if (reserved.kind === 'reserved') {
        nextBackendId = reserved.backendId
        return reserved
      }
      report('refused', reserved.reason)
      return { kind: 'refused', reason: describeRefusal(reserved.reason) }
    },
    settleRace: (outcome) => {
      if (isSettled) return
      isSettled = true
      report(outcome)
      if (outcome === 'won') attempt.end(steadyNow(), true)
    },
    end: () => {
      clearTimeout(timer)
      attempt.end(steadyNow(), false)
    }
  }
}

/** The instance that a caller reached decides for a relayed request, as it pays for its sends. */
function mayBeSentTwice (state: RequestState): boolean {
  return isRetryable(state.route.deliverySemantics) && state.relay === undefined && state.maximumAttempts > 1
}

type SecondSendReservation =
  | { readonly kind: 'reserved', readonly backendId: string }
  | { readonly kind: 'refused', readonly reason: SecondSendRefusal }

async function reserveSecondSend (context: GatewayContext, state: RequestState, first: BackendState, areAllSlow: boolean): Promise<SecondSendReservation> {
  const now = steadyNow()
  const { service } = state
  const available = findAvailableBackends(context, state, [])
  const targets = findSecondTargets({
    hasCallerLeft: state.caller.leftAt !== undefined,
    hasUnidentifiedEvents: state.hasUnidentifiedEvents,
    isSuspected: !context.crashGuard.mayRetry(state.guarded),
    hasAttemptLeft: hasAttemptLeft(state),
    areAllSlow,
    needsRoom: context.rooms.isNeeded(service),
    isCutOff: relayNeed(context, state, now) !== 'none'
  }, first, available.kind === 'none' ? [] : available.backends.filter((candidate) => context.permits.limitOf(candidate, now) === undefined), now)
  if (targets.kind === 'refused') return targets
  if (!context.secondSends.tokens.tryUse(service, now)) return { kind: 'refused', reason: 'shareUsed' }
  if (!context.retryShares.tryAcquireSecondSend(service, now)) return { kind: 'refused', reason: 'retryBudgetUsed' }
  const choice = await chooseDestination(context, state, state.triedBackendIds, targets.backendIds)
  return choice.kind === 'chosen' ? { kind: 'reserved', backendId: choice.backendId } : { kind: 'refused', reason: 'noTarget' }
}
