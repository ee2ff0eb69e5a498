import { steadyNow } from '../clock.js'
import { retryMoveAt, type BalanceMove } from '../decisions/balanceMoves.js'
import { openingRate, openTokens } from '../decisions/grantSizing.js'
import { decodeLeaseRow, reclaimable, sinceSeal, type LeaseRow } from '../decisions/leaseRow.js'
import type { StoredRow } from '../ports.js'
import type { BalanceTable } from './balanceTable.js'
import type { DecisionLog } from './decisionLog.js'
import type { AccountState, Composed } from './tokenAccounts.js'
import { RETURN_HOLD, SEAL_TIME, TRANSACTION_TIME, TRANSACTION_TIME_AFTER_FAILURE } from './tokenTiming.js'
import { waitingTokens } from './waitingRequests.js'

/** Outcome of a renewal: it took effect, it met another instance's change, or the store did not do it or did not say so. */
export type RenewalResult = 'done' | 'again' | 'failed'

/** Keeps this instance's lease in the store, with the balances that change along with it. One call runs at a time. */
export interface LeaseExchange {
  /** Renews the lease and makes the moves in the same transaction. */
  renew (due: readonly BalanceMove[]): Promise<RenewalResult>
  /** Reads balances, as other instances may have returned tokens. */
  readBalances (names: readonly string[]): Promise<void>
  /** Milliseconds that have passed since the end of the seal. */
  unsealedTime (): number
  /** Reading of the steady clock at the last renewal. */
  readonly renewedAt: number
  /** True since a renewal failed, until one succeeds. */
  readonly isFailing: boolean
}

/** What the exchange needs. */
export interface LeaseExchangeOptions {
  readonly table: BalanceTable
  readonly log: DecisionLog
  /** Unique for this start of the process. */
  readonly lifetimeId: string
  readonly accounts: ReadonlyMap<string, AccountState>
  readonly stateOf: (name: string) => AccountState
}

