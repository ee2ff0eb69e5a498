import type { ReservationOutcome } from '../decisions/requestPlan.js'
import type { LeaseRow } from '../decisions/leaseRow.js'
import { createTokenLedger, type TokenLedger } from '../decisions/tokenLedger.js'
import type { RowStore } from '../ports.js'
import type { DecisionLog } from './decisionLog.js'

/** Prepaid tokens at this instance: reserves them for requests, draws them from the store and returns them. */
export interface TokenTask {
  /** Reserves tokens of an account for a request, or tells why not. */
  reserve (account: string, tokens: number, deadline: number): Promise<ReservationOutcome>
  settle (account: string, reserved: number, used: number): void
  /** Tokens of an account that are neither used nor reserved here. */
  freeTokens (account: string): number
  /** Sets what is prepaid; undefined for an account without a limit. */
  setPrepaid (account: string, tokens: number | undefined): void
  /** Returns what is free, as another instance lacks tokens. */
  returnFreeTokens (account: string): void
  /** Hands tokens to a peer; resolves with how many. A holder draws what it lacks. */
  transferOut (account: string, tokens: number): Promise<number>
  /** Adds tokens that a stopping peer handed over. */
  transferIn (account: string, tokens: number): void
  /** Stops at once without returning anything, as a killed process does. */
  abandon (): void
  /** Returns all that is free before the process ends, to the store or else to a peer. */
  close (): Promise<void>
}

/** What the task needs. */
export interface TokenTaskOptions {
  readonly store: RowStore
  readonly log: DecisionLog
  readonly instanceId: string
  readonly incarnationId: string
  /** True when one transaction may change several parts of the store. */
  readonly spansParts: boolean
  readonly instances: () => number
  readonly announceShortage: (account: string) => void
  /** True when this instance draws an account's tokens in advance and hands them to others. */
  readonly isHolder: (account: string) => boolean
  /** True when this instance draws what callers wait for, its own and those of other instances. */
  readonly isPrimaryHolder: (account: string) => boolean
  /** Asks the account's leads for tokens, or other holders while the store is lost; resolves with what they handed over. */
  readonly requestFromHolders: (account: string, tokens: number, isStoreUnreachable: boolean) => Promise<number>
  /** True while other calls find that the store does not answer. */
  readonly isStoreUnreachable: () => boolean
  /** Asks peers for tokens when the store can't be reached; resolves with what they handed over. */
  readonly requestFromPeers: (account: string, tokens: number) => Promise<number>
  /** Hands tokens to a peer when the store can't be reached at the stop. */
  readonly handOffToPeer: (tokens: ReadonlyMap<string, number>) => Promise<void>
}

/** A request that waits for tokens. */
export interface WaitingRequest {
  readonly tokens: number
  readonly deadline: number
  readonly resolve: (outcome: ReservationOutcome) => void
}

/** One account's tokens at this instance. */
export interface AccountState {
  readonly name: string
  prepaid: number | undefined
  readonly ledger: TokenLedger
  waiting: WaitingRequest[]
  /** The account's balance row as last seen: tokens granted to all instances, and the row's version. */
  granted: number
  balanceVersion: number
  isReturnRequested: boolean
  isRequestingTransfer: boolean
  /** Times in a row that the account's leads gave nothing. */
  failedTransferRequests: number
  /** Reading of the steady clock until which nothing is drawn in advance. */
  prefetchPausedUntil: number
  /** Reading of the steady clock until which requests that don't fit are refused at once. */
  rejectUntil: number
  /** Draws in a row that found too few tokens. */
  consecutiveShortages: number
  /** Reading of the steady clock before which the balance is not changed, after conflicts. */
  nextChangeAt: number
}

/** A transaction that was composed. */
export interface LeaseTransaction {
  readonly row: LeaseRow
  /** By account: positive to draw, negative to return. */
  readonly changes: ReadonlyMap<string, number>
  /** Tokens taken over from the process before this one. */
  readonly reclaimed: ReadonlyMap<string, number>
}

/** Creates the state of an account of which nothing is known. `trafficSince` is when the first request of any account came. */
export function createAccountState (name: string, trafficSince: () => number): AccountState {
  return { name, prepaid: undefined, ledger: createTokenLedger(trafficSince), waiting: [], granted: 0, balanceVersion: 0, isReturnRequested: false, isRequestingTransfer: false, failedTransferRequests: 0, prefetchPausedUntil: 0, rejectUntil: 0, consecutiveShortages: 0, nextChangeAt: 0 }
}
