import { createRecentDemand, type RecentDemand } from '../decisions/recentDemand.js'
import type { ReservationOutcome } from '../decisions/requestPlan.js'
import type { DrawCeilings } from '../decisions/drawCeilings.js'
import { createKnownUse, type KnownUse, type ReportedUse } from '../decisions/knownUse.js'
import type { LeaseRow } from '../decisions/leaseRow.js'
import { createTokenLedger, type TokenLedger } from '../decisions/tokenLedger.js'
import type { RowStore } from '../ports.js'
import type { DecisionLog } from './decisionLog.js'
import type { LoanKind, LoanReply } from './peerMessages.js'
import type { StoreEra } from './storeEra.js'

/** Manages prepaid tokens at this instance: reserves them for requests, draws them from the store and returns them. */
export interface TokenTask {
  /** Reserves tokens of an account for a request; may wait until `deadline` (`steadyNow`). */
  reserve (account: string, tokens: number, deadline: number): Promise<ReservationOutcome>
  settle (account: string, reserved: number, used: number): void
  /** Notes tokens that a caller of this instance has certainly used, as soon as that is known. */
  recordUse (account: string, tokens: number): void
  /** Tokens of an account at this instance that are neither used nor reserved. */
  freeTokens (account: string): number
  /** Sets an account's prepaid tokens; undefined for an account without a limit. */
  setPrepaid (account: string, tokens: number | undefined): void
  /** Lends tokens to a peer. For a whole loan a home draws missing ones first, if the store is reachable. */
  lend (account: string, tokens: number, kind: LoanKind): Promise<LoanReply>
  /** Adds tokens that a peer gave back, or that were lent to this instance late. */
  takeBack (account: string, tokens: number): void
  /** Takes over what another process knows of the use of an account. */
  receiveUse (account: string, report: ReportedUse): void
  /** Takes over what a peer was told of the totals of this instance's last process. */
  learnPredecessor (lifetime: string, told: LeaseTotals): void
  /** True once `close` was called: tokens given to this process now would be lost with it. */
  readonly isClosing: boolean
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
  /** Rank of this instance among the account's homes, 0 for the first; undefined for other instances. */
  readonly homeRank: (account: string) => number | undefined
  /** Borrows tokens from the account's other homes. `use` is told to them. */
  readonly borrow: (account: string, tokens: number, kind: LoanKind, use: ReportedUse) => Promise<LoanReply>
  /** Gives tokens back to a home; resolves once their place is known. */
  readonly giveBack: (account: string, tokens: number, use: ReportedUse) => Promise<void>
  /** Tokens in messages whose outcome is not known yet. */
  readonly tokensInTransit: () => number
  /** True while other calls to the store fail. */
  readonly isStoreUnreachable: () => boolean
  readonly era: StoreEra
  /** True once other instances have recorded again, after a restore of the store, what they had drawn before. */
  readonly mayDraw: () => boolean
  /**
   * Number of restores, since the era in which an account's draws were last accounted for, after which draws of an instance may be
   * unknown; 0 when all are recorded. The era is undefined for an account that was never drawn on.
   */
  readonly lossesSince: (era: number | undefined) => number
  /** Called when this instance has recorded again what it had drawn before a restore; it may be unknown what its last process drew. */
  readonly onRecovered: (isComplete: boolean) => void
  /** Called when the lease of this instance's last process was read; `hasMissedRestore` when it lacks draws from before a restore. */
  readonly onLeaseRead: (hasMissedRestore: boolean) => void
  /** Called with the instance's totals whenever they have changed; `isFinal` when the process will not change them any more. */
  readonly onTotals: (totals: LeaseTotals) => void
}

/** What an instance has in the balances of client accounts, as recorded with a write of its lease. */
export interface LeaseTotals {
  /** Number of the process's write. */
  readonly sequence: number
  readonly isFinal: boolean
  /** ID of the instance's process before, if its lease was known in full. */
  readonly after?: string | undefined
  readonly totals: Readonly<Record<string, number>>
}

/** A request that waits for tokens. */
export interface WaitingRequest {
  readonly tokens: number
  readonly deadline: number
  readonly resolve: (outcome: ReservationOutcome) => void
}

/** Balance changes may be made at once. */
export const NOT_DEFERRED: AccountState['nextChangeAt'] = { needed: 0, inAdvance: 0 }

/** State of one account at this instance. Times are by `steadyNow`. */
export interface AccountState {
  readonly name: string
  prepaid: number | undefined
  readonly ledger: TokenLedger
  readonly knownUse: KnownUse
  waiting: WaitingRequest[]
  /** Tokens granted to all instances, from the account's balance row as last read; `balanceVersion` is the row's version. */
  granted: number
  balanceVersion: number
  /** Limits to draws as last read; undefined without a row. */
  ceilings: DrawCeilings | undefined
  ceilingsVersion: number
  isReturnRequested: boolean
  isBorrowing: boolean
  /** True while a loan ahead of requests is asked for, and for a pause after one that yielded nothing. */
  isBorrowingAhead: boolean
  /** What callers of this instance have asked for. */
  readonly demand: RecentDemand
  /** Consecutive loan requests that yielded no tokens although no home knew the account to be short. */
  failedLoanRequests: number
  /** Time of the last settlement or loan. */
  usedAt: number
  /** No tokens are drawn in advance until then. */
  prefetchPausedUntil: number
  /** Until then, requests of at least `rejectFromTokens` that the usable tokens don't cover are rejected without waiting. */
  rejectUntil: number
  rejectFromTokens: number
  /** Consecutive draws for which the balance was too low. */
  consecutiveShortages: number
  /** Earliest time of the next balance change, after a conflict: while callers wait for it, and otherwise. */
  nextChangeAt: { readonly needed: number, readonly inAdvance: number }
}

/** A composed transaction: the lease row and the balance changes. */
export interface LeaseTransaction {
  readonly row: LeaseRow
  /** Tokens by account: positive to draw, negative to return. */
  readonly changes: ReadonlyMap<string, number>
  /** Tokens by account that the balances lack, or have too many, since the store was restored; the ledgers don't change. */
  readonly corrections: ReadonlyMap<string, number>
  /** Limits to later draws, by account that is drawn on. */
  readonly ceilings: ReadonlyMap<string, DrawCeilings>
  /** Tokens reclaimed from the previous process, by account. */
  readonly reclaimed: ReadonlyMap<string, number>
}

/** Creates the initial state of an account at the process `incarnationId`. `trafficSince` returns the arrival time, by `steadyNow`, of the first request of any account. */
export function createAccountState (name: string, incarnationId: string, trafficSince: () => number): AccountState {
  return {
    name,
    prepaid: undefined,
    ledger: createTokenLedger(trafficSince),
    knownUse: createKnownUse(incarnationId),
    waiting: [],
    granted: 0,
    balanceVersion: 0,
    ceilings: undefined,
    ceilingsVersion: 0,
    isReturnRequested: false,
    isBorrowing: false,
    isBorrowingAhead: false,
    demand: createRecentDemand(),
    failedLoanRequests: 0,
    usedAt: 0,
    prefetchPausedUntil: 0,
    rejectUntil: 0,
    rejectFromTokens: 0,
    consecutiveShortages: 0,
    nextChangeAt: NOT_DEFERRED
  }
}

/** Returns the earliest time, by `steadyNow`, of the account's next balance change. */
export function changeNotBefore (state: AccountState): number {
  return state.waiting.length > 0 ? state.nextChangeAt.needed : state.nextChangeAt.inAdvance
}