/** Creates the exchange; it looks for the lease of the process before this one at once. */
export function createLeaseExchange (options: LeaseExchangeOptions): LeaseExchange {
  const { table, log, lifetimeId, accounts, stateOf } = options
  let leaseVersion = 0
  let sequence = 0
  /** Lease row of this instance's process before this one, until it is taken over. */
  let predecessor: { readonly row: LeaseRow, readonly storeTime: number } | undefined
  /** Transactions without an answer. They expect the same lease version, so at most one of them can take effect. */
  let open: Composed[] = []
  let storeClock: { readonly time: number, readonly at: number } | undefined
  let sealedUntil = 0
  let renewedAt = 0
  let failedAt = 0

  /** Store time, or earlier: answers take time to arrive, and a suspended process does not count it. */
  function storeTime (): number {
    return storeClock === undefined ? 0 : storeClock.time + steadyNow() - storeClock.at
  }

  function unsealedTime (): number {
    return sinceSeal(sealedUntil, storeTime())
  }

  function hearStore (time: number): void {
    if (storeClock === undefined || time > storeTime()) storeClock = { time, at: steadyNow() }
  }

  /** While renewals fail the seal is not extended, as each attempt may still take effect and the open part would not last. */
  function nextSeal (): number {
    return failedAt === 0 ? storeTime() + SEAL_TIME : sealedUntil
  }

  /** Composes the next transaction; what it returns or limits is taken from the books at once. */
  function compose (due: readonly BalanceMove[]): Composed {
    const reclaimed = predecessor === undefined ? new Map<string, number>() : reclaimable(predecessor.row, predecessor.storeTime)
    for (const name of reclaimed.keys()) stateOf(name)
    const rows: LeaseRow['accounts'] = {}
    const now = steadyNow()
    const moves = new Map(due.map((move) => [move.account, move.tokens]))
    for (const state of accounts.values()) {
      const move = moves.get(state.name) ?? 0
      // A return leaves the book before the store can know of it, so that its tokens are never in two places.
      if (move < 0) state.book.remove(-move)
      const added = Math.max(0, move) + (reclaimed.get(state.name) ?? 0)
      const spendable = Math.max(0, state.book.free + added)
      const open = Math.max(openTokens(state.book.rate(now), spendable, state.prepaid ?? 0) + waitingTokens(state), failedAt === 0 ? 0 : state.book.limit - state.book.committed)
      const limit = state.book.committed + Math.min(spendable, open)
      // After a failure limit and opening stay, as they apply to all the time since the seal.
      const opening = failedAt === 0 ? openingRate(state.book.rate(now), state.book.committed + spendable - limit) : state.book.opening
      state.book.proposeLimit(limit, opening)
      if (state.book.held + added !== 0) rows[state.name] = { held: state.book.held + added, limit, opening }
    }
    sequence++
    const row: LeaseRow = { lifetime: lifetimeId, sequence, sealedUntil: nextSeal(), accounts: rows }
    sealedUntil = Math.max(sealedUntil, row.sealedUntil)
    return { row, moves, reclaimed }
  }

  /** Enters a transaction that took effect into the books. */
  function enter (composed: Composed): void {
    for (const [name, move] of composed.moves) {
      const state = stateOf(name)
      if (move > 0) {
        state.book.receive(move)
        state.fruitlessAsks = 0
        state.shortages = 0
      }
      state.granted += move
      if (move < 0 && state.returnRequested) {
        state.returnRequested = false
        state.heldBackUntil = steadyNow() + RETURN_HOLD
      }
      log.decision('tokensMoved', { account: name, tokens: move, granted: state.granted, prepaid: state.prepaid, free: state.book.free, sequence: composed.row.sequence })
    }
    for (const [name, tokens] of composed.reclaimed) {
      stateOf(name).book.receive(tokens)
      log.event('tokensReclaimed', { account: name, tokens, ...predecessor?.row.accounts[name], from: predecessor?.row.lifetime, sealedUntil: predecessor?.row.sealedUntil, storeTime: predecessor?.storeTime })
    }
    for (const [name, { limit, opening }] of Object.entries(composed.row.accounts)) stateOf(name).book.confirmLimit(limit, opening)
    predecessor = undefined
  }

  /** Puts back what a transaction that had no effect and can't have any more was to return. */
  function restore (composed: Composed): void {
    for (const [name, move] of composed.moves) if (move < 0) stateOf(name).book.receive(-move)
  }

  function learnLease (row: StoredRow | undefined, time: number): void {
    leaseVersion = row === undefined || row.deleted ? 0 : row.version
    const lease = row === undefined || leaseVersion === 0 ? undefined : readLease(row)
    // A write of the dead process may take effect after its row was read; the newer row counts, as it may have returned tokens.
    if (lease !== undefined && lease.lifetime !== lifetimeId) predecessor = { row: lease, storeTime: time }
    const earlier = open
    open = []
    for (const composed of earlier) {
      const tookEffect = lease?.lifetime === lifetimeId && lease.sequence === composed.row.sequence
      log.event('leaseWriteResolved', { sequence: composed.row.sequence, tookEffect })
      if (tookEffect) enter(composed)
      else restore(composed)
    }
  }

  function readLease (row: StoredRow): LeaseRow | undefined {
    try {
      return decodeLeaseRow(row.value)
    } catch (error) {
      log.warning('leaseUnreadable', { rowVersion: row.version, reason: String(error).slice(0, 200) })
      return undefined
    }
  }

  function learnBalances (names: Iterable<string>, rows: readonly StoredRow[]): void {
    for (const name of names) {
      const row = table.balanceIn(rows, name)
      const state = stateOf(name)
      state.balanceVersion = row === undefined || row.deleted ? 0 : row.version
      state.granted = row === undefined || row.deleted || row.version === 0 ? 0 : Number(row.value)
    }
  }

  async function renew (due: readonly BalanceMove[]): Promise<RenewalResult> {
    const composed = compose(due)
    const balances = new Map([...composed.moves.keys()].map((name) => [name, stateOf(name)]))
    const began = steadyNow()
    const outcome = await table.transact(composed, leaseVersion, balances, steadyNow() + (failedAt === 0 ? TRANSACTION_TIME : TRANSACTION_TIME_AFTER_FAILURE))
    switch (outcome.kind) {
      case 'applied':
        hearStore(outcome.storeTime)
        // None of the open ones took effect, as this one found the lease at the version that they expected too.
        for (const earlier of open) restore(earlier)
        open = []
        leaseVersion = outcome.version
        for (const name of composed.moves.keys()) {
          const state = stateOf(name)
          state.balanceVersion = outcome.version
          state.moveNotBefore = 0
        }
        enter(composed)
        renewedAt = steadyNow()
        failedAt = 0
        return 'done'
      case 'conflict':
        hearStore(outcome.storeTime)
        restore(composed)
        learnLease(table.leaseIn(outcome.rows), outcome.storeTime)
        learnBalances(composed.moves.keys(), outcome.rows)
        for (const name of composed.moves.keys()) noteConflict(stateOf(name), steadyNow() - began)
        return 'again'
      case 'refused':
        restore(composed)
        noteFailure(outcome.reason)
        return 'failed'
      case 'unknown':
        open.push(composed)
        noteFailure(outcome.reason)
        return 'failed'
    }
  }

  function noteConflict (state: AccountState, took: number): void {
    state.moveNotBefore = retryMoveAt(state.waiting.length > 0, took, steadyNow(), Math.random())
  }

  function noteFailure (reason: string): void {
    if (failedAt === 0) log.event('leaseNotRenewed', { reason, renewedAt, sealedUntil, storeTime: storeTime() })
    failedAt = steadyNow()
  }

  async function readBalances (names: readonly string[]): Promise<void> {
    for (const name of names) {
      const outcome = await table.readBalance(name, steadyNow() + TRANSACTION_TIME)
      if (outcome.kind !== 'rows') {
        log.decision('balanceNotRead', { account: name, outcome: outcome.kind })
        return
      }
      learnBalances([name], outcome.rows)
    }
  }

  /** Learns what the process before this one left, as early as possible: its seal ends soon. */
  async function readLeaseOfPredecessor (): Promise<void> {
    const outcome = await table.readLease(steadyNow() + TRANSACTION_TIME)
    const row = outcome.kind === 'rows' ? table.leaseIn(outcome.rows) : undefined
    if (outcome.kind !== 'rows' || row === undefined || leaseVersion !== 0) return
    hearStore(outcome.storeTime)
    learnLease(row, outcome.storeTime)
  }

  readLeaseOfPredecessor().catch((error: unknown) => log.warning('leaseNotRead', { reason: String(error) }))

  return {
    renew,
    readBalances,
    unsealedTime,
    get renewedAt () { return renewedAt },
    get isFailing () { return failedAt > 0 }
  }
}
