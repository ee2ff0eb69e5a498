import { createAllowancePolicy, TransferLog } from '@quinceshunt/budget'
import { assertNever, startTask, type Task } from '@quinceshunt/effects'
import type { AdoptLeasesRequest, TransferRecord } from '@quinceshunt/schemas'
import { PeerError } from '@quinceshunt/telemetry'
import { postAt, runInBackground, type BudgetTaskState } from './budgetTaskState.js'
import { finishDraw, finishReturn, returnUnusedTokens } from './budgetDraws.js'
import type { BudgetMessage } from './budgetMessages.js'
import { endReservation, getOrCreateEntry, processWaitingReservations, reserve } from './budgetReservations.js'
import { finishSettlement, flush, renewLeases, scheduleFlushOfChanges } from './budgetSettlement.js'
import { closeLeaseWithRetry, closeOrHandOverLeases, createHandovers } from './budgetStop.js'
import { createTableDecisionRunner } from './budgetTable.js'
import { acceptTransfer, answerTransferRequest, finishTransferRound, repeatTransferRequests } from './budgetTransfers.js'
import type { BudgetPeerHandlers, CreateBudgetTask } from './taskContracts.js'
import type { BudgetService, Reservation } from './services.js'

/** Interval of lease renewals, returns and repeated transfer requests. */
const HOUSEKEEPING_INTERVAL_MS = 500
/** Maximum time that a stopping instance waits for answers to its transfer requests. */
const MAX_TRANSFER_ANSWER_WAIT_MS = 2_000
const TRANSFER_REPEAT_INTERVAL_MS = 100

/** Starts the task that owns this instance's allowances, reservations and unsent bills. */
export const createBudgetTask: CreateBudgetTask = (context, settings, peers, configuration) => {
  const stopped = new AbortController()
  const state: BudgetTaskState = {
    context,
    policy: createAllowancePolicy(settings),
    peers,
    configuration,
    runOnTable: createTableDecisionRunner(context, (answered) => { if (answered !== state.tableReachable) state.post({ kind: 'tableAnswered', answered }) }),
    signal: stopped.signal,
    post: (message) => task.post(message),
    entries: new Map(),
    transferLog: new TransferLog(context.identity.incarnation),
    activeReservations: new Set(),
    billReplies: new Map(),
    unansweredTransferRequests: new Map(),
    adoptedLeases: new Map(),
    tableReachable: true,
    stopping: false,
    settling: false,
    flushScheduled: false,
    lastFlushAt: 0,
    batchNumber: 0n
  }
  const adoptedGivers = new Set<string>()
  const task: Task<BudgetMessage> = startTask({
    name: 'budget',
    handle: (message) => handleMessage(state, adoptedGivers, stopped, message),
    onError: (error, message) => context.logger.error({ step: `budget ${message.kind}`, err: error }, 'failed to handle a budget task message')
  })
  postAt(state, context.clock.now() + HOUSEKEEPING_INTERVAL_MS, { kind: 'housekeeping' })
  return { ...createService(state, task), ...createPeerHandlers(state, task) }
}

function createService (state: BudgetTaskState, task: Task<BudgetMessage>): BudgetService {
  return {
    reserve: ({ requestId, budgetId, ceilingTokens, deadline }) => {
      const reservation: Reservation = { requestId, budgetId, ceilingTokens: Math.ceil(ceilingTokens) }
      return task.ask((reply) => ({ kind: 'reserve', reservation, deadline, reply }))
    },
    settle: async (reservation, bill, keyed, deadline) => {
      const written = new AbortController()
      const answer = task.ask<'written' | 'deferred'>((reply) => ({ kind: 'settle', reservation, bill, keyed, reply }))
      const timeout = state.context.clock.waitUntil(deadline, written.signal).then(() => 'deferred' as const)
      const outcome = await Promise.race([answer, timeout])
      written.abort()
      return outcome
    },
    release: (reservation) => task.post({ kind: 'release', reservation }),
    stop: async (deadline) => {
      await awaitTransferAnswers(state, task, deadline)
      const handovers = await task.ask<readonly AdoptLeasesRequest[]>((reply) => ({ kind: 'stop', reply }))
      return await closeOrHandOverLeases(state, handovers, deadline)
    }
  }
}

/** Waits until peers have answered transfer requests, because they may already have subtracted the tokens. */
async function awaitTransferAnswers (state: BudgetTaskState, task: Task<BudgetMessage>, deadline: number): Promise<void> {
  const { clock } = state.context
  const waitDeadline = Math.min(deadline, clock.now() + MAX_TRANSFER_ANSWER_WAIT_MS)
  while (await task.ask<number>((reply) => ({ kind: 'beginStop', reply })) > 0 && clock.now() < waitDeadline) {
    await clock.waitUntil(clock.now() + TRANSFER_REPEAT_INTERVAL_MS)
  }
}

function createPeerHandlers (state: BudgetTaskState, task: Task<BudgetMessage>): BudgetPeerHandlers {
  /** `post` handles the message synchronously unless another one is being handled, and message handling never calls a peer handler. */
  function postAndGetReply<Reply> (build: (reply: (value: Reply) => void) => BudgetMessage): Reply {
    const replies: Reply[] = []
    task.post(build((value) => replies.push(value)))
    if (replies.length === 0) throw new PeerError('the budget task did not answer', { props: { step: 'answer peer' } })
    return replies[0]!
  }
  return {
    transferAllowance: (request) => postAndGetReply<TransferRecord>((reply) => ({ kind: 'transferAsked', request, reply })),
    adoptLeases: (request) => {
      const accepted = postAndGetReply<boolean>((reply) => ({ kind: 'adopt', request, reply }))
      if (!accepted) throw new PeerError('this instance is stopping and adopts no leases', { props: { step: 'adopt leases', peer: request.giverIncarnation } })
    },
    status: () => postAndGetReply((reply) => ({ kind: 'status', reply }))
  }
}

