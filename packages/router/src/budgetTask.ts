import { createAllowancePolicy, TransferBook } from '@quinceshunt/budget'
import { assertNever, startTask, type Task } from '@quinceshunt/effects'
import type { AdoptLeasesRequest, TransferRecord } from '@quinceshunt/schemas'
import { PeerError } from '@quinceshunt/telemetry'
import { inBackground, postAt, type BudgetCore } from './budgetCore.js'
import { finishDraw, finishReturn, returnUnused } from './budgetDraws.js'
import type { BudgetMessage } from './budgetMessages.js'
import { endReservation, entryOf, pump, reserve } from './budgetReservations.js'
import { finishSettlement, flush, renewLeases } from './budgetSettlement.js'
import { closeHandover, finishLeases, handoversOf } from './budgetStop.js'
import { createRunOnTable } from './budgetTable.js'
import { finishRound, giveTransfer, receiveTransfer, repeatTransferRequests } from './budgetTransfers.js'
import type { BudgetPeerHandlers, CreateBudgetTask } from './taskContracts.js'
import type { BudgetService, Reservation } from './services.js'

/** Time between renewals, returns and repeated requests, milliseconds. */
const HOUSEKEEPING_MILLISECONDS = 500
/** Time that a stopping instance waits for peers' answers to transfer requests, milliseconds. */
const TRANSFER_ANSWER_MILLISECONDS = 2_000
const TRANSFER_REPEAT_MILLISECONDS = 100

/** Starts the task that owns this instance's allowances, reservations and unsent bills. */
export const createBudgetTask: CreateBudgetTask = (context, settings, peers, configuration) => {
  const stopped = new AbortController()
  const core: BudgetCore = {
    context,
    policy: createAllowancePolicy(settings),
    peers,
    configuration,
    runOnTable: createRunOnTable(context, (answered) => { if (answered !== core.tableReachable) core.post({ kind: 'tableAnswered', answered }) }),
    signal: stopped.signal,
    post: (message) => task.post(message),
    entries: new Map(),
    book: new TransferBook(context.identity.incarnation),
    running: new Set(),
    billReplies: new Map(),
    unanswered: new Map(),
    adopted: new Map(),
    tableReachable: true,
    stopping: false,
    settling: false,
    flushScheduled: false,
    lastFlushAt: 0,
    batchNumber: 0n
  }
  const seenGivers = new Set<string>()
  const task: Task<BudgetMessage> = startTask({
    name: 'budget',
    handle: (message) => handleMessage(core, seenGivers, stopped, message),
    onError: (error, message) => context.logger.error({ step: `budget ${message.kind}`, err: error }, 'budget message failed')
  })
  postAt(core, context.clock.now() + HOUSEKEEPING_MILLISECONDS, { kind: 'housekeeping' })
  return { ...createService(core, task), ...createPeerHandlers(core, task) }
}

function createService (core: BudgetCore, task: Task<BudgetMessage>): BudgetService {
  return {
    reserve: ({ requestId, budgetId, ceilingTokens, deadline }) => {
      const reservation: Reservation = { requestId, budgetId, ceilingTokens: Math.ceil(ceilingTokens) }
      return task.ask((reply) => ({ kind: 'reserve', reservation, deadline, reply }))
    },
    settle: async (reservation, bill, keyed, deadline) => {
      const written = new AbortController()
      const answer = task.ask<'written' | 'deferred'>((reply) => ({ kind: 'settle', reservation, bill, keyed, reply }))
      const late = core.context.clock.waitUntil(deadline, written.signal).then(() => 'deferred' as const)
      const outcome = await Promise.race([answer, late])
      written.abort()
      return outcome
    },
    release: (reservation) => task.post({ kind: 'release', reservation }),
    stop: async (deadline) => {
      await awaitTransfers(core, task, deadline)
      const handovers = await task.ask<readonly AdoptLeasesRequest[]>((reply) => ({ kind: 'stop', reply }))
      return await finishLeases(core, handovers, deadline)
    }
  }
}

/** Waits until peers have answered transfer requests, as they may have subtracted the tokens already. */
async function awaitTransfers (core: BudgetCore, task: Task<BudgetMessage>, deadline: number): Promise<void> {
  const { clock } = core.context
  const until = Math.min(deadline, clock.now() + TRANSFER_ANSWER_MILLISECONDS)
  while (await task.ask<number>((reply) => ({ kind: 'beginStop', reply })) > 0 && clock.now() < until) {
    await clock.waitUntil(clock.now() + TRANSFER_REPEAT_MILLISECONDS)
  }
}

function createPeerHandlers (core: BudgetCore, task: Task<BudgetMessage>): BudgetPeerHandlers {
  /** Messages are handled at once unless one is being handled, which can't call a peer handler. */
  function answerOf<Reply> (build: (reply: (value: Reply) => void) => BudgetMessage): Reply {
    const replies: Reply[] = []
    task.post(build((value) => replies.push(value)))
    if (replies.length === 0) throw new PeerError('the budget task did not answer', { props: { step: 'answer peer' } })
    return replies[0]!
  }
  return {
    transferAllowance: (request) => answerOf<TransferRecord>((reply) => ({ kind: 'transferAsked', request, reply })),
    adoptLeases: (request) => {
      const accepted = answerOf<boolean>((reply) => ({ kind: 'adopt', request, reply }))
      if (!accepted) throw new PeerError('this instance is stopping and adopts no leases', { props: { step: 'adopt leases', peer: request.giverIncarnation } })
    },
    status: () => answerOf((reply) => ({ kind: 'status', reply }))
  }
}

