import type { AllowanceOutcome, LeaseSettlement } from '@quinceshunt/budget'
import type { AdoptLeasesRequest, BillRecord, TransferAllowanceRequest, TransferRecord } from '@quinceshunt/schemas'
import type { Reservation, ReservationOutcome } from './services.js'

/** Transfer request to a peer, repeated with the same ID until it is answered or abandoned. */
export interface TransferAttempt {
  readonly request: TransferAllowanceRequest
  readonly peerAddress: string
  /** Unix milliseconds. */
  readonly abandonAt: number
}

/** Messages of the budget task. Failure logs contain the kinds. */
export type BudgetMessage =
  | { readonly kind: 'reserve', readonly reservation: Reservation, readonly deadline: number, readonly reply: (outcome: ReservationOutcome) => void }
  | { readonly kind: 'settle', readonly reservation: Reservation, readonly bill: BillRecord, readonly keyed: boolean, readonly reply: (outcome: 'written' | 'deferred') => void }
  | { readonly kind: 'release', readonly reservation: Reservation }
  | { readonly kind: 'poll', readonly budgetId: string }
  | { readonly kind: 'flush' }
  | { readonly kind: 'housekeeping' }
  /** The outcome is undefined if the task stopped before the transaction was answered. */
  | { readonly kind: 'drawn', readonly budgetId: string, readonly topUpIds: readonly string[], readonly outcome: AllowanceOutcome | undefined }
  | { readonly kind: 'returned', readonly budgetId: string, readonly tokens: bigint, readonly outcome: AllowanceOutcome | undefined }
  | { readonly kind: 'settled', readonly budgetIds: readonly string[], readonly outcome: readonly LeaseSettlement[] | undefined }
  | { readonly kind: 'tableAnswered', readonly answered: boolean }
  /** The transfer is undefined if the peer did not answer. */
  | { readonly kind: 'transferAnswered', readonly attempt: TransferAttempt, readonly transfer: TransferRecord | undefined }
  | { readonly kind: 'peersAsked', readonly budgetId: string }
  | { readonly kind: 'transferAsked', readonly request: TransferAllowanceRequest, readonly reply: (transfer: TransferRecord) => void }
  | { readonly kind: 'adopt', readonly request: AdoptLeasesRequest, readonly reply: (accepted: boolean) => void }
  | { readonly kind: 'adoptedLeaseClosed', readonly giverIncarnation: string, readonly budgetId: string }
  | { readonly kind: 'status', readonly reply: (status: { readonly allowanceTokens: bigint, readonly unsentBills: bigint }) => void }
  /** Refuses new reservations; replies with the number of unanswered transfer requests. */
  | { readonly kind: 'beginStop', readonly reply: (unanswered: number) => void }
  | { readonly kind: 'stop', readonly reply: (handovers: readonly AdoptLeasesRequest[]) => void }
