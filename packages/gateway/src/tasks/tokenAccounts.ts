import type { ReservationOutcome } from '../decisions/requestPlan.js'
import type { LeaseRow } from '../decisions/leaseRow.js'
import { createTokenLedger, type TokenLedger } from '../decisions/tokenLedger.js'
import type { RowStore } from '../ports.js'
import type { DecisionLog } from './decisionLog.js'

/** Manages prepaid tokens at this instance: reserves them for requests, draws them from the store and returns them. */
export interface TokenTask {
  /** Reserves tokens of an account for a request; may wait until `deadline` (`steadyNow`). */
  reserve (account: string, tokens: number, deadline: number): Promise<ReservationOutcome>
  settle (account: string, reserved: number, used: number): void
  /** Tokens of an account at this instance that are neither used nor reserved. */
  freeTokens (account: string): number
  /** Sets an account's prepaid tokens; undefined for an account without a limit. */
  setPrepaid (account: string, tokens: number | undefined): void
  /** Returns the free tokens of an account to the store, as another instance lacks them. */
  returnFreeTokens (account: string): void
  /** Transfers up to `tokens` to a peer; resolves with the number transferred. A primary holder draws missing ones first. */
  transferOut (account: string, tokens: number): Promise<number>
  /** Adds tokens received from a stopping peer. */
  transferIn (account: string, tokens: number): void
  /** Stops at once without returning tokens, like a killed process. */
  abandon (): void
  /** Returns all free tokens before the process exits, to the store or, if that fails, to a peer. */
  close (): Promise<void>
}

/** Dependencies of the task. */
export interface TokenTaskOptions {
  readonly store: RowStore
  readonly log: DecisionLog
  readonly instanceId: string
  readonly incarnationId: string
  /** True when one transaction may change several partitions of the store. */
  readonly spansParts: boolean
  readonly instances: () => number
  readonly announceShortage: (account: string) => void
  /** True when this instance draws an account's tokens in advance and transfers them to other instances. */
  readonly isHolder: (account: string) => boolean
  /** True when this instance draws the tokens that callers wait for, here and at other instances. */
  readonly isPrimaryHolder: (account: string) => boolean
  /** Requests tokens from the account's primary holders, or from any holders while the store is unreachable; resolves with the number received. */
  readonly requestFromHolders: (account: string, tokens: number, isStoreUnreachable: boolean) => Promise<number>
  /** True while other calls to the store fail. */
  readonly isStoreUnreachable: () => boolean
  /** Requests tokens from peers while the store is unreachable; resolves with the number received. */
  readonly requestFromPeers: (account: string, tokens: number) => Promise<number>
  /** Sends the remaining tokens to a peer when the store is unreachable at the stop. */
  readonly handOffToPeer: (tokens: ReadonlyMap<string, number>) => Promise<void>
}

/** A request that waits for tokens. */
export interface WaitingRequest {
  readonly tokens: number
  readonly deadline: number
  readonly resolve: (outcome: ReservationOutcome) => void
}

/** State of one account at this instance. Times are by `steadyNow`. */
export interface AccountState {
  readonly name: string
  prepaid: number | undefined
  readonly ledger: TokenLedger
  waiting: WaitingRequest[]
  /** Tokens granted to all instances, from the account's balance row as last read; `balanceVersion` is the row's version. */
  granted: number
  balanceVersion: number
  isReturnRequested: boolean
  isRequestingTransfer: boolean
  /** Consecutive requests to other instances that yielded no tokens. */
  failedTransferRequests: number
  /** No tokens are drawn in advance until then. */
  prefetchPausedUntil: number
  /** Until then, requests that the usable tokens don't cover are rejected without waiting. */
  rejectUntil: number
  /** Consecutive draws for which the balance was too low. */
  consecutiveShortages: number
  /** Earliest time of the next balance change, after a conflict. */
  nextChangeAt: number
}

/** A composed transaction: the lease row and the balance changes. */
export interface LeaseTransaction {
  readonly row: LeaseRow
  /** Tokens by account: positive to draw, negative to return. */
  readonly changes: ReadonlyMap<string, number>
  /** Tokens reclaimed from the previous process, by account. */
  readonly reclaimed: ReadonlyMap<string, number>
}

/** Creates the initial state of an account. `trafficSince` returns the arrival time, by `steadyNow`, of the first request of any account. */
export function createAccountState (name: string, trafficSince: () => number): AccountState {
  return { name, prepaid: undefined, ledger: createTokenLedger(trafficSince), waiting: [], granted: 0, balanceVersion: 0, isReturnRequested: false, isRequestingTransfer: false, failedTransferRequests: 0, prefetchPausedUntil: 0, rejectUntil: 0, consecutiveShortages: 0, nextChangeAt: 0 }
}
