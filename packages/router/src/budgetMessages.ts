import type { LeaseSettlement, MoveOutcome } from '@quinceshunt/budget'
import type { AdoptLeasesRequest, BillRecord, TransferAllowanceRequest, TransferRecord } from '@quinceshunt/schemas'
import type { Reservation, ReservationOutcome } from './services.js'

/** A request to a peer for allowance, repeated with the same ID until it is answered. */
export interface TransferAttempt {
  readonly request: TransferAllowanceRequest
  readonly peerAddress: string
  /** When it is given up, Unix milliseconds. */
  readonly abandonAt: number
}

/** Messages to the budget task. */
export type BudgetMessage =
  | { readonly kind: 'reserve', readonly reservation: Reservation, readonly deadline: number, readonly reply: (outcome: ReservationOutcome) => void }
  | { readonly kind: 'settle', readonly reservation: Reservation, readonly bill: BillRecord, readonly keyed: boolean, readonly reply: (outcome: 'written' | 'deferred') => void }
  | { readonly kind: 'release', readonly reservation: Reservation }
  | { readonly kind: 'poll', readonly budgetId: string }
  | { readonly kind: 'flush' }
  | { readonly kind: 'housekeeping' }
  /** Undefined outcome: the task stopped before the transaction was answered. */
  | { readonly kind: 'drawn', readonly budgetId: string, readonly topUpIds: readonly string[], readonly outcome: MoveOutcome | undefined }
  | { readonly kind: 'returned', readonly budgetId: string, readonly tokens: bigint, readonly outcome: MoveOutcome | undefined }
  | { readonly kind: 'settled', readonly budgetIds: readonly string[], readonly outcome: readonly LeaseSettlement[] | undefined }
  | { readonly kind: 'tableAnswered', readonly answered: boolean }
  /** Undefined transfer: the peer did not answer. */
  | { readonly kind: 'transferAnswered', readonly attempt: TransferAttempt, readonly transfer: TransferRecord | undefined }
  | { readonly kind: 'peersAsked', readonly budgetId: string }
  | { readonly kind: 'transferAsked', readonly request: TransferAllowanceRequest, readonly reply: (transfer: TransferRecord) => void }
  | { readonly kind: 'adopt', readonly request: AdoptLeasesRequest, readonly reply: (accepted: boolean) => void }
  | { readonly kind: 'adoptedLeaseClosed', readonly giverIncarnation: string, readonly budgetId: string }
  | { readonly kind: 'status', readonly reply: (status: { readonly allowanceTokens: bigint, readonly unsentBills: bigint }) => void }
  /** Ends new work; the reply is the number of transfer requests that peers have not answered. */
  | { readonly kind: 'beginStop', readonly reply: (unanswered: number) => void }
  | { readonly kind: 'stop', readonly reply: (handovers: readonly AdoptLeasesRequest[]) => void }
