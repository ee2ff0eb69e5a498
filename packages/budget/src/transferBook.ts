import { create } from '@bufbuild/protobuf'
import { TransferRecordSchema, type TransferAllowanceRequest, type TransferRecord } from '@quinceshunt/schemas'

/** Transfers remembered at most. A repeated request older than these gets a new transfer, which is also subtracted first. */
const REMEMBERED_TRANSFERS = 50_000

/** Transfers that one instance has given and accepted. */
export class TransferBook {
  readonly #incarnation: string
  readonly #given = new Map<string, TransferRecord>()
  readonly #accepted = new Set<string>()
  #lastNumber = 0n

  constructor (incarnation: string) {
    this.#incarnation = incarnation
  }

  /** The transfer already given for this request ID, if any. */
  given (requestId: string): TransferRecord | undefined {
    return this.#given.get(requestId)
  }

  /** Records a new transfer; the caller subtracts its tokens before it is answered. */
  give (request: TransferAllowanceRequest, tokens: bigint): TransferRecord {
    const transfer = create(TransferRecordSchema, {
      giverIncarnation: this.#incarnation,
      receiverIncarnation: request.receiverIncarnation,
      number: ++this.#lastNumber,
      tokens
    })
    this.#given.set(request.requestId, transfer)
    forgetOldest(this.#given)
    return transfer
  }

  /** Records that nothing was given, so that a duplicate of the request, arriving late, is given nothing either. */
  refuse (request: TransferAllowanceRequest): TransferRecord {
    const nothing = emptyTransfer(this.#incarnation, request.receiverIncarnation)
    this.#given.set(request.requestId, nothing)
    forgetOldest(this.#given)
    return nothing
  }

  /** True when the transfer holds tokens for this instance and has not been accepted before. */
  accept (budgetId: string, transfer: TransferRecord): boolean {
    const key = `${budgetId}/${transfer.giverIncarnation}/${transfer.number}`
    if (transfer.tokens <= 0n || transfer.receiverIncarnation !== this.#incarnation || this.#accepted.has(key)) return false
    this.#accepted.add(key)
    forgetOldest(this.#accepted)
    return true
  }
}

/** A transfer of nothing. */
export function emptyTransfer (giverIncarnation: string, receiverIncarnation: string): TransferRecord {
  return create(TransferRecordSchema, { giverIncarnation, receiverIncarnation })
}

function forgetOldest (remembered: Map<string, unknown> | Set<string>): void {
  if (remembered.size <= REMEMBERED_TRANSFERS) return
  remembered.delete(remembered.keys().next().value!)
}
