import { create } from '@bufbuild/protobuf'
import { assertNever, runDecision } from '@quinceshunt/effects'
import { BillRecordSchema, type BillRecord } from '@quinceshunt/schemas'
import type { CallerExchange } from './callersListener.js'
import { serveRequest, type AcquireCommand, type AttemptCommand, type AttemptResult, type Charge, type ReleaseSlotCommand, type RequestCommand, type RequestResult } from './requestPath.js'
import type { RouterServices } from './routerServices.js'
import type { Priority, Reservation, ReservationOutcome, SlotOutcome } from './services.js'

/** Properties of a request that are known before its first attempt. */
export interface RequestSpecification<Answer> {
  readonly requestId: string
  readonly fingerprint: string
  /** Hashes of the parts of its prompt that other requests may share; empty for calls of services. */
  readonly sharedParts: readonly string[]
  /** Model or service. */
  readonly target: string
  readonly idempotent: boolean
  /** Tokens to reserve; 0 if the request is free of charge. */
  readonly ceilingTokens: number
  readonly priority: Priority
  readonly prefixHashes: readonly string[]
  readonly promptBytes: number
  readonly attempt: (command: AttemptCommand<Answer>, attemptNumber: number) => Promise<AttemptResult<Answer>>
}

/** Runs the request path and executes its commands with this instance's services. */
export function runRequest<Answer> (services: RouterServices, exchange: CallerExchange, request: RequestSpecification<Answer>): Promise<RequestResult<Answer>> {
  const startedAt = services.clock.now()
  let reservation: Reservation | undefined
  let attempts = 0
  services.retryBudget.recordRequest(startedAt)

  async function executeCommand (command: RequestCommand<Answer>): Promise<unknown> {
    switch (command.kind) {
      case 'admit': return services.promptParts.isHeldBack(request.sharedParts) ? { kind: 'quarantined' } : services.quarantine.admit(request.fingerprint)
      case 'reserve': return await reserve()
      case 'acquire': return await acquireSlot(services, exchange, request, command)
      case 'attempt': {
        attempts += 1
        if (attempts > 1) services.metrics.count('retries_total', { how: command.resumeOffset === undefined ? 'elsewhere' : 'resume' })
        return await request.attempt(command, attempts)
      }
      case 'releaseSlot': return releaseSlot(services, request.fingerprint, command)
      case 'now': return services.clock.now()
      case 'settle': return await settle(command.charge)
      case 'releaseReservation': {
        if (reservation !== undefined) services.budgets.release(reservation)
        return
      }
      default: return assertNever(command)
    }
  }

  async function reserve (): Promise<ReservationOutcome> {
    const { caller, deadline } = exchange
    const { requestId, ceilingTokens } = request
    if (ceilingTokens === 0) return { kind: 'reserved', reservation: { requestId, budgetId: caller.budgetId, ceilingTokens } }
    const outcome = await services.budgets.reserve({ requestId, budgetId: caller.budgetId, clientAccount: caller.account.id, ceilingTokens, deadline })
    if (outcome.kind === 'reserved') reservation = outcome.reservation
    return outcome
  }

  async function settle (charge: Charge): Promise<void> {
    if (reservation === undefined) return
    const bill = createBill(exchange, request.target, reservation, charge, services.clock.now())
    const deadline = services.clock.now() + (services.settings.budget?.billWaitMilliseconds ?? 0)
    const result = await services.budgets.settle(reservation, bill, exchange.idempotencyKey !== undefined, deadline)
    services.metrics.count('bills_total', { result })
    services.metrics.count('charged_tokens_total', { estimated: String(charge.estimated) }, Number(bill.chargedTokens))
  }

  const plan = { idempotent: request.idempotent, deadline: exchange.deadline, tryAcquireRetry: (now: number) => services.retryBudget.tryAcquireRetry(now) }
  return runDecision(serveRequest<Answer>(plan), executeCommand)
}

function createBill (exchange: CallerExchange, target: string, reservation: Reservation, charge: Charge, now: number): BillRecord {
  const usedTokens = charge.promptTokens + charge.completionTokens
  return create(BillRecordSchema, {
    requestId: reservation.requestId,
    clientAccount: exchange.caller.account.id,
    budgetId: reservation.budgetId,
    target,
    promptTokens: BigInt(charge.promptTokens),
    completionTokens: BigInt(charge.completionTokens),
    chargedTokens: BigInt(charge.estimated ? reservation.ceilingTokens : Math.min(usedTokens, reservation.ceilingTokens)),
    estimated: charge.estimated,
    finishedAt: BigInt(now)
  })
}

async function acquireSlot<Answer> (services: RouterServices, exchange: CallerExchange, request: RequestSpecification<Answer>, command: AcquireCommand): Promise<SlotOutcome | undefined> {
  const { caller, deadline, signal } = exchange
  const slotRequest = {
    requestId: request.requestId,
    target: request.target,
    account: caller.account,
    priority: request.priority,
    prefixHashes: request.prefixHashes,
    promptBytes: request.promptBytes,
    excluded: command.excluded,
    deadline,
    signal
  }
  const queuedAt = services.clock.now()
  if (!command.trial) {
    const outcome = await services.backends.acquire(slotRequest)
    services.metrics.record('queueing', services.clock.now() - queuedAt)
    return outcome
  }
  const unavailable = new Set(command.excluded)
  for (;;) {
    const candidates = services.backends.candidates(request.target, caller.account.id).map((server) => server.id).filter((id) => !unavailable.has(id))
    if (candidates.length === 0) return undefined
    const trialServer = await services.quarantine.startTrial(request.fingerprint, candidates, deadline)
    if (trialServer === undefined) return undefined
    // While the trial waited, further crashes may have shown that a part of the prompt is the cause.
    if (services.promptParts.isHeldBack(request.sharedParts)) {
      services.quarantine.abandonTrial(request.fingerprint, trialServer)
      return undefined
    }
    const outcome = await services.backends.acquire({ ...slotRequest, only: trialServer })
    if (outcome.kind === 'slot') return outcome
    // The candidate may have become unavailable, for example after a crash that another router observed.
    services.quarantine.abandonTrial(request.fingerprint, trialServer)
    unavailable.add(trialServer)
  }
}

function releaseSlot (services: RouterServices, fingerprint: string, command: ReleaseSlotCommand): void {
  const { slot, result, trial } = command
  slot.release(result === 'failed' || result === 'crashed' ? 'failed' : 'succeeded')
  if (!trial || result === 'crashed') return
  if (result === 'completed') services.quarantine.endTrial(fingerprint, slot.backendServer.id)
  else services.quarantine.abandonTrial(fingerprint, slot.backendServer.id)
}