function handleMessage (state: BudgetTaskState, adoptedGivers: Set<string>, stopped: AbortController, message: BudgetMessage): void {
  switch (message.kind) {
    case 'reserve': return reserve(state, message)
    case 'settle':
    case 'release': return endReservation(state, message)
    case 'poll': {
      const entry = getOrCreateEntry(state, message.budgetId)
      entry.pollScheduled = false
      return processWaitingReservations(state, entry)
    }
    case 'flush': return flush(state)
    case 'housekeeping': return runHousekeeping(state)
    case 'drawn': {
      const entry = getOrCreateEntry(state, message.budgetId)
      finishDraw(state, entry, message.topUpIds, message.outcome)
      scheduleFlushOfChanges(state, entry)
      return processWaitingReservations(state, entry)
    }
    case 'returned': {
      const entry = getOrCreateEntry(state, message.budgetId)
      finishReturn(entry, message.tokens, message.outcome)
      return scheduleFlushOfChanges(state, entry)
    }
    case 'settled':
      finishSettlement(state, message.budgetIds, message.outcome)
      for (const budgetId of message.budgetIds) processWaitingReservations(state, getOrCreateEntry(state, budgetId))
      return
    case 'tableAnswered':
      state.tableReachable = message.answered
      return
    case 'transferAnswered': {
      const entry = getOrCreateEntry(state, message.attempt.request.budgetId)
      acceptTransfer(state, entry, message.attempt, message.transfer)
      return processWaitingReservations(state, entry)
    }
    case 'peersAsked': return finishTransferRound(state, getOrCreateEntry(state, message.budgetId))
    case 'transferAsked': return message.reply(answerTransferRequest(state, message.request))
    case 'adopt': return adoptLeases(state, adoptedGivers, message)
    case 'adoptedLeaseClosed': return removeAdoptedLease(state, message.giverIncarnation, message.budgetId)
    case 'status': return message.reply(computeStatus(state))
    case 'beginStop':
      state.stopping = true
      for (const entry of state.entries.values()) refuseWaitingReservations(state, entry.budgetId)
      repeatTransferRequests(state)
      return message.reply(state.unansweredTransferRequests.size)
    case 'stop':
      message.reply(createHandovers(state))
      return stopped.abort()
    default: return assertNever(message)
  }
}

function refuseWaitingReservations (state: BudgetTaskState, budgetId: string): void {
  const entry = getOrCreateEntry(state, budgetId)
  const retryAt = state.context.clock.now()
  for (const { reply } of entry.waiting) reply({ kind: 'refused', code: 'budget_unavailable', message: 'this instance is stopping', retryAt })
  entry.waiting = []
}

function runHousekeeping (state: BudgetTaskState): void {
  renewLeases(state)
  for (const entry of state.entries.values()) returnUnusedTokens(state, entry)
  repeatTransferRequests(state)
  const { allowanceTokens, unsentBills } = computeStatus(state)
  state.context.metrics.gauge('budget_allowance_tokens', Number(allowanceTokens))
  state.context.metrics.gauge('budget_unsent_bills', Number(unsentBills))
  postAt(state, state.context.clock.now() + HOUSEKEEPING_INTERVAL_MS, { kind: 'housekeeping' })
}

function computeStatus (state: BudgetTaskState): { readonly allowanceTokens: bigint, readonly unsentBills: bigint } {
  const ledgers = [...state.entries.values()].map(({ ledger }) => ledger)
  const adoptedBills = [...state.adoptedLeases.values()].flatMap(({ leases }) => leases.map(({ bills }) => bills.length))
  const unsentBills = ledgers.reduce((sum, ledger) => sum + ledger.unsentChargeCount, 0) + adoptedBills.reduce((sum, count) => sum + count, 0)
  return { allowanceTokens: ledgers.reduce((sum, ledger) => sum + ledger.availableTokens, 0n), unsentBills: BigInt(unsentBills) }
}

/** Adopts leases once for each giver and closes them in the background when the table answers. */
function adoptLeases (state: BudgetTaskState, adoptedGivers: Set<string>, { request, reply }: Extract<BudgetMessage, { kind: 'adopt' }>): void {
  if (state.stopping) return reply(false)
  reply(true)
  if (adoptedGivers.has(request.giverIncarnation)) return
  adoptedGivers.add(request.giverIncarnation)
  state.adoptedLeases.set(request.giverIncarnation, request)
  state.context.logger.info({ giverIncarnation: request.giverIncarnation, leases: request.leases.length }, 'adopted leases of a stopping instance')
  for (const { budgetId, ...lease } of request.leases) {
    const closing = closeLeaseWithRetry(state, request.giverIncarnation, { budgetId, ...lease }, state.signal)
    runInBackground(state, 'close adopted lease', closing.then(() => state.post({ kind: 'adoptedLeaseClosed', giverIncarnation: request.giverIncarnation, budgetId })))
  }
}

function removeAdoptedLease (state: BudgetTaskState, giverIncarnation: string, budgetId: string): void {
  const request = state.adoptedLeases.get(giverIncarnation)
  if (request === undefined) return
  const leases = request.leases.filter((lease) => lease.budgetId !== budgetId)
  if (leases.length === 0) state.adoptedLeases.delete(giverIncarnation)
  else state.adoptedLeases.set(giverIncarnation, { ...request, leases })
}
