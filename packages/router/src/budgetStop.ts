import { create } from '@bufbuild/protobuf'
import { closeLease, type CloseLeaseOutcome, type UnsentCharge } from '@quinceshunt/budget'
import { AdoptLeasesRequestSchema, LeaseHandoverSchema, UnsentBillSchema, type AdoptLeasesRequest, type LeaseHandover } from '@quinceshunt/schemas'
import type { BudgetTaskState } from './budgetTaskState.js'
import type { BudgetEntry } from './budgetEntry.js'

/** Time for receivers to record transfers; then the lease closes and the tokens stay withheld. */
const MAX_TRANSFER_WAIT_MS = 2_000
const TRANSFER_POLL_INTERVAL_MS = 100
/** Time after which leases that could not be closed are offered to a peer. */
const HANDOVER_DELAY_MS = 1_000
const HANDOVER_CALL_TIMEOUT_MS = 1_000
const HANDOVER_RETRY_INTERVAL_MS = 200
const MAX_CONCURRENT_CLOSINGS = 16

/** Creates the handovers of the leases that this instance holds or has adopted, for itself or a peer to close. */
export function createHandovers (state: BudgetTaskState): readonly AdoptLeasesRequest[] {
  const leases = [...state.entries.values()].filter(mayHaveLeaseRow).map(createHandover)
  const ownHandover = create(AdoptLeasesRequestSchema, { giverIncarnation: state.context.identity.incarnation, leases })
  return [ownHandover, ...state.adoptedLeases.values()].filter((handover) => handover.leases.length > 0)
}

/** An unanswered transaction may still create the row. */
function mayHaveLeaseRow (entry: BudgetEntry): boolean {
  return entry.ledger.snapshot.version !== 0n || entry.ledger.hasUnrecordedChanges || entry.transactionInProgress !== undefined
}

function createHandover ({ ledger }: BudgetEntry): LeaseHandover {
  return create(LeaseHandoverSchema, {
    budgetId: ledger.budgetId,
    transferredOutTokens: ledger.transferredOutTokens,
    bills: ledger.unsentCharges.map((charge) => create(UnsentBillSchema, charge)),
    transfersIn: [...ledger.unrecordedTransfers]
  })
}

function handedOverCharges (handover: LeaseHandover): UnsentCharge[] {
  return handover.bills.map(({ bill, keyed, attemptedSequence }) => ({ bill: bill!, keyed, attemptedSequence }))
}

/** Closes one lease; retries until the table answers and waits for receivers to record their transfers. */
export async function closeLeaseWithRetry (state: BudgetTaskState, giverIncarnation: string, handover: LeaseHandover, signal: AbortSignal): Promise<CloseLeaseOutcome> {
  const { clock, metrics } = state.context
  let transferDeadline = Infinity
  for (;;) {
    const now = clock.now()
    const outcome = await state.runOnTable('close', closeLease({
      budgetId: handover.budgetId,
      incarnation: giverIncarnation,
      transferredOutTokens: handover.transferredOutTokens,
      charges: handedOverCharges(handover),
      transfers: handover.transfersIn,
      whenTransfersPending: now < transferDeadline ? 'wait' : 'withhold',
      now: BigInt(now)
    }), signal)
    if (outcome.kind !== 'transfersPending') {
      if (outcome.withheldTokens > 0n) metrics.count('budget_tokens_withheld_at_closing', {}, Number(outcome.withheldTokens))
      return outcome
    }
    // The wait starts at the table's first answer, so that receivers can record transfers after an outage.
    if (transferDeadline === Infinity) transferDeadline = clock.now() + MAX_TRANSFER_WAIT_MS
    await clock.waitUntil(clock.now() + TRANSFER_POLL_INTERVAL_MS, signal)
    signal.throwIfAborted()
  }
}

/** Closes leases or hands them over until the deadline; resolves with the number of bills that remain. */
export async function closeOrHandOverLeases (state: BudgetTaskState, handovers: readonly AdoptLeasesRequest[], deadline: number): Promise<{ readonly lostBills: number }> {
  const remaining = handovers.map((request) => ({ request, leases: new Set(request.leases) }))
  const finished = new AbortController()
  const isDone = (): boolean => remaining.every(({ leases }) => leases.size === 0)
  const finishIfDone = (): void => { if (isDone()) finished.abort() }
  finishIfDone()
  const closings = remaining.flatMap(({ request, leases }) => request.leases.map((lease) => async () => {
    await closeLeaseWithRetry(state, request.giverIncarnation, lease, finished.signal)
    leases.delete(lease)
    finishIfDone()
  }))
  const tasks = [...startClosings(closings), handOverLeases(state, remaining, finished)]
  for (const task of tasks) task.catch((error: unknown) => { if (!finished.signal.aborted) state.context.logger.error({ step: 'close leases', err: error }, 'closing or handing over leases failed') })
  await state.context.clock.waitUntil(deadline, finished.signal)
  finished.abort()
  const lostRequestIds = remaining.flatMap(({ leases }) => [...leases].flatMap(({ bills }) => bills.map(({ bill }) => bill!.requestId)))
  if (!isDone()) state.context.metrics.count('budget_leases_left_open', {}, remaining.reduce((sum, { leases }) => sum + leases.size, 0))
  if (!isDone()) state.context.logger.error({ step: 'close leases', requestIds: lostRequestIds }, 'neither the table nor a peer accepted these bills; their tokens stay withheld')
  return { lostBills: lostRequestIds.length }
}

function startClosings (closings: ReadonlyArray<() => Promise<void>>): Array<Promise<void>> {
  const queue = [...closings]
  async function runWorker (): Promise<void> {
    for (let closing = queue.shift(); closing !== undefined; closing = queue.shift()) await closing()
  }
  return Array.from({ length: Math.min(MAX_CONCURRENT_CLOSINGS, closings.length) }, runWorker)
}

/** Offers the remaining leases to one peer after another. If a peer and this instance both close a lease, only one closing takes effect. */
async function handOverLeases (state: BudgetTaskState, remaining: ReadonlyArray<{ readonly request: AdoptLeasesRequest, readonly leases: Set<LeaseHandover> }>, finished: AbortController): Promise<void> {
  const { clock } = state.context
  await clock.waitUntil(clock.now() + HANDOVER_DELAY_MS, finished.signal)
  for (let attempt = 0; !finished.signal.aborted; attempt++) {
    const peers = state.peers.peers().filter(({ leaving }) => !leaving)
    const peer = peers[attempt % Math.max(1, peers.length)]
    if (peer !== undefined && !state.tableReachable && await offerLeases(state, peer.address, remaining.map(({ request }) => request))) {
      state.context.metrics.count('budget_handovers', { result: 'accepted' })
      for (const { leases } of remaining) leases.clear()
      finished.abort()
      return
    }
    await clock.waitUntil(clock.now() + HANDOVER_RETRY_INTERVAL_MS, finished.signal)
  }
}

async function offerLeases (state: BudgetTaskState, address: string, requests: readonly AdoptLeasesRequest[]): Promise<boolean> {
  try {
    for (const request of requests) await state.peers.client(address).adoptLeases(request, { timeoutMs: HANDOVER_CALL_TIMEOUT_MS })
    return true
  } catch {
    state.context.metrics.count('budget_handovers', { result: 'unanswered' })
    return false
  }
}