function handleMessage (core: BudgetCore, seenGivers: Set<string>, stopped: AbortController, message: BudgetMessage): void {
  switch (message.kind) {
    case 'reserve': return reserve(core, message)
    case 'settle':
    case 'release': return endReservation(core, message)
    case 'poll': {
      const entry = entryOf(core, message.budgetId)
      entry.pollScheduled = false
      return pump(core, entry)
    }
    case 'flush': return flush(core)
    case 'housekeeping': return runHousekeeping(core)
    case 'drawn': {
      const entry = entryOf(core, message.budgetId)
      finishDraw(core, entry, message.topUpIds, message.outcome)
      return pump(core, entry)
    }
    case 'returned': return finishReturn(entryOf(core, message.budgetId), message.tokens, message.outcome)
    case 'settled':
      finishSettlement(core, message.budgetIds, message.outcome)
      for (const budgetId of message.budgetIds) pump(core, entryOf(core, budgetId))
      return
    case 'tableAnswered':
      core.tableReachable = message.answered
      return
    case 'transferAnswered': {
      const entry = entryOf(core, message.attempt.request.budgetId)
      receiveTransfer(core, entry, message.attempt, message.transfer)
      return pump(core, entry)
    }
    case 'peersAsked': return finishRound(core, entryOf(core, message.budgetId))
    case 'transferAsked': return message.reply(giveTransfer(core, message.request))
    case 'adopt': return adopt(core, seenGivers, message)
    case 'adoptedLeaseClosed': return forgetAdopted(core, message.giverIncarnation, message.budgetId)
    case 'status': return message.reply(statusOf(core))
    case 'beginStop':
      core.stopping = true
      for (const entry of core.entries.values()) refuseWaiting(core, entry.budgetId)
      repeatTransferRequests(core)
      return message.reply(core.unanswered.size)
    case 'stop':
      message.reply(handoversOf(core))
      return stopped.abort()
    default: return assertNever(message)
  }
}

function refuseWaiting (core: BudgetCore, budgetId: string): void {
  const entry = entryOf(core, budgetId)
  const retryAt = core.context.clock.now()
  for (const { reply } of entry.waiting) reply({ kind: 'refused', code: 'budget_unavailable', message: 'this instance is stopping', retryAt })
  entry.waiting = []
}

function runHousekeeping (core: BudgetCore): void {
  renewLeases(core)
  for (const entry of core.entries.values()) returnUnused(core, entry)
  repeatTransferRequests(core)
  const { allowanceTokens, unsentBills } = statusOf(core)
  core.context.metrics.gauge('budget_allowance_tokens', Number(allowanceTokens))
  core.context.metrics.gauge('budget_unsent_bills', Number(unsentBills))
  postAt(core, core.context.clock.now() + HOUSEKEEPING_MILLISECONDS, { kind: 'housekeeping' })
}

function statusOf (core: BudgetCore): { readonly allowanceTokens: bigint, readonly unsentBills: bigint } {
  const ledgers = [...core.entries.values()].map(({ ledger }) => ledger)
  const adoptedBills = [...core.adopted.values()].flatMap(({ leases }) => leases.map(({ bills }) => bills.length))
  const unsentBills = ledgers.reduce((sum, ledger) => sum + ledger.unsentCount, 0) + adoptedBills.reduce((sum, count) => sum + count, 0)
  return { allowanceTokens: ledgers.reduce((sum, ledger) => sum + ledger.availableTokens, 0n), unsentBills: BigInt(unsentBills) }
}

/** Takes over leases once for each giver, and closes them when the table answers. */
function adopt (core: BudgetCore, seenGivers: Set<string>, { request, reply }: Extract<BudgetMessage, { kind: 'adopt' }>): void {
  if (core.stopping) return reply(false)
  reply(true)
  if (seenGivers.has(request.giverIncarnation)) return
  seenGivers.add(request.giverIncarnation)
  core.adopted.set(request.giverIncarnation, request)
  core.context.logger.info({ giverIncarnation: request.giverIncarnation, leases: request.leases.length }, 'adopted leases of a stopping instance')
  for (const { budgetId, ...lease } of request.leases) {
    const closing = closeHandover(core, request.giverIncarnation, { budgetId, ...lease }, core.signal)
    inBackground(core, 'close adopted lease', closing.then(() => core.post({ kind: 'adoptedLeaseClosed', giverIncarnation: request.giverIncarnation, budgetId })))
  }
}

function forgetAdopted (core: BudgetCore, giverIncarnation: string, budgetId: string): void {
  const request = core.adopted.get(giverIncarnation)
  if (request === undefined) return
  const leases = request.leases.filter((lease) => lease.budgetId !== budgetId)
  if (leases.length === 0) core.adopted.delete(giverIncarnation)
  else core.adopted.set(giverIncarnation, { ...request, leases })
}
