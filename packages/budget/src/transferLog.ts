import { create } from '@bufbuild/protobuf'
import { TransferRecordSchema, type TransferAllowanceRequest, type TransferRecord } from '@quinceshunt/schemas'

/** Transfers remembered at most. A repeated request older than these gets a new transfer, which is also subtracted first. */
const MAX_REMEMBERED_TRANSFERS = 50_000

/** Transfers that one instance has given and accepted. */
export class TransferLog {
  readonly #incarnation: string
  readonly #answeredRequests = new Map<string, TransferRecord>()
  readonly #acceptedTransfers = new Set<string>()
  #lastNumber = 0n

  constructor (incarnation: string) {
    this.#incarnation = incarnation
  }

  /** The transfer already given for this request ID, if any. */
  findAnswer (requestId: string): TransferRecord | undefined {
    return this.#answeredRequests.get(requestId)
  }

  /** Records a new transfer; the caller subtracts its tokens before it is answered. */
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

  /** Records that nothing was given, so that a duplicate of the request, arriving late, is given nothing either. */
  recordRefusal (request: TransferAllowanceRequest): TransferRecord {
    const emptyAnswer = emptyTransfer(this.#incarnation, request.receiverIncarnation)
    this.#answeredRequests.set(request.requestId, emptyAnswer)
    evictOldest(this.#answeredRequests)
    return emptyAnswer
  }

  /** True when the transfer holds tokens for this instance and has not been accepted before. */
  accept (budgetId: string, transfer: TransferRecord): boolean {
    const key = `${budgetId}/${transfer.giverIncarnation}/${transfer.number}`
    if (transfer.tokens <= 0n || transfer.receiverIncarnation !== this.#incarnation || this.#acceptedTransfers.has(key)) return false
    this.#acceptedTransfers.add(key)
    evictOldest(this.#acceptedTransfers)
    return true
  }
}

/** A transfer of nothing. */
export function emptyTransfer (giverIncarnation: string, receiverIncarnation: string): TransferRecord {
  return create(TransferRecordSchema, { giverIncarnation, receiverIncarnation })
}

function evictOldest (entries: Map<string, unknown> | Set<string>): void {
  if (entries.size <= MAX_REMEMBERED_TRANSFERS) return
  entries.delete(entries.keys().next().value!)
}
