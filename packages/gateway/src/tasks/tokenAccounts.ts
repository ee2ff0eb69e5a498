import type { ReservationOutcome } from '../decisions/requestPlan.js'
import type { LeaseRow } from '../decisions/leaseRow.js'
import { createTokenBook, type TokenBook } from '../decisions/tokenBook.js'
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
  returnFree (account: string): void
  /** Hands tokens to a peer; resolves with how many. A holder draws what it lacks. */
  handOver (account: string, tokens: number): Promise<number>
  /** Adds tokens that a stopping peer handed over. */
  takeOver (account: string, tokens: number): void
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
  readonly lifetimeId: string
  /** True when one transaction may change several parts of the store. */
  readonly spansParts: boolean
  readonly instances: () => number
  readonly noteShortage: (account: string) => void
  /** True when this instance draws an account's tokens in advance and hands them to others. */
  readonly isHolder: (account: string) => boolean
  /** True when this instance draws what callers wait for, its own and those of other instances. */
  readonly isLead: (account: string) => boolean
  /** Asks the account's leads for tokens, or other holders while the store is lost; resolves with what they handed over. */
  readonly askHolders: (account: string, tokens: number, storeIsLost: boolean) => Promise<number>
  /** True while other calls find that the store does not answer. */
  readonly storeIsLost: () => boolean
  /** Asks peers for tokens when the store can't be reached; resolves with what they handed over. */
  readonly askPeers: (account: string, tokens: number) => Promise<number>
  /** Hands tokens to a peer when the store can't be reached at the stop. */
  readonly giveToPeer: (tokens: ReadonlyMap<string, number>) => Promise<void>
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
  readonly book: TokenBook
  waiting: WaitingRequest[]
  /** The account's balance row as last seen: tokens granted to all instances, and the row's version. */
  granted: number
  balanceVersion: number
  returnRequested: boolean
  askingPeers: boolean
  /** Times in a row that the account's leads gave nothing. */
  fruitlessAsks: number
  /** Reading of the steady clock until which nothing is drawn in advance. */
  heldBackUntil: number
  /** Reading of the steady clock until which requests that don't fit are refused at once. */
  shortUntil: number
  /** Draws in a row that found too few tokens. */
  shortages: number
  /** Reading of the steady clock before which the balance is not changed, after conflicts. */
  moveNotBefore: number
}

/** A transaction that was composed. */
export interface Composed {
  readonly row: LeaseRow
  /** By account: positive to draw, negative to return. */
  readonly moves: ReadonlyMap<string, number>
  /** Tokens taken over from the process before this one. */
  readonly reclaimed: ReadonlyMap<string, number>
}

/** Creates the state of an account of which nothing is known. `trafficSince` is when the first request of any account came. */
export function createAccountState (name: string, trafficSince: () => number): AccountState {
  return { name, prepaid: undefined, book: createTokenBook(trafficSince), waiting: [], granted: 0, balanceVersion: 0, returnRequested: false, askingPeers: false, fruitlessAsks: 0, heldBackUntil: 0, shortUntil: 0, shortages: 0, moveNotBefore: 0 }
}
