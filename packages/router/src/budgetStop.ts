import { create } from '@bufbuild/protobuf'
import { closeLease, type ClosingOutcome, type UnsentCharge } from '@quinceshunt/budget'
import { AdoptLeasesRequestSchema, LeaseHandoverSchema, UnsentBillSchema, type AdoptLeasesRequest, type LeaseHandover } from '@quinceshunt/schemas'
import type { BudgetCore } from './budgetCore.js'
import type { BudgetEntry } from './budgetEntry.js'

/** Time that receivers of transfers are given to record them before a lease closes without, milliseconds. */
const TRANSFER_WAIT_MILLISECONDS = 2_000
const TRANSFER_POLL_MILLISECONDS = 100
/** Closings without success for this time are handed over to a peer, milliseconds. */
const CLOSE_ALONE_MILLISECONDS = 1_000
const HANDOVER_CALL_MILLISECONDS = 1_000
const HANDOVER_PAUSE_MILLISECONDS = 200
/** Closings under way at once. */
const CLOSING_CONCURRENCY = 16

/** What a stopping instance leaves behind, as the peer that takes it over is told. */
export function handoversOf (core: BudgetCore): readonly AdoptLeasesRequest[] {
  const leases = [...core.entries.values()].filter(mayHaveRow).map(handoverOf)
  const own = create(AdoptLeasesRequestSchema, { giverIncarnation: core.context.identity.incarnation, leases })
  return [own, ...core.adopted.values()].filter((handover) => handover.leases.length > 0)
}

/** A draw without an answer may still create the row. */
function mayHaveRow (entry: BudgetEntry): boolean {
  return entry.ledger.base.version !== 0n || entry.ledger.hasUnrecorded || entry.busy !== undefined
}

function handoverOf ({ ledger }: BudgetEntry): LeaseHandover {
  return create(LeaseHandoverSchema, {
    budgetId: ledger.budgetId,
    transferredOutTokens: ledger.transferredOutTokens,
    bills: ledger.unsent.map((charge) => create(UnsentBillSchema, charge)),
    transfersIn: [...ledger.unrecordedTransfers]
  })
}

function chargesOf (handover: LeaseHandover): UnsentCharge[] {
  return handover.bills.map(({ bill, keyed, attemptedSequence }) => ({ bill: bill!, keyed, attemptedSequence }))
}

/** Closes one lease, repeating until the table answers; waits for receivers to record their transfers. */
export async function closeHandover (core: BudgetCore, giverIncarnation: string, handover: LeaseHandover, signal: AbortSignal): Promise<ClosingOutcome> {
  const { clock, metrics } = core.context
  let waitUntil = Infinity
  for (;;) {
    const now = clock.now()
    const outcome = await core.runOnTable('close', closeLease({
      budgetId: handover.budgetId,
      incarnation: giverIncarnation,
      transferredOutTokens: handover.transferredOutTokens,
      charges: chargesOf(handover),
      transfers: handover.transfersIn,
      whenTransfersPending: now < waitUntil ? 'wait' : 'withhold',
      now: BigInt(now)
    }), signal)
    if (outcome.kind !== 'transfersPending') {
      if (outcome.withheldTokens > 0n) metrics.count('budget_tokens_withheld_at_closing', {}, Number(outcome.withheldTokens))
      return outcome
    }
    // Counted from the table's first answer, so that receivers can record after an outage.
    if (waitUntil === Infinity) waitUntil = clock.now() + TRANSFER_WAIT_MILLISECONDS
    await clock.waitUntil(clock.now() + TRANSFER_POLL_MILLISECONDS, signal)
    signal.throwIfAborted()
  }
}

/** Closes or hands over everything until the deadline; resolves with the bills that neither took. */
export async function finishLeases (core: BudgetCore, handovers: readonly AdoptLeasesRequest[], deadline: number): Promise<{ readonly lostBills: number }> {
  const left = handovers.map((request) => ({ request, leases: new Set(request.leases) }))
  const finished = new AbortController()
  const isDone = (): boolean => left.every(({ leases }) => leases.size === 0)
  const finishIfDone = (): void => { if (isDone()) finished.abort() }
  finishIfDone()
  const closings = left.flatMap(({ request, leases }) => request.leases.map((lease) => async () => {
    await closeHandover(core, request.giverIncarnation, lease, finished.signal)
    leases.delete(lease)
    finishIfDone()
  }))
  const work = [...startClosings(closings), handOver(core, left, finished)]
  for (const part of work) part.catch((error: unknown) => { if (!finished.signal.aborted) core.context.logger.error({ step: 'close leases', err: error }, 'closing failed') })
  await core.context.clock.waitUntil(deadline, finished.signal)
  finished.abort()
  const lost = left.flatMap(({ leases }) => [...leases].flatMap(({ bills }) => bills.map(({ bill }) => bill!.requestId)))
  if (!isDone()) core.context.metrics.count('budget_leases_left_open', {}, left.reduce((sum, { leases }) => sum + leases.size, 0))
  if (!isDone()) core.context.logger.error({ step: 'close leases', requestIds: lost }, 'neither the table nor a peer took these bills; their tokens stay withheld')
  return { lostBills: lost.length }
}

function startClosings (closings: ReadonlyArray<() => Promise<void>>): Array<Promise<void>> {
  const waiting = [...closings]
  async function runNext (): Promise<void> {
    for (let closing = waiting.shift(); closing !== undefined; closing = waiting.shift()) await closing()
  }
  return Array.from({ length: Math.min(CLOSING_CONCURRENCY, closings.length) }, runNext)
}

/** Offers what is left to one peer after the other. A peer's closing and one of this instance exclude each other in the table. */
async function handOver (core: BudgetCore, left: ReadonlyArray<{ readonly request: AdoptLeasesRequest, readonly leases: Set<LeaseHandover> }>, finished: AbortController): Promise<void> {
  const { clock } = core.context
  await clock.waitUntil(clock.now() + CLOSE_ALONE_MILLISECONDS, finished.signal)
  for (let attempt = 0; !finished.signal.aborted; attempt++) {
    const peers = core.peers.peers().filter(({ leaving }) => !leaving)
    const peer = peers[attempt % Math.max(1, peers.length)]
    if (peer !== undefined && !core.tableReachable && await offer(core, peer.address, left.map(({ request }) => request))) {
      core.context.metrics.count('budget_handovers', { result: 'accepted' })
      for (const { leases } of left) leases.clear()
      finished.abort()
      return
    }
    await clock.waitUntil(clock.now() + HANDOVER_PAUSE_MILLISECONDS, finished.signal)
  }
}

async function offer (core: BudgetCore, address: string, requests: readonly AdoptLeasesRequest[]): Promise<boolean> {
  try {
    for (const request of requests) await core.peers.client(address).adoptLeases(request, { timeoutMs: HANDOVER_CALL_MILLISECONDS })
    return true
  } catch {
    core.context.metrics.count('budget_handovers', { result: 'unanswered' })
    return false
  }
}
