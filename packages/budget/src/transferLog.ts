import { create } from '@bufbuild/protobuf'
import { TransferRecordSchema, type TransferAllowanceRequest, type TransferRecord } from '@quinceshunt/schemas'

/** A repeated request whose entry was evicted gets a new transfer; its tokens are subtracted first as for any transfer. */
const MAX_REMEMBERED_TRANSFERS = 50_000

/** Deduplicates the transfers that one instance sends and receives. */
export class TransferLog {
  readonly #incarnation: string
  readonly #answeredRequests = new Map<string, TransferRecord>()
  readonly #acceptedTransfers = new Set<string>()
  #lastNumber = 0n

  constructor (incarnation: string) {
    this.#incarnation = incarnation
  }

  /** Returns the earlier answer to this request ID, if any. */
  findAnswer (requestId: string): TransferRecord | undefined {
    return this.#answeredRequests.get(requestId)
  }

  /** Records a new transfer; the caller subtracts the tokens before it answers the peer. */
  recordTransfer (request: TransferAllowanceRequest, tokens: bigint): TransferRecord {
    const transfer = create(TransferRecordSchema, {
      giverIncarnation: this.#incarnation,
      receiverIncarnation: request.receiverIncarnation,
      number: ++this.#lastNumber,
      tokens
    })
    this.#answeredRequests.set(request.requestId, transfer)
    evictOldest(this.#answeredRequests)
    return transfer
  }

  /** Records an empty answer, so that a late duplicate of the request gets no tokens either. */
  recordRefusal (request: TransferAllowanceRequest): TransferRecord {
    const emptyAnswer = emptyTransfer(this.#incarnation, request.receiverIncarnation)
    this.#answeredRequests.set(request.requestId, emptyAnswer)
    evictOldest(this.#answeredRequests)
    return emptyAnswer
  }

  /** Returns true if the transfer has tokens for this instance and was not accepted before. */
  accept (budgetId: string, transfer: TransferRecord): boolean {
    const key = `${budgetId}/${transfer.giverIncarnation}/${transfer.number}`
    if (transfer.tokens <= 0n || transfer.receiverIncarnation !== this.#incarnation || this.#acceptedTransfers.has(key)) return false
    this.#acceptedTransfers.add(key)
    evictOldest(this.#acceptedTransfers)
    return true
  }
}

/** Creates a transfer without tokens. */
export function emptyTransfer (giverIncarnation: string, receiverIncarnation: string): TransferRecord {
  return create(TransferRecordSchema, { giverIncarnation, receiverIncarnation })
}

function evictOldest (entries: Map<string, unknown> | Set<string>): void {
  if (entries.size <= MAX_REMEMBERED_TRANSFERS) return
  entries.delete(entries.keys().next().value!)
}
