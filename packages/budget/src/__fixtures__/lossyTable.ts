import { create } from '@bufbuild/protobuf'
import { MemoryTable, runTableDecision, type TableDecision, type TableStore } from '@quinceshunt/table-store'
import { BillRecordSchema, TransferRecordSchema, type TransferRecord } from '@quinceshunt/schemas'
import { billBatchCodec, billCodec } from '../budgetRecords.js'
import { emptyLeaseSnapshot, type UnsentCharge } from '../leaseLedger.js'
import { drawAllowance, type LeaseInput } from '../drawAllowance.js'
import { topUpBudget } from '../topUpBudget.js'

/** In-memory table that loses the replies of the next `lostReplies` applied transactions. */
export class LossyTable {
  readonly memory = new MemoryTable()
  lostReplies = 0
  readonly #store: TableStore = {
    read: async (keys) => this.memory.read(keys),
    scan: async (prefix, startAfter, limit) => this.memory.scan(prefix, startAfter, limit),
    transact: async (checks, writes) => {
      const outcome = this.memory.transact(checks, writes)
      if (outcome.kind === 'applied' && this.lostReplies-- > 0) throw new Error('no reply')
      return outcome
    }
  }

  /** Runs a decision with the default retries. */
  run <Result> (decision: TableDecision<Result>): Promise<Result> {
    return runTableDecision(decision, this.#store)
  }

  /** Runs a decision that fails at the first lost reply. */
  runOnce <Result> (decision: TableDecision<Result>): Promise<Result> {
    return runTableDecision(decision, this.#store, { maxAttempts: 1 })
  }

  /** Returns the request IDs of all bills, in key order. */
  billedRequestIds (): string[] {
    const rows = (prefix: string) => this.memory.scan(prefix, '', 1000).rows
    return [...rows('bill/').map(billCodec.decode), ...rows('billbatch/').flatMap((row) => billBatchCodec.decode(row).bills)].map(({ requestId }) => requestId)
  }
}

/** Input of a transaction on a lease of `budget` that has no row and expires at 1000. */
export function leaseInput (incarnation: string, changes: Partial<LeaseInput> = {}): LeaseInput {
  return { budgetId: 'budget', incarnation, snapshot: emptyLeaseSnapshot(incarnation), transferredOutTokens: 0n, now: 0n, expiresAt: 1000n, ...changes }
}

/** Creates a table with a prepaid budget from which `holder` has drawn `drawn` tokens. */
export async function tableWithLease (prepaid: bigint, drawn: bigint): Promise<LossyTable> {
  const table = new LossyTable()
  await table.run(topUpBudget({ budgetId: 'budget', topUpId: 'first', tokens: prepaid, operator: 'test', addedAt: 0n }))
  await table.run(drawAllowance(leaseInput('holder'), () => drawn))
  return table
}

export function charge (requestId: string, tokens: bigint, keyed: boolean, attemptedSequence = 0n): UnsentCharge {
  return { bill: create(BillRecordSchema, { requestId, budgetId: 'budget', chargedTokens: tokens }), keyed, attemptedSequence }
}

/** Creates a transfer from `holder` to `receiver`. */
export function transfer (number: bigint, tokens: bigint): TransferRecord {
  return create(TransferRecordSchema, { giverIncarnation: 'holder', receiverIncarnation: 'receiver', number, tokens })
}
